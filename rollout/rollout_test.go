package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Bounds and times of the simulated roll-outs, from the stated targets.
const (
	testDuration  = 12 * time.Second
	rollbackLimit = 5 * time.Second
	// reportDelay is how old the sums of a leader are at most, statusDelay how long a decision
	// takes to be written and to reach all instances, badDelay that of the notice of a bad version.
	reportDelay = 500 * time.Millisecond
	statusDelay = 500 * time.Millisecond
	badDelay    = 100 * time.Millisecond
	// runTime is how long a request runs.
	runTime = 150 * time.Millisecond
)

var testBounds = Bounds{Share: 0.1, Slack: 50}

// trial is a simulated roll-out at a number of instances with uneven demand.
type trial struct {
	instances int
	perSecond float64
	routes    int
	// bad reports whether a reply is bad, given the version, the route, the time and the share
	// of the requests that the new version gets then.
	bad func(random *rand.Rand, isNew bool, route int, at time.Duration, share float64) bool
}

// outcome is how a trial ended.
type outcome struct {
	status         Status
	sent, requests int
	badReplies     int
	// lastAfter is how long after the 50th bad reply the last request went to the new version.
	lastAfter time.Duration
	endedAt   time.Duration
}

func (x trial) run(seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	type instance struct {
		use    Use
		weight float64
		place  Place
	}
	instances, weights := make([]instance, x.instances), 0.0
	for i := range instances {
		weight := random.ExpFloat64() * random.ExpFloat64()
		weights += weight
		instances[i] = instance{weight: weights, place: Place{Instances: x.instances, Position: float64(i) / float64(x.instances)}}
	}
	tally := make(Tally)
	var history []Tally // one for each step of 50 ms
	var out outcome
	var evidence Evidence
	status := Status{State: Running, TargetVersion: "v2", Phase: Canary}
	written, writtenAt, promotedAt := status, time.Duration(-1), time.Duration(0)
	fiftiethBad, lastOld := time.Duration(0), time.Duration(0)
	const step = 50 * time.Millisecond
	for now := time.Duration(0); now < testDuration; now += step {
		if writtenAt >= 0 && now >= writtenAt {
			if written.Phase == Promote && status.Phase != Promote {
				promotedAt = now
			}
			status, writtenAt = written, -1
			if status.State != Running {
				out.endedAt = now
			}
		}
		if status.State != Running {
			out.status = status
			break
		}
		share := map[Phase]float64{Canary: testBounds.Share, Ramp: rampShare, Promote: 1}[status.Phase]
		for n := random.Float64() * 2 * x.perSecond * step.Seconds(); random.Float64() < n; n-- {
			pick := random.Float64() * weights
			i := 0
			for instances[i].weight < pick {
				i++
			}
			u := &instances[i].use
			u.Requests++
			isNew := status.Phase == Promote || u.Allows(testBounds, status.Phase, float64(now)/float64(testDuration), instances[i].place)
			route := random.IntN(x.routes)
			bad := x.bad(random, isNew, route, now, share)
			c := tally[uint32(route+1)]
			c.Requests++
			c.AddReply(isNew, bad)
			out.requests++
			if isNew {
				u.Sent++
				c.Sent++
				out.sent++
				if fiftiethBad > 0 {
					out.lastAfter = now - fiftiethBad
				}
				if bad {
					if out.badReplies++; out.badReplies == 50 {
						fiftiethBad = now
					}
				}
			} else {
				lastOld = now
			}
			tally[uint32(route+1)] = c
		}
		history = append(history, tally.Clone())
		if now%rolloutStep != 0 || len(history) <= int(reportDelay/step) || writtenAt >= 0 {
			continue
		}
		s := Situation{
			Order: Order{TargetVersion: "v2", Duration: testDuration, Status: status}, Elapsed: now, Sums: history[len(history)-1-int(reportDelay/step)],
			NewSlots: 10, OldSlots: 10, KnownService: true,
		}
		s.Verdict = evidence.Judge(s.Sums)
		if status.Phase == Promote {
			s.PromotedFor = now - promotedAt
			if now-lastOld < runTime+reportDelay {
				s.RunningOld = 1
			}
		}
		if next, changes := testBounds.Decide(s); changes {
			written, writtenAt = next, now+statusDelay
			if s.Verdict.Bad {
				writtenAt = now + badDelay
			}
		}
	}
	if writtenAt >= 0 {
		out.status, out.endedAt = written, testDuration // written in time, and on its way
	}
	return out
}

// rolloutStep is the time between two decisions of a leader.
const rolloutStep = 250 * time.Millisecond

// usual returns whether a reply of any version is bad: some always are, all in a pause of 100 ms in
// every 2.4 s, and more while the whole service has a fault.
func usual(random *rand.Rand, at time.Duration, rate float64, fault time.Duration) bool {
	if at > fault && at < fault+2*time.Second && random.Float64() < 0.5 {
		return true
	}
	return random.Float64() < rate || at%(2400*time.Millisecond) < 100*time.Millisecond
}

