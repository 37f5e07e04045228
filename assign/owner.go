// Package assign decides which broker owns a searcher and how much an owner may dispatch
// to it. It also computes the versions of the records from which ownership follows. There
// is one control.Record for each failure domain, and its members are the brokers that may
// own the domain's searchers. The package does no I/O.
//
// An adopter is a member that belongs to another failure domain. Each change of the members
// or of the confirmers starts a new epoch of the record. The confirmers are the processes
// that may confirm the epoch to a member whose lease has expired. A departed member was
// removed without having released its searchers. It is fenced once it can no longer hold a
// right to dispatch.
package assign

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriawharf/wisteriawharf/control"
)

// Owner returns the member that owns key. Brokers of the record's own domain take
// precedence over adopters, and within each group the highest rendezvous weight for key
// decides. If weights are equal, the lowest identifier decides. Owner reports false if there
// are no members.
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

// SameOwners reports whether a and b have the same members in the same order, compared by
// all that decides ownership: identifier and failure domain. Every key then has the same
// owner in both.
func SameOwners(a, b []control.Member) bool {
	return slices.EqualFunc(a, b, func(a, b control.Member) bool { return a.ID == b.ID && a.Domain == b.Domain })
}

// precedence orders the possible owners of a key. A broker's precedence for a key does not
// change while the broker is a member. The earlier owners of a key can therefore be derived
// from the epochs in which each broker was a member. A broker of the record's own domain
// has precedence over all adopters. When such a broker comes back, the adopters therefore
// release every searcher to it, and can leave the record without holding any.
type precedence struct {
	ownDomain bool
	weight    uint64
}

// precedenceOf returns the precedence of the broker id for key. domain is empty if the
// broker belongs to the record's own domain.
func precedenceOf(id, domain, key string) precedence {
	return precedence{ownDomain: domain == "", weight: rendezvousWeight(id, key)}
}

func (p precedence) less(other precedence) bool {
	if p.ownDomain != other.ownDomain {
		return other.ownDomain
	}
	return p.weight < other.weight
}

// rendezvousWeight returns the rendezvous hashing weight of a node for a key.
func rendezvousWeight(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Rank returns the names in rendezvous order for key: by descending weight, those of equal
// weight by name.
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

// OwnerByRecord returns the broker that owns a searcher of a failure domain according to
// that domain's record. It reports false if the domain has no record or the record has no
// members. A broker of another domain can own the searcher only after it has joined this
// record.
func OwnerByRecord(records map[string]*control.Record, domain, searcher string) (control.Member, bool) {
	r := records[domain]
	if r == nil {
		return control.Member{}, false
	}
	return Owner(r.Members, searcher)
}

// Top returns the n names with the highest rendezvous weights for key, highest first, or
// all names if there are fewer. The order of names with equal weights is unspecified. Top
// makes one pass over the names instead of sorting them, because callers choose among
// thousands.
func Top(names []string, key string, n int) []string {
	type weightedName struct {
		name   string
		weight uint64
	}
	var top []weightedName
	for _, name := range names {
		w := weightedName{name, rendezvousWeight(name, key)}
		if n <= 0 || len(top) == n && w.weight <= top[n-1].weight {
			continue
		}
		i, _ := slices.BinarySearchFunc(top, w, func(a, b weightedName) int { return cmp.Compare(b.weight, a.weight) })
		top = slices.Insert(top, i, w)
		top = top[:min(len(top), n)]
	}
	chosen := make([]string, len(top))
	for i, w := range top {
		chosen[i] = w.name
	}
	return chosen
}
