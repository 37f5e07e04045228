package balance

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSubset guards against searchers that get more connections than they accept when there
// are more instances than connections, against a subset without a searcher of the instance's
// own failure domain, and against subsets that all change when one searcher is removed.
func TestSubset(t *testing.T) {
	const instances, connections = 79, 64
	domains := []string{"a", "b", "c"}
	candidates := func(domain string, removedIndex int) []SubsetCandidate {
		var all []SubsetCandidate
		for i, d := range domains {
			if i != removedIndex {
				all = append(all, SubsetCandidate{ID: "s-" + d, SameDomain: d == domain})
			}
		}
		return all
	}
	used := make(map[string]int)
	moved := 0
	for i := range instances {
		name, domain := fmt.Sprintf("instance-%d", i), domains[i%3]
		all := candidates(domain, -1)
		subset := Subset(name, all, SubsetSize(len(all), connections, instances))
		qt.Assert(t, subset, qt.HasLen, 2)
		qt.Assert(t, all[subset[0]].SameDomain, qt.IsTrue)
		for _, j := range subset {
			used[all[j].ID]++
		}
		rest := candidates(domain, 2)
		for _, j := range Subset(name, rest, 2) {
			found := false
			for _, k := range subset {
				found = found || all[k].ID == rest[j].ID
			}
			if !found {
				moved++
			}
		}
	}
	for id, n := range used {
		qt.Assert(t, n <= connections, qt.IsTrue, qt.Commentf("%s has %d connections", id, n))
	}
	// All subsets together have 158 places. Only the places of the removed searcher may
	// change.
	qt.Assert(t, moved <= used["s-c"], qt.IsTrue, qt.Commentf("%d moved", moved))
}

// TestSubsetSize guards against a subset that is smaller than all searchers although there
// are enough connections, and against a subset of a single searcher if there are more.
func TestSubsetSize(t *testing.T) {
	qt.Assert(t, SubsetSize(3, 27, 6), qt.Equals, 3)
	qt.Assert(t, SubsetSize(3, 64, 79), qt.Equals, 2)
	qt.Assert(t, SubsetSize(25, 477, 79), qt.Equals, 25)
	qt.Assert(t, SubsetSize(25, 60, 300), qt.Equals, 5)
	qt.Assert(t, SubsetSize(1, 10, 300), qt.Equals, 1)
	qt.Assert(t, SubsetSize(3, 10, 300), qt.Equals, 2)
}
