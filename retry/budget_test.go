package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestBudgetBoundsRetries guards against too many retries from all instances together,
// for any load: in each window there may be at most Ratio times the requests in it, plus
// Extra.
func TestBudgetBoundsRetries(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(r *rapid.T) {
		instances := rapid.IntRange(1, 9).Draw(r, "instances")
		a := Allowance{Ratio: 0.2, Extra: float64(rapid.IntRange(10, 60).Draw(r, "extra")), Instances: instances}
		budgets := make([]Budget, instances)
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 60).Draw(r, "gap ms")) * time.Millisecond
			b := &budgets[rapid.IntRange(0, instances-1).Draw(r, "instance")]
			b.Earn(a, 1)
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(r, "wanted") {
				if b.Take() {
					retries = append(retries, now)
				}
			}
		}
		for _, from := range retries {
			count := func(all []time.Duration) float64 {
				n := 0
				for _, at := range all {
					if at >= from && at < from+window {
						n++
					}
				}
				return float64(n)
			}
			if count(retries) > a.Ratio*count(requests)+a.Extra {
				r.Fatalf("%v retries for %v requests in the window from %s", count(retries), count(requests), from)
			}
		}
	})
}

// TestBudgetAllowsOneRetry guards against an instance that can never retry because many
// instances share a small Extra.
func TestBudgetAllowsOneRetry(t *testing.T) {
	var b Budget
	a := Allowance{Ratio: 0.2, Extra: 10, Instances: 50}
	b.Earn(a, 10)
	qt.Assert(t, b.Take(), qt.IsTrue)
	qt.Assert(t, b.Take(), qt.IsFalse)
	b.Refund()
	qt.Assert(t, b.Take(), qt.IsTrue)
}

// TestColdLimiterBoundsRequests guards against a cold searcher that gets more requests
// in a second from all instances together than its limit allows.
func TestColdLimiterBoundsRequests(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := ColdLimit{
			PerSecond: float64(rapid.IntRange(1, 40).Draw(r, "rate")), Overage: 1.5, Slack: 5,
			Instances: rapid.IntRange(1, 9).Draw(r, "instances"),
		}
		instances := make([]ColdLimiter, l.Instances)
		var sent []time.Duration
		now := time.Duration(0)
		for range 300 {
			now += time.Duration(rapid.IntRange(0, 20).Draw(r, "gap ms")) * time.Millisecond
			c := &instances[rapid.IntRange(0, l.Instances-1).Draw(r, "instance")]
			if c.Allows(l, now) {
				c.RecordSent(now)
				sent = append(sent, now)
			}
		}
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at < from+time.Second {
					n++
				}
			}
			if float64(n) > l.PerSecond*l.Overage+l.Slack {
				r.Fatalf("%d requests within a second", n)
			}
		}
	})
}

// TestColdSearcherIsUsedByManyInstances guards against a cold searcher that gets no requests, or too many, because instances outnumber the requests that it bears.
func TestColdSearcherIsUsedByManyInstances(t *testing.T) {
	const (
		step     = 5 * time.Millisecond
		duration = 30 * time.Second
	)
	rapid.Check(t, func(r *rapid.T) {
		l := ColdLimit{
			PerSecond: float64(rapid.IntRange(1, 30).Draw(r, "rate")), Overage: 1.5, Slack: 5,
			Instances: rapid.IntRange(45, 90).Draw(r, "instances"),
			TimeOfDay: time.UnixMilli(rapid.Int64Range(1.7e12, 1.8e12).Draw(r, "time of day")),
		}
		limiters := make([]ColdLimiter, l.Instances)
		var sent []time.Duration
		for now := time.Duration(0); now < duration; now += step {
			for i := range limiters {
				own := l
				own.Position = float64(i) / float64(l.Instances)
				if limiters[i].Allows(own, now) {
					limiters[i].RecordSent(now)
					sent = append(sent, now)
				}
			}
		}
		if most := float64(mostInWindow(sent, time.Second)); most > l.PerSecond*l.Overage+l.Slack {
			r.Fatalf("%g requests within a second", most)
		}
		if used := float64(len(sent)) / (l.PerSecond * duration.Seconds()); used < 0.4 {
			r.Fatalf("%.2f of the rate is used", used)
		}
	})
}
