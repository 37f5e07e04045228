// Package assign decides which broker owns a searcher and what an owner may
// dispatch. It does no I/O; the state comes from package control.
package assign

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriawharf/wisteriawharf/control"
)

// Owner returns the member that owns key: the one with the highest rendezvous
// weight. It reports false if there are no members.
func Owner(members []control.Member, key string) (control.Member, bool) {
	var best control.Member
	var bestWeight uint64
	for i, m := range members {
		w := weight(m.ID, key)
		if i == 0 || w > bestWeight || w == bestWeight && m.ID < best.ID {
			best, bestWeight = m, w
		}
	}
	return best, len(members) > 0
}

// weight is the rendezvous weight of a node for a key.
func weight(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Rank returns names in rendezvous order for key, best first.
func Rank(names []string, key string) []string {
	ranked := append([]string(nil), names...)
	sort.Slice(ranked, func(i, j int) bool {
		wi, wj := weight(ranked[i], key), weight(ranked[j], key)
		if wi != wj {
			return wi > wj
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// Home returns the failure domain whose members own the searchers of domain:
// the domain itself while it has members, else the first one in rendezvous
// order that has. It reports false if no domain has members.
func Home(records map[string]*control.Record, domain string) (string, bool) {
	if r := records[domain]; r != nil && len(r.Members) > 0 {
		return domain, true
	}
	names := make([]string, 0, len(records))
	for name, r := range records {
		if len(r.Members) > 0 {
			names = append(names, name)
		}
	}
	ranked := Rank(names, domain)
	if len(ranked) == 0 {
		return "", false
	}
	return ranked[0], true
}

// OwnerOf returns the broker that owns a searcher of a failure domain.
func OwnerOf(records map[string]*control.Record, domain, searcher string) (control.Member, bool) {
	home, ok := Home(records, domain)
	if !ok {
		return control.Member{}, false
	}
	return Owner(records[home].Members, searcher)
}
