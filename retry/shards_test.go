package retry

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWorthwhile guards against repeats for requests that get no answer anyway, and
// against requests that are left without repeats though they would get one.
func TestWorthwhile(t *testing.T) {
	for _, test := range []struct {
		name   string
		shards ShardedRequest
		want   bool
	}{
		{"nothing else is exposed", ShardedRequest{Total: 10, Needed: 10}, true},
		{"one other is exposed and needed", ShardedRequest{Total: 10, Needed: 10, WithoutBudget: 1}, false},
		{"one other may be missing", ShardedRequest{Total: 10, Needed: 9, WithoutBudget: 1}, true},
		{"one is lost already", ShardedRequest{Total: 10, Needed: 9, Lost: 1, WithoutBudget: 1}, false},
		{"only the failed part is left", ShardedRequest{Total: 1, Needed: 1}, true},
	} {
		qt.Check(t, test.shards.WorthRetrying(), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// play sends requests to shards of which some fail a share of what they get, and
// returns the share of the requests that got all parts. All together says that repeats
// are made only where they are worthwhile.
func play(together bool) float64 {
	const (
		shards   = 10
		failing  = 5
		failures = 0.5
		requests = 20000
		attempts = 3
	)
	random := rand.New(rand.NewPCG(1, 2))
	allowance := Allowance{Ratio: 0.2, Extra: 52, Instances: 6}
	budgets := make([]Budget, shards)
	answered := 0
	for range requests {
		var failed []int
		for i := range budgets {
			budgets[i].Earn(allowance, 1)
			if i < failing && random.Float64() < failures {
				failed = append(failed, i)
			}
		}
		for try := 1; try < attempts && len(failed) > 0; try++ {
			var again []int
			for _, i := range failed {
				request := ShardedRequest{Total: shards, Needed: shards}
				for _, other := range failed {
					if other != i && !budgets[other].HasToken() {
						request.WithoutBudget++
					}
				}
				if together && !request.WorthRetrying() || !budgets[i].Take() || random.Float64() < failures {
					again = append(again, i)
				}
			}
			failed = again
		}
		if len(failed) == 0 {
			answered++
		}
	}
	return float64(answered) / requests
}

// TestRepeatsTogether guards against budgets that several shards spend on parts of
// different requests, so that hardly any request gets all of its parts. The load is a
// search over ten shards of which five fail half of what they get.
func TestRepeatsTogether(t *testing.T) {
	apart, together := play(false), play(true)
	qt.Assert(t, together > 1.5*apart, qt.IsTrue, qt.Commentf("answered %.3f, each part by itself %.3f", together, apart))
}
