package balance

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// minSubset is the smallest number of searchers of a service that an instance uses, if
// there are that many: one, and a second one in case the first fails.
const minSubset = 2

// SubsetSize returns how many of a service's searchers an instance uses, so that all
// instances together stay within the number of connections that each searcher accepts.
// searchers is the number of searchers, connections how many each of them accepts, instances
// the number of instances. minSubset takes precedence, so with very many instances the
// connections may not suffice.
func SubsetSize(searchers, connections, instances int) int {
	if instances <= connections {
		return searchers
	}
	return min(max(searchers*connections/instances, minSubset), searchers)
}

// SubsetCandidate is a searcher that could be in an instance's subset.
type SubsetCandidate struct {
	ID string
	// SameDomain says that the searcher is in the failure domain of the instance.
	SameDomain bool
}

// Subset returns the indices of the searchers that the instance uses. Searchers of its own
// failure domain are preferred. Within a domain they are chosen by rendezvous hashing: each
// instance has its own order, which changes little when searchers are added or removed. If
// size covers all candidates, their order is kept.
func Subset(instance string, candidates []SubsetCandidate, size int) []int {
	order := make([]int, len(candidates))
	weight := make([]uint64, len(candidates))
	for i, c := range candidates {
		order[i] = i
		weight[i] = xxhash.Sum64String(instance + "\x00" + c.ID)
	}
	if size >= len(candidates) {
		return order
	}
	sort.Slice(order, func(a, b int) bool {
		i, j := order[a], order[b]
		if candidates[i].SameDomain != candidates[j].SameDomain {
			return candidates[i].SameDomain
		}
		return weight[i] > weight[j]
	})
	return order[:size]
}
