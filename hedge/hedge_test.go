package hedge_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/hedge"
	"github.com/wisteriawharf/wisteriawharf/internal/simulation"
)

// TestQuantile guards against wrong quantiles, which make hedge delays wrong, and against
// quantiles that don't follow a change of latency.
func TestQuantile(t *testing.T) {
	var q hedge.Histogram
	_, ok := q.Quantile(0.5)
	qt.Assert(t, ok, qt.IsFalse)
	random := rand.New(rand.NewSource(1))
	within := func(p float64, want time.Duration) {
		t.Helper()
		got, ok := q.Quantile(p)
		qt.Assert(t, ok, qt.IsTrue)
		if got < want*93/100 || got > want*107/100 {
			t.Errorf("quantile %v is %v, want about %v", p, got, want)
		}
	}
	now := time.Duration(0)
	for range 20000 {
		now += time.Millisecond
		q.Add(now, time.Duration(random.Float64()*float64(100*time.Millisecond)))
	}
	within(0.5, 50*time.Millisecond)
	within(0.95, 95*time.Millisecond)
	for range 60000 {
		now += time.Millisecond
		q.Add(now, time.Duration(random.Float64()*float64(10*time.Millisecond)))
	}
	within(0.5, 5*time.Millisecond)
	within(0.95, 9500*time.Microsecond)
}

// TestBudget guards against more or fewer hedges than the budget allows, against a hedge
// delay that doesn't rise when the budget runs out, and against hedges when the share of
// extra load is 0.
func TestBudget(t *testing.T) {
	p := hedge.NewPolicy(0.05)
	for i := range 1000 {
		p.Latency.Add(0, time.Duration(i)*time.Millisecond)
	}
	before, _ := p.Delay(0)
	hedges := 0
	for range 10000 {
		p.Budget.Earn(1)
		for p.Budget.Take() {
			hedges++
		}
	}
	// 5 % of the parts, plus the tokens of the half-full bucket at the start.
	qt.Assert(t, hedges <= 500+50, qt.IsTrue, qt.Commentf("%d hedges", hedges))
	qt.Assert(t, hedges >= 500, qt.IsTrue, qt.Commentf("%d hedges", hedges))
	after, _ := p.Delay(0)
	qt.Assert(t, after > before, qt.IsTrue)
	disabled := hedge.NewPolicy(0)
	disabled.Budget.Earn(1000)
	qt.Assert(t, disabled.Budget.Take(), qt.IsFalse)
}

// TestFullBucketLowersDelay guards against a budget that stays unspent because the hedge
// delay doesn't fall when the bucket is full.
func TestFullBucketLowersDelay(t *testing.T) {
	p := hedge.NewPolicy(0.05)
	for i := range 1000 {
		p.Latency.Add(0, time.Duration(i)*time.Millisecond)
	}
	half, _ := p.Delay(0)
	for range 1000 {
		p.Budget.Refund()
	}
	full, _ := p.Delay(0)
	qt.Assert(t, full < half, qt.IsTrue, qt.Commentf("%v and %v", full, half))
	hedges := 0
	for p.Budget.Take() {
		hedges++
	}
	qt.Assert(t, hedges <= 100, qt.IsTrue, qt.Commentf("%d hedges in a burst", hedges))
}

// TestSimulatedTailLatency guards against hedging that doesn't keep stragglers out of the
// tail latency, or that exceeds its budget. The bounds are those of section 11 of the
// design, relative to the p99 without stragglers and without hedges. The extra load may
// exceed the budget a little, as the bucket holds tokens at the start.
func TestSimulatedTailLatency(t *testing.T) {
	for _, test := range []struct {
		stragglers, budget, ratio float64
	}{{0.01, 0.03, 1.25}, {0.05, 0.08, 1.5}} {
		m := simulation.Config{Shards: 10, Entries: 6, Load: 0.7, Queries: 8000, Handling: time.Millisecond}
		baseline := m.Run()
		m.Stragglers, m.Budget = test.stragglers, test.budget
		withStragglers := m.Run()
		t.Logf("without stragglers: %+v, with a share of %g: %+v", baseline, test.stragglers, withStragglers)
		qt.Check(t, float64(withStragglers.P99) <= test.ratio*float64(baseline.P99), qt.IsTrue)
		qt.Check(t, withStragglers.Extra <= test.budget+0.005, qt.IsTrue)
	}
}

// BenchmarkSimulation reports the latencies and the extra load of the simulation.
//
//	go test ./hedge -run - -bench Simulation -benchtime 1x
func BenchmarkSimulation(b *testing.B) {
	for _, shards := range []int{10, 48} {
		for _, c := range []struct {
			stragglers, budget float64
		}{{0, 0}, {0, 0.03}, {0.01, 0}, {0.01, 0.03}, {0.05, 0}, {0.05, 0.08}} {
			m := simulation.Config{
				Shards: shards, Entries: 6, Load: 0.7, Queries: 20000, Handling: time.Millisecond,
				Stragglers: c.stragglers, Budget: c.budget,
			}
			b.Run(fmt.Sprintf("shards=%d/stragglers=%g/budget=%g", shards, c.stragglers, c.budget), func(b *testing.B) {
				var o simulation.Outcome
				for range b.N {
					o = m.Run()
				}
				b.ReportMetric(o.P50.Seconds()*1000, "p50-ms")
				b.ReportMetric(o.P99.Seconds()*1000, "p99-ms")
				b.ReportMetric(o.Extra*100, "extra-%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
