// Package assign decides which broker owns a searcher and what an owner may
// dispatch. It does no I/O; the state comes from package control.
package assign

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriawharf/wisteriawharf/control"
)

// Owner returns the member that owns key: the one with the highest precedence.
// It reports false if there are no members.
func Owner(members []control.Member, key string) (control.Member, bool) {
	var best control.Member
	var highest precedence
	for i, m := range members {
		p := precedenceOf(m.ID, m.Domain, key)
		if i == 0 || highest.less(p) || p == highest && m.ID < best.ID {
			best, highest = m, p
		}
	}
	return best, len(members) > 0
}

// SameOwners reports whether each key has the same owner among both lists of
// members, as nothing that decides ownership differs.
func SameOwners(a, b []control.Member) bool {
	return slices.EqualFunc(a, b, func(a, b control.Member) bool { return a.ID == b.ID && a.Domain == b.Domain })
}

// precedence orders the possible owners of a key. It never changes during a
// membership, so that earlier owners follow from who was a member when. A
// broker of the record's own domain precedes all adopters: one that comes back
// receives every searcher by release, and the adopters leave holding none.
type precedence struct {
	ownDomain bool
	weight    uint64
}

func precedenceOf(id, domain, key string) precedence {
	return precedence{ownDomain: domain == "", weight: rendezvousWeight(id, key)}
}

func (p precedence) less(other precedence) bool {
	if p.ownDomain != other.ownDomain {
		return other.ownDomain
	}
	return p.weight < other.weight
}

// rendezvousWeight is the rendezvous rendezvousWeight of a node for a key.
func rendezvousWeight(node, key string) uint64 {
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
		wi, wj := rendezvousWeight(ranked[i], key), rendezvousWeight(ranked[j], key)
		if wi != wj {
			return wi > wj
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// OwnerByRecord returns the broker that owns a searcher of a failure domain by the
// domain's own record. It reports false if there is no record or no member;
// brokers of another domain own the searcher only once they have joined.
func OwnerByRecord(records map[string]*control.Record, domain, searcher string) (control.Member, bool) {
	r := records[domain]
	if r == nil {
		return control.Member{}, false
	}
	return Owner(r.Members, searcher)
}

// Top returns the n names with the highest rendezvous weights for key, or all if
// there are fewer. It takes one pass, because callers ask among thousands.
func Top(names []string, key string, n int) []string {
	type weighed struct {
		name   string
		weight uint64
	}
	var top []weighed
	for _, name := range names {
		w := weighed{name, rendezvousWeight(name, key)}
		if n <= 0 || len(top) == n && w.weight <= top[n-1].weight {
			continue
		}
		i, _ := slices.BinarySearchFunc(top, w, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
		top = slices.Insert(top, i, w)
		top = top[:min(len(top), n)]
	}
	chosen := make([]string, len(top))
	for i, w := range top {
		chosen[i] = w.name
	}
	return chosen
}
