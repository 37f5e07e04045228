package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// mostInWindow returns the largest number of times in a window of this length.
func mostInWindow(times []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestRateLimitHoldsForAnyNumberOfInstances guards against a rate limit that is exceeded, or left unused, because of the number of instances that share it.
func TestRateLimitHoldsForAnyNumberOfInstances(t *testing.T) {
	const (
		step     = 5 * time.Millisecond
		window   = 4 * time.Second
		duration = 60 * time.Second
	)
	rapid.Check(t, func(r *rapid.T) {
		instances := rapid.IntRange(1, 80).Draw(r, "instances")
		s := Share{PerSecond: float64(rapid.IntRange(1, 60).Draw(r, "limit")), Instances: instances}
		idle := time.Duration(rapid.IntRange(2, 20).Draw(r, "idle s")) * time.Second
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 1))
		firstDay := time.UnixMilli(rapid.Int64Range(1.7e12, 1.8e12).Draw(r, "time of day"))
		limiters := make([]RateLimiter, instances)
		shares := make([]Share, instances)
		for i := range limiters {
			shares[i] = s
			shares[i].Position = float64(i) / float64(instances)
			start := time.Duration(random.Int64N(int64(2 * time.Second)))
			skew := time.Duration(random.Int64N(int64(100 * time.Millisecond)))
			limiters[i] = NewRateLimiter(shares[i], start, firstDay.Add(start+skew))
		}
		// After an idle time, all instances send as much as they may.
		var sent []time.Duration
		for now := idle; now < idle+duration; now += step {
			for i := range limiters {
				if limiters[i].Allows(shares[i], now) {
					limiters[i].Take()
					sent = append(sent, now)
				}
			}
		}
		if most := float64(mostInWindow(sent, window)); most > 1.5*s.PerSecond*window.Seconds()+5 {
			r.Fatalf("%g requests in %s", most, window)
		}
		if used := float64(len(sent)) / (s.PerSecond * duration.Seconds()); used < 0.8 {
			r.Fatalf("%.2f of the limit is used", used)
		}
	})
}

// TestExpiredTokenIsNotKept guards against an instance that saves tokens while it has no requests.
func TestExpiredTokenIsNotKept(t *testing.T) {
	s := Share{PerSecond: 1, Instances: 10}
	l := NewRateLimiter(s, 0, time.UnixMilli(0))
	qt.Check(t, l.Allows(s, 10*time.Second-time.Millisecond), qt.IsFalse)
	qt.Check(t, l.Allows(s, 10*time.Second), qt.IsTrue)
	qt.Check(t, l.Allows(s, 11*time.Second+time.Millisecond), qt.IsFalse)
	qt.Check(t, l.Wait(s, 15*time.Second), qt.Equals, 5*time.Second)
	qt.Check(t, l.Allows(s, 20*time.Second), qt.IsTrue)
	l.Take()
	qt.Check(t, l.Allows(s, 20500*time.Millisecond), qt.IsFalse)
	l.Refund()
	qt.Check(t, l.Allows(s, 20500*time.Millisecond), qt.IsTrue)
}
