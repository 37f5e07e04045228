package assign

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTop guards against a choice by Top that differs from the first names of Rank.
func TestTop(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("node-", i))
	}
	for _, n := range []int{0, 1, 7, 200} {
		ranked := Rank(names, "key")
		qt.Assert(t, Top(names, "key", n), qt.DeepEquals, ranked[:min(n, len(ranked))])
	}
}

// TestPartnersReachAll guards against a choice of exchange partners that leaves processes
// unreachable or many exchanges away. Each process chooses four partners in its own failure
// domain and four in other domains; exchanges work in both directions and must reach all
// processes within six steps.
func TestPartnersReachAll(t *testing.T) {
	const domains, perDomain, partnersPerGroup = 28, 75, 4
	names := make([][]string, domains)
	for d := range domains {
		for i := range perDomain {
			names[d] = append(names[d], fmt.Sprintf("127.0.%d.%d:7102", d, i))
		}
	}
	neighbours := make(map[string][]string)
	for d, home := range names {
		var foreign []string
		for other, list := range names {
			if other != d {
				foreign = append(foreign, list...)
			}
		}
		for _, self := range home {
			for _, partner := range append(Top(home, self, partnersPerGroup), Top(foreign, self, partnersPerGroup)...) {
				neighbours[self] = append(neighbours[self], partner)
				neighbours[partner] = append(neighbours[partner], self)
			}
		}
	}
	reached := map[string]bool{names[0][0]: true}
	frontier := []string{names[0][0]}
	steps := 0
	for ; len(frontier) > 0 && len(reached) < domains*perDomain; steps++ {
		var next []string
		for _, name := range frontier {
			for _, n := range neighbours[name] {
				if !reached[n] {
					reached[n] = true
					next = append(next, n)
				}
			}
		}
		frontier = next
	}
	qt.Assert(t, len(reached), qt.Equals, domains*perDomain)
	qt.Assert(t, steps <= 6, qt.IsTrue, qt.Commentf("%d steps", steps))
}
