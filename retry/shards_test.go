package retry

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestWorthRetrying guards against retries for requests that get no answer anyway, and
// against requests that are not retried though a retry could complete them.
func TestWorthRetrying(t *testing.T) {
	for _, test := range []struct {
		name   string
		shards ShardedRequest
		want   bool
	}{
		{"all other parts have budget", ShardedRequest{Total: 10, Needed: 10}, true},
		{"a needed part has no budget", ShardedRequest{Total: 10, Needed: 10, WithoutBudget: 1}, false},
		{"a part without budget may be missing", ShardedRequest{Total: 10, Needed: 9, WithoutBudget: 1}, true},
		{"another part is lost already", ShardedRequest{Total: 10, Needed: 9, Lost: 1, WithoutBudget: 1}, false},
		{"the failed part is the only one", ShardedRequest{Total: 1, Needed: 1}, true},
	} {
		qt.Check(t, test.shards.WorthRetrying(), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// simulate sends requests to shards, some of which fail a share of their parts. It
// returns the share of the requests that got all parts. A part is retried while its own
// shard has budget. If coordinated is true, WorthRetrying must hold too.
func simulate(coordinated bool) float64 {
	const (
		shards        = 10
		failingShards = 5
		failureRate   = 0.5
		requests      = 20000
		attempts      = 3
	)
	random := rand.New(rand.NewPCG(1, 2))
	allowance := Allowance{Ratio: 0.2, Extra: 52, Instances: 6}
	budgets := make([]Budget, shards)
	answered := 0
	for range requests {
		var failed []int
		for i := range budgets {
			budgets[i].Earn(allowance, 1)
			if i < failingShards && random.Float64() < failureRate {
				failed = append(failed, i)
			}
		}
		for try := 1; try < attempts && len(failed) > 0; try++ {
			var again []int
			for _, i := range failed {
				state := ShardedRequest{Total: shards, Needed: shards}
				for _, other := range failed {
					if other != i && !budgets[other].HasToken() {
						state.WithoutBudget++
					}
				}
				if coordinated && !state.WorthRetrying() || !budgets[i].Take() || random.Float64() < failureRate {
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

// TestCoordinatedRetries guards against shards that spend their budgets on parts of
// different requests, so that hardly any request gets all of its parts. The load is a
// search over ten shards, five of which fail half of their parts.
func TestCoordinatedRetries(t *testing.T) {
	independent, coordinated := simulate(false), simulate(true)
	qt.Assert(t, coordinated > 1.5*independent, qt.IsTrue, qt.Commentf("answered %.3f with coordinated retries, %.3f with independent ones", coordinated, independent))
}
