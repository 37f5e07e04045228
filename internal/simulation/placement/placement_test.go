package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

func steady(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

func evenly(perSecond float64) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return perSecond }
}

// shard returns the searchers of a shard, one in each failure domain.
func shard(slots int) []Searcher {
	return []Searcher{{0, slots, steady(0.8)}, {1, slots, steady(1)}, {2, slots, steady(1.3)}}
}

// TestLoads guards against a choice by expected cost that serves a load worse than the choice by
// latency, or no better where costs or speeds differ much.
func TestLoads(t *testing.T) {
	between := func(from, to time.Duration, inside, outside float64) func(time.Duration) float64 {
		return func(now time.Duration) float64 {
			if now >= from && now < to {
				return inside
			}
			return outside
		}
	}
	slows, returns, single := shard(4), shard(6), make([]Searcher, 27)
	slows[1].Factor = between(time.Minute, time.Hour, 8, 1)
	returns[0].Factor = between(time.Minute, 2*time.Minute, 8, 0.8)
	for i := range single {
		single[i] = Searcher{i % Domains, 2, steady([]float64{0.8, 1, 1.3}[i/Domains%3])}
	}
	moves := func(now time.Duration, domain int) float64 {
		if now >= time.Minute && now < 2*time.Minute {
			return []float64{1, 1, 19}[domain]
		}
		return 7
	}
	twoKinds, cheapKinds := []Kind{{28 * ms, 0.3}, {9 * ms, 0.7}}, []Kind{{7500 * time.Microsecond, 0.3}, {2500 * time.Microsecond, 0.7}}
	earlier := func(before, after *Outcome) bool { return after.Quantile(0.99) < before.Quantile(0.99) }
	nearer := func(before, after *Outcome) bool { return after.Crossed() < 0.6*before.Crossed() }
	for _, c := range []struct {
		name string
		load Load
		// better tells what the choice by cost must do better. It is nil where it need only be as good.
		better func(before, after *Outcome) bool
	}{
		{"one kind twenty times more expensive", Load{Instances: 16, PerSecond: evenly(5), Searchers: shard(4), Kinds: []Kind{{100 * ms, 0.05}, {5 * ms, 0.95}}, Sigma: 0.3, Target: 200 * ms}, nearer},
		{"one kind twenty times more expensive, busy", Load{Instances: 16, PerSecond: evenly(20), Searchers: shard(3), Kinds: []Kind{{200 * ms, 0.05}, {10 * ms, 0.95}}, Sigma: 0.3, Target: 400 * ms}, nil},
		{"shards, two kinds", Load{Instances: 16, PerSecond: evenly(8), Searchers: shard(4), Kinds: twoKinds, Sigma: 0.3, Target: 60 * ms}, earlier},
		{"shards, two kinds, busy", Load{Instances: 16, PerSecond: evenly(22), Searchers: shard(3), Kinds: twoKinds, Sigma: 0.3, Target: 60 * ms}, earlier},
		{"shards, two cheap kinds", Load{Instances: 16, PerSecond: evenly(8), Searchers: shard(4), Kinds: cheapKinds, Sigma: 0.3, Target: 60 * ms}, nil},
		{"a searcher slows by eight", Load{Instances: 16, PerSecond: evenly(6), Searchers: slows, Kinds: twoKinds, Sigma: 0.3, Target: 60 * ms}, earlier},
		{"60 instances, a searcher slows and returns", Load{Instances: 60, PerSecond: evenly(3), Searchers: returns, Kinds: twoKinds, Sigma: 0.3, Target: 60 * ms}, earlier},
		{"single requests of one kind", Load{Instances: 16, PerSecond: evenly(5), Searchers: single, Kinds: []Kind{{220 * ms, 1}}, Sigma: 0.5, Target: 600 * ms}, nil},
		{"demand moves to another domain", Load{Instances: 16, PerSecond: moves, Searchers: shard(4), Kinds: twoKinds, Sigma: 0.3, Target: 60 * ms}, earlier},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.load.Duration, c.load.Seeds = 3*time.Minute, []uint64{1, 2}
			var results [3]*Result
			for p := range results {
				r := c.load.Play(Policy(p))
				t.Logf("%-10v all          %v", Policy(p), &r.All)
				for i := range r.Kinds {
					t.Logf("%-10s kind %-7v %v", "", c.load.Kinds[i].Cost, &r.Kinds[i])
				}
				for i := range r.Domains {
					t.Logf("%-10s domain %-5d %v", "", i, &r.Domains[i])
				}
				results[p] = r
			}
			before, after := &results[ByLatency].All, &results[ByCost].All
			qt.Check(t, after.InAim() >= before.InAim()-0.001, qt.IsTrue, qt.Commentf("fewer in aim"))
			qt.Check(t, after.Quantile(0.99) <= before.Quantile(0.99)*102/100, qt.IsTrue, qt.Commentf("later"))
			qt.Check(t, after.Crossed() <= before.Crossed()+0.02, qt.IsTrue, qt.Commentf("more to other domains"))
			qt.Check(t, c.better == nil || c.better(before, after), qt.IsTrue, qt.Commentf("no better"))
		})
	}
}
