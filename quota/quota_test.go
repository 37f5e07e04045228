package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// static admits requests by equal parts of the quota at the serving instances, for comparison.
func (s *simulation) static() func(int, *simAccount) {
	type part struct {
		tokens float64
		at     time.Duration
	}
	parts := make(map[string]*part)
	return func(i int, a *simAccount) {
		key, n := fmt.Sprint(i, a.name), float64(len(s.serving))
		most := max(a.limit.Burst/n, 1)
		p := parts[key]
		if p == nil {
			p = &part{tokens: most, at: s.now}
			parts[key] = p
		}
		p.tokens = min(p.tokens+a.limit.PerSecond/n*(s.now-p.at).Seconds(), most)
		p.at = s.now
		a.needed++
		if p.tokens < 1 {
			s.decide(a, Outcome{Decision: Refused})
			return
		}
		p.tokens--
		s.decide(a, Outcome{Decision: Granted})
	}
}

// central admits requests by a counter of all instances that is known a second late, for comparison.
func (s *simulation) central(_ int, a *simAccount) {
	const delay = time.Second
	known := 0
	for i := len(a.ran) - 1; i >= 0 && s.now-a.ran[i] < testBounds.Window+delay; i-- {
		if s.now-a.ran[i] >= delay {
			known++
		}
	}
	a.needed++
	if float64(known) >= a.limit.PerSecond*testBounds.Window.Seconds()+a.limit.Burst {
		s.decide(a, Outcome{Decision: Refused})
		return
	}
	s.decide(a, Outcome{Decision: Granted})
}

// TestBothErrors guards against quotas that are exceeded, or refuse requests within them, while one
// account sends ten times its usual, and against an account that does not get its quota then. It
// compares the design with equal static parts and with a counter that is known late.
func TestBothErrors(t *testing.T) {
	const begin, floodAt, floodFor, end = 10 * time.Second, 25 * time.Second, 6 * time.Second, 40 * time.Second
	for _, n := range []int{7, 65, 300} {
		for _, callers := range []string{"spread", "at one"} {
			for _, method := range []string{"delegated", "static parts", "counter 1 s late"} {
				s := newSimulation(1, n, powerLaw())
				s.measured = begin
				request := s.request
				switch method {
				case "static parts":
					request = s.static()
				case "counter 1 s late":
					request = s.central
				}
				flooding := s.accounts[3]
				s.runUntil(begin)
				for i, a := range s.accounts {
					at := func() int { return s.serving[s.random.IntN(len(s.serving))] }
					if callers == "at one" {
						at = func() int { return s.serving[i%len(s.serving)] }
					}
					s.load(a, 0.6*a.limit.PerSecond, end, at, request)
					if a == flooding {
						s.at(floodAt, func() { s.load(a, 5.4*a.limit.PerSecond, floodAt+floodFor, at, request) })
					}
				}
				sent := s.sent
				s.runUntil(floodAt + floodFor)
				floodRan := 0
				for _, at := range flooding.ran {
					if at >= floodAt {
						floodRan++
					}
				}
				s.runUntil(end + time.Second)
				var needed, needless [2]int // of large and small accounts
				for i, a := range s.accounts {
					if a == flooding {
						continue
					}
					small := 0
					if i == 0 || i > 20 {
						small = 1
					}
					needed[small] += a.needed
					needless[small] += a.needless
				}
				over, ratio := s.worst()
				quota := flooding.limit.PerSecond*floodFor.Seconds() + flooding.limit.Burst
				t.Logf("%3d instances, callers %-6s, %-16s: needless refusals large %.2f %% small %.2f %%; most in a window %.2f of the bound (%+.0f); flooding account %.2f of its quota",
					n, callers, method, 100*float64(needless[0])/float64(needed[0]), 100*float64(needless[1])/float64(needed[1]), ratio, over,
					float64(floodRan)/quota)
				if method != "delegated" {
					continue
				}
				t.Logf("%3d instances: %.0f datagrams/s in all", n, float64(s.sent-sent)/(end-begin).Seconds())
				qt.Check(t, over <= 0, qt.IsTrue)
				qt.Check(t, float64(needless[0]+needless[1]) <= 0.001*float64(needed[0]+needed[1]), qt.IsTrue)
				qt.Check(t, float64(floodRan) >= 0.95*quota, qt.IsTrue)
			}
		}
	}
}

