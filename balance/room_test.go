package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestConcurrencyLimit guards against a limit that is not reduced while replies are late,
// that is reduced once for each request of the same queue, or that does not rise again.
func TestConcurrencyLimit(t *testing.T) {
	const latencyTarget = 100 * time.Millisecond
	var l ConcurrencyLimit
	qt.Assert(t, l.Reached(1000, 1, 1), qt.IsFalse)
	l.ObserveLatency(time.Second, 90*time.Millisecond, latencyTarget, 8)
	qt.Assert(t, l.Reached(6, 1, 1), qt.IsTrue)
	qt.Assert(t, l.Reached(5, 1, 1), qt.IsFalse)
	l.ObserveLatency(time.Second+time.Millisecond, 91*time.Millisecond, latencyTarget, 8)
	qt.Assert(t, l.Reached(5, 1, 1), qt.IsFalse, qt.Commentf("reduced twice for one queue"))
	for i := range 20 {
		l.ObserveLatency(time.Duration(2+i)*time.Second, 90*time.Millisecond, latencyTarget, 6)
	}
	qt.Assert(t, l.Reached(minLimit, 6, 2), qt.IsFalse, qt.Commentf("the instance does not use its share of the slots"))
	qt.Assert(t, l.Reached(minLimit-1, 1, 1), qt.IsFalse, qt.Commentf("the limit admits nothing"))
	qt.Assert(t, l.Reached(minLimit, 1, 1), qt.IsTrue)
	for i := range 5000 {
		l.ObserveLatency(time.Duration(60+i)*time.Second, 5*time.Millisecond, latencyTarget, 100)
	}
	qt.Assert(t, l.Reached(1000, 1, 1), qt.IsFalse)
}

// TestNextQueued guards against sending requests that will be late before those that can
// still be in time, and against an order that differs between shards.
func TestNextQueued(t *testing.T) {
	now, latency := time.Second, 20*time.Millisecond
	dueTooSoon, dueInTime := now+10*time.Millisecond, now+30*time.Millisecond
	qt.Assert(t, NextQueued(now, latency, nil), qt.Equals, -1)
	queue := []QueuedRequest{{Rank: 0.1, DueBy: dueTooSoon}, {Rank: 0.9, DueBy: dueInTime}, {Rank: 0.5, DueBy: dueInTime}, {Rank: 0.5, DueBy: dueInTime}}
	qt.Assert(t, NextQueued(now, latency, queue), qt.Equals, 2)
	qt.Assert(t, NextQueued(now, latency, queue[:1]), qt.Equals, 0)
}

// TestRank guards against an order that does not prefer urgent routes when capacity is
// short, and against one that leaves no capacity to other routes.
func TestRank(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	const requests, capacity = 10000, 0.7
	admitted := func(priority int) float64 {
		n := 0
		for range requests {
			if Rank(random.Float64(), priority) < capacity {
				n++
			}
		}
		return float64(n) / requests
	}
	urgent, usual, rest := admitted(0), admitted(1), admitted(3)
	qt.Assert(t, urgent > usual && usual > rest && rest > 0.1, qt.IsTrue, qt.Commentf("%.2f, %.2f, %.2f", urgent, usual, rest))
}

// TestShedder guards against shedding all requests, and against shedding that goes on when
// there is spare capacity.
func TestShedder(t *testing.T) {
	var sh Shedder
	qt.Assert(t, sh.Admits(0.999), qt.IsTrue)
	for range 1000 {
		sh.ObserveUnsent()
	}
	qt.Assert(t, sh.Admits(minAdmitted/2), qt.IsTrue)
	qt.Assert(t, sh.Admits(0.5), qt.IsFalse)
	for range 100 {
		sh.ObserveEmptyQueue()
	}
	qt.Assert(t, sh.Admits(0.999), qt.IsTrue)
}

