package balance

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// minSubset is how many searchers of a service an instance uses at least, if there
// are as many: one, and another for the case that it fails.
const minSubset = 2

// SubsetSize returns how many of a service's searchers an instance uses, so that
// all instances together keep to the connections of each searcher.
func SubsetSize(searchers, connections, instances int) int {
	if instances <= connections {
		return searchers
	}
	return min(max(searchers*connections/instances, minSubset), searchers)
}

// SubsetCandidate is a searcher that could be in an instance's subset.
type SubsetCandidate struct {
	ID         string
	SameDomain bool
}

// Subset returns the indices of the searchers that the instance uses: those of its
// own failure domain first, then in an order of its own, which changes little when
// searchers come and go.
func Subset(instance string, candidates []SubsetCandidate, size int) []int {
	order := make([]int, len(candidates))
	weight := make([]uint64, len(candidates))
	for i, m := range candidates {
		order[i] = i
		weight[i] = xxhash.Sum64String(instance + "\x00" + m.ID)
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