// TestStart guards against accounts that are refused within their quotas when the instances of a whole
// deployment have just started.
func TestStart(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		needed, needless := 0, 0
		for seed := range uint64(3) {
			s := newSimulation(seed, 65, powerLaw())
			s.runUntil(after)
			for _, a := range s.accounts {
				at := [2]int{s.serving[s.random.IntN(len(s.serving))], s.serving[s.random.IntN(len(s.serving))]}
				s.load(a, 0.6*a.limit.PerSecond, after+10*time.Second, func() int { return at[s.random.IntN(2)] }, s.request)
			}
			s.runUntil(after + 11*time.Second)
			for _, a := range s.accounts {
				needed, needless = needed+a.needed, needless+a.needless
			}
		}
		t.Logf("load from %s after the start: %d of %d requests refused needlessly in 10 s", after, needless, needed)
		qt.Check(t, float64(needless) <= 0.02*float64(needed), qt.IsTrue)
	}
}

// TestWindowRuleWithFaults guards against a quota that is exceeded because instances are killed,
// started, paused or cut off, also many at once and several times, and against a part of a quota that two
// coordinators have.
func TestWindowRuleWithFaults(t *testing.T) {
	closest := math.Inf(-1)
	rapid.Check(t, func(r *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(r, "seed"), rapid.IntRange(3, 30).Draw(r, "instances"), []Limit{
			{PerSecond: 0.5, Burst: 0.5}, {PerSecond: 1, Burst: 1}, {PerSecond: 5, Burst: 5}, {PerSecond: 40, Burst: 40}, {PerSecond: 2, Burst: 20},
		})
		s.loss = rapid.Float64Range(0, 0.05).Draw(r, "loss")
		const full = 12 * time.Second // all token buckets are full
		end := full + 10*time.Second
		s.runUntil(full)
		one := rapid.Bool().Draw(r, "callers at one instance")
		for _, a := range s.accounts {
			s.load(a, max(3*a.limit.PerSecond, 20), end, func() int {
				if one {
					return s.serving[0]
				}
				return s.serving[s.random.IntN(len(s.serving))]
			}, s.request)
		}
		kinds := rapid.SliceOfN(rapid.IntRange(0, faultKinds-1), 1, 3).Draw(r, "faults")
		share := rapid.Float64Range(0.1, 1).Draw(r, "share")
		spacing := rapid.IntRange(400, 3000).Draw(r, "spacing ms")
		i := 0
		for at := full; at < end; at += time.Duration(spacing) * time.Millisecond {
			kind := kinds[i%len(kinds)]
			s.at(at, func() { s.fault(kind, share) })
			i++
		}
		for s.now < end {
			s.runUntil(s.now + 100*time.Millisecond)
			if most := s.shares(); most > 1+roundingError {
				r.Fatalf("coordinators have %g of a quota at %s", most, s.now)
			}
		}
		over, _ := s.worst()
		closest = max(closest, over)
		if over > 0 {
			r.Fatalf("%g requests more in a window than allowed", over)
		}
	})
	t.Logf("closest to the bound: %g requests", -closest)
}

// leased returns a coordinator to which everything has been delegated for a time, as of now.
func leased(now time.Duration) *Coordinator {
	c := NewCoordinator(testBounds)
	for at := time.Duration(0); at <= now; at += AskInterval {
		c.Delegate("a", math.MaxUint16, 0, 1, at, at)
	}
	return c
}

// TestIdleAccountIsDropped guards against memory that grows with all accounts ever seen, and against an
// account that has more tokens because it was dropped.
func TestIdleAccountIsDropped(t *testing.T) {
	now := 100 * AskInterval
	kept, dropped := leased(now), leased(now)
	l := Limit{PerSecond: 1, Burst: 1, Version: 1}
	random := rand.New(rand.NewPCG(1, 1))
	wasDropped := 0
	for range 300 {
		for range random.IntN(120) {
			now += AskInterval
			instances := 1 + random.IntN(50)/49 // now and then a part is missing
			for _, c := range []*Coordinator{kept, dropped} {
				c.Delegate("a", math.MaxUint16, 0, instances, now, now)
			}
		}
		dropped.Sweep(now)
		wasDropped += 1 - dropped.Len()
		q := Question{Account: "x", Waiting: random.IntN(12), Limit: l}
		got, want := dropped.Answer(q, l, now), kept.Answer(q, l, now)
		qt.Assert(t, got.Tokens, qt.Equals, want.Tokens)
	}
	qt.Assert(t, wasDropped > 50, qt.IsTrue)
}