// badTrial makes the version of a trial bad: in a portion of its replies, from a time on, on one route
// or on all if it is negative, and from a share of the requests on.
func (x *trial) makeBad(portion float64, from time.Duration, route int, load float64) {
	x.bad = func(random *rand.Rand, isNew bool, r int, at time.Duration, share float64) bool {
		if isNew && at >= from && share >= load && (route < 0 || r == route) && random.Float64() < portion {
			return true
		}
		return usual(random, at, 0.01, time.Hour)
	}
}

// exceeds reports whether the new version got more requests than the bounds allow until the end of
// the order's duration. After a roll-back the requests go to the established version.
func (o outcome) exceeds() bool {
	all := float64(o.requests) * float64(testDuration) / float64(o.endedAt)
	return float64(o.sent) > testBounds.Share*all+testBounds.Slack
}

// TestBadVersion guards against a version that is bad from the start and is completed, gets more than
// the bounds allow, or gets requests later than the limit after its 50th bad reply.
func TestBadVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := trial{
			instances: rapid.SampledFrom([]int{1, 6, 73, 300}).Draw(t, "instances"),
			perSecond: rapid.Float64Range(20, 100).Draw(t, "per second"),
			routes:    rapid.IntRange(1, 3).Draw(t, "routes"),
		}
		x.makeBad(rapid.Float64Range(0.7, 1).Draw(t, "portion of bad replies"), 0, -1, 0)
		out := x.run(rapid.Uint64().Draw(t, "seed"))
		if out.status.State != RolledBack || out.lastAfter > rollbackLimit || out.exceeds() {
			t.Fatalf("%+v", out)
		}
	})
}

// TestVerdicts guards against wrong verdicts: good versions that are not completed, also if the whole
// service has a fault for 2 s before the promotion, and bad ones that are completed, get more than the
// bounds allow or get requests later than the limit after their 50th bad reply.
func TestVerdicts(t *testing.T) {
	portion := func(seed uint64) float64 { return 0.5 + 0.5*float64(seed)/verdictSeeds }
	for kind, change := range map[string]func(x *trial, seed uint64){
		"good": func(x *trial, seed uint64) {
			fault := []time.Duration{2 * time.Second, 6 * time.Second, time.Hour}[seed%3]
			x.bad = func(random *rand.Rand, _ bool, _ int, at time.Duration, _ float64) bool {
				return usual(random, at, 0.02, fault)
			}
		},
		"bad-from-start": func(x *trial, seed uint64) { x.makeBad(portion(seed), 0, -1, 0) },
		"bad-later":      func(x *trial, seed uint64) { x.makeBad(portion(seed), time.Duration(seed%6)*time.Second, -1, 0) },
		"bad-under-load": func(x *trial, seed uint64) { x.makeBad(portion(seed), 0, -1, 0.2) },
		"bad-on-a-route": func(x *trial, seed uint64) { x.makeBad(portion(seed), 0, 0, 0) },
	} {
		t.Run(kind, func(t *testing.T) {
			for _, instances := range []int{1, 6, 73, 300} {
				for _, perSecond := range []float64{20, 50, 100} {
					for seed := range uint64(verdictSeeds) {
						x := trial{instances: instances, perSecond: perSecond, routes: 1 + int(seed%3)}
						change(&x, seed)
						checkVerdict(t, kind == "good", x.run(seed), fmt.Sprintf("%d instances, %g requests/s, seed %d", instances, perSecond, seed))
					}
				}
			}
		})
	}
}

// verdictSeeds is the number of roll-outs of TestVerdicts for each kind, number of instances and rate.
const verdictSeeds = 40

// checkVerdict reports an outcome that is wrong for a good or a bad version.
func checkVerdict(t *testing.T, good bool, out outcome, name string) {
	t.Helper()
	switch {
	case good && out.status.State != Completed:
		t.Errorf("%s: a good version is not completed: %+v", name, out.status)
	case good:
	case out.status.State != RolledBack:
		t.Errorf("%s: a bad version is not rolled back: %+v", name, out.status)
	case out.exceeds():
		t.Errorf("%s: a bad version got %d requests", name, out.sent)
	case out.lastAfter > rollbackLimit:
		t.Errorf("%s: a bad version got a request %v after its 50th bad reply", name, out.lastAfter)
	}
}

// TestShare guards against instances that together send more to the new version than the bounds
// allow, as long as nothing is known of it.
func TestShare(t *testing.T) {
	for _, n := range []int{1, 6, 73, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 2))
				uses := make([]Use, n)
				sent := 0
				for total := 1; total <= 1200; total++ {
					// Demand is uneven: most goes to a few instances.
					i := int(float64(n) * random.Float64() * random.Float64())
					u := &uses[i]
					u.Requests++
					if u.Allows(testBounds, Canary, float64(total)/1200, Place{Instances: n, Position: float64((i*7)%n) / float64(n)}) {
						u.Sent++
						sent++
					}
					if float64(sent) > testBounds.Share*float64(total)+testBounds.Slack {
						t.Fatalf("seed %d: %d of %d", seed, sent, total)
					}
				}
				qt.Assert(t, sent >= minEvidence, qt.IsTrue, qt.Commentf("%d of 1200", sent))
			}
		})
	}
}