// overloadSim simulates one instance and a searcher that gets more requests than it can
// serve.
type overloadSim struct {
	limit   ConcurrencyLimit
	shedder Shedder
	// limited says whether the limit, the shedder and the order by rank are applied.
	limited bool
	now     time.Duration
	// instanceQueue holds the requests that wait at the instance, searcherQueue those
	// that wait at the searcher, and running those that it runs.
	instanceQueue []QueuedRequest
	searcherQueue []sentRequest
	running       []sentRequest
	inTime        int
}

// sentRequest is a request that was sent to the searcher.
type sentRequest struct {
	dueBy, sentAt, endsAt time.Duration
	outstanding           int
}

const (
	simSlots         = 3
	simServiceTime   = 15 * time.Millisecond
	simLatencyTarget = 100 * time.Millisecond
)

func (o *overloadSim) outstanding() int { return len(o.searcherQueue) + len(o.running) }

// dispatch sends the requests that the limit allows, and starts queued requests at the
// searcher while it has free slots.
func (o *overloadSim) dispatch() {
	for len(o.instanceQueue) > 0 && !(o.limited && o.limit.Reached(o.outstanding(), simSlots, 1)) {
		i := 0
		if o.limited {
			i = NextQueued(o.now, simServiceTime, o.instanceQueue)
		}
		o.searcherQueue = append(o.searcherQueue, sentRequest{dueBy: o.instanceQueue[i].DueBy, sentAt: o.now, outstanding: o.outstanding() + 1})
		o.instanceQueue = append(o.instanceQueue[:i], o.instanceQueue[i+1:]...)
	}
	for len(o.searcherQueue) > 0 && len(o.running) < simSlots {
		s := o.searcherQueue[0]
		o.searcherQueue = o.searcherQueue[1:]
		s.endsAt = o.now + simServiceTime
		o.running = append(o.running, s)
	}
}

// arrive queues a request at the instance, unless it is shed.
func (o *overloadSim) arrive(rank float64) {
	if o.limited && o.limit.Reached(o.outstanding(), simSlots, 1) && !o.shedder.Admits(rank) {
		return
	}
	o.instanceQueue = append(o.instanceQueue, QueuedRequest{Rank: rank, DueBy: o.now + simLatencyTarget})
}

// step advances the simulation by one millisecond.
func (o *overloadSim) step() {
	o.now += time.Millisecond
	kept := o.running[:0]
	for _, s := range o.running {
		if s.endsAt > o.now {
			kept = append(kept, s)
			continue
		}
		if o.now <= s.dueBy {
			o.inTime++
		}
		o.limit.ObserveLatency(o.now, o.now-s.sentAt, simLatencyTarget, s.outstanding)
		if len(o.instanceQueue) == 0 {
			o.shedder.ObserveEmptyQueue()
		}
	}
	o.running = kept
	waiting := o.instanceQueue[:0]
	for _, request := range o.instanceQueue {
		if o.now < request.DueBy {
			waiting = append(waiting, request)
		} else if o.shedder.ObserveUnsent(); !o.limited {
			waiting = append(waiting, request)
		}
	}
	o.instanceQueue = waiting
	o.dispatch()
}

// TestOverload guards against a searcher that answers hardly any request in time because
// it gets a third more requests than it can serve, so that its queue keeps growing.
func TestOverload(t *testing.T) {
	const steps, overloadFactor = 20000, 1.33
	perStep := overloadFactor * simSlots / simServiceTime.Seconds() * time.Millisecond.Seconds()
	inTime := func(limited bool) float64 {
		random := rand.New(rand.NewPCG(3, 4))
		o := &overloadSim{limited: limited}
		offered := 0
		for range steps {
			if random.Float64() < perStep {
				offered++
				o.arrive(random.Float64())
			}
			o.step()
		}
		return float64(o.inTime) / float64(offered)
	}
	withoutLimit, withLimit := inTime(false), inTime(true)
	// The searcher can serve 1/1.33 of the requests.
	qt.Assert(t, withLimit > 0.6, qt.IsTrue, qt.Commentf("in time %.2f, without a limit %.2f", withLimit, withoutLimit))
	qt.Assert(t, withoutLimit < 0.2, qt.IsTrue, qt.Commentf("the load is no overload: %.2f", withoutLimit))
}