// TestRetryAfterIsTrue guards against a Retry-After at which a refused request is refused again.
func TestRetryAfterIsTrue(t *testing.T) {
	now := 100 * AskInterval
	c := leased(now)
	l := Limit{PerSecond: 10, Burst: 10, Version: 1}
	for c.Answer(Question{Account: "x", Waiting: 1, Limit: l}, l, now).Tokens == 1 {
	}
	var again []time.Duration
	for range 20 {
		again = append(again, now+c.Answer(Question{Account: "x", Waiting: 1, Limit: l}, l, now).RetryAfter)
	}
	for _, at := range again {
		for ; now+AskInterval < at; now += AskInterval {
			c.Delegate("a", math.MaxUint16, 0, 1, now+AskInterval, now+AskInterval)
		}
		// The lease is counted in steps of refreshInterval.
		qt.Assert(t, c.Answer(Question{Account: "x", Waiting: 1, Limit: l}, l, at+refreshInterval).Tokens, qt.Equals, 1)
	}
}

// TestExpiredTokens guards against tokens that are used after a pause, or although the limit was lowered
// since they were granted.
func TestExpiredTokens(t *testing.T) {
	l := Limit{PerSecond: 10, Burst: 10, Version: 1}
	contact := Contact{Reachable: true, Instances: 1000}
	grant := func(h *Holder, now time.Duration) {
		w := &Waiter{Decided: make(chan Outcome, 1)}
		qt.Assert(t, h.Arrive("x", l, contact, now).Decision, qt.Equals, Waiting)
		q, _ := h.Wait("x", l, w, now)
		h.Receive(Grant{Account: "x", ID: q.ID, Tokens: 5, Limit: l}, l, contact, now)
		qt.Assert(t, (<-w.Decided).Decision, qt.Equals, Granted)
	}
	h := NewHolder(testBounds, 1)
	grant(h, time.Second)
	qt.Check(t, h.Arrive("x", l, contact, time.Second+TokenLifetime-1).Decision, qt.Equals, Granted)
	qt.Check(t, h.Arrive("x", l, contact, time.Second+TokenLifetime).Decision, qt.Equals, Waiting)
	h = NewHolder(testBounds, 1)
	grant(h, time.Second)
	raised, lowered := Limit{PerSecond: 20, Burst: 10, Version: 2}, Limit{PerSecond: 5, Burst: 10, Version: 3}
	qt.Check(t, h.Arrive("x", raised, contact, time.Second).Decision, qt.Equals, Granted)
	qt.Check(t, h.Arrive("x", lowered, contact, time.Second).Decision, qt.Equals, Waiting)
}

// TestMinorityStops guards against a side of a long network partition that uses its part although the
// others may no longer count its instances.
func TestMinorityStops(t *testing.T) {
	c := NewCoordinator(testBounds)
	l := Limit{PerSecond: 40, Burst: 40, Version: 1}
	for now := time.Duration(0); now < minorityTimeout+10*time.Second; now += AskInterval {
		c.Delegate("a", math.MaxUint16, 0, 3, now, now)
		g := c.Answer(Question{Account: "x", Waiting: 1, Limit: l}, l, now)
		if now > time.Second {
			qt.Assert(t, g.Tokens == 1, qt.Equals, now <= minorityTimeout, qt.Commentf("%s", now))
		}
	}
}

// TestRefusalsAfterFaults guards against quotas that are lost for long after a fault. Accounts send 0.6 of
// their quotas.
func TestRefusalsAfterFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  int
		share float64
		most  float64 // of the requests in the 10 s from the fault on
	}{
		{"one in six coordinators killed and started", 4, 1.0 / 6, 0.05},
		{"one in six coordinators stopped as planned", 5, 1.0 / 6, 0.02},
		{"all coordinators killed and started", 4, 1, 0.25},
		{"0.6 of all instances restart within 1 s", 0, 0.6, 0.25},
		{"0.3 of all instances cut off", 3, 0.3, 0.35},
	} {
		needed, needless := 0, 0
		for seed := range uint64(5) {
			s := newSimulation(seed, 65, powerLaw())
			s.measured = 20 * time.Second
			s.runUntil(s.measured - 5*time.Second)
			for _, a := range s.accounts {
				s.load(a, 0.6*a.limit.PerSecond, s.measured+10*time.Second, func() int { return s.serving[s.random.IntN(len(s.serving))] }, s.request)
			}
			s.runUntil(s.measured)
			s.fault(c.kind, c.share)
			s.runUntil(s.measured + 11*time.Second)
			for _, a := range s.accounts {
				needed, needless = needed+a.needed, needless+a.needless
			}
			over, _ := s.worst()
			qt.Check(t, over <= 0, qt.IsTrue)
		}
		t.Logf("%s: %.2f %% refused needlessly", c.name, 100*float64(needless)/float64(needed))
		qt.Check(t, float64(needless) <= c.most*float64(needed), qt.IsTrue)
	}
}
