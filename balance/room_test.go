package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLimit guards against a bound that does not fall while replies come late, that
// falls once for each of many requests that waited together, or that does not rise
// again.
func TestLimit(t *testing.T) {
	const due = 100 * time.Millisecond
	var l ConcurrencyLimit
	qt.Assert(t, l.Reached(1000, 1, 1), qt.IsFalse)
	l.ObserveLatency(time.Second, 90*time.Millisecond, due, 8)
	qt.Assert(t, l.Reached(6, 1, 1), qt.IsTrue)
	qt.Assert(t, l.Reached(5, 1, 1), qt.IsFalse)
	l.ObserveLatency(time.Second+time.Millisecond, 91*time.Millisecond, due, 8)
	qt.Assert(t, l.Reached(5, 1, 1), qt.IsFalse, qt.Commentf("lowered twice for one queue"))
	for i := range 20 {
		l.ObserveLatency(time.Duration(2+i)*time.Second, 90*time.Millisecond, due, 6)
	}
	qt.Assert(t, l.Reached(minLimit, 6, 2), qt.IsFalse, qt.Commentf("slots of the searcher stay unused"))
	qt.Assert(t, l.Reached(minLimit-1, 1, 1), qt.IsFalse, qt.Commentf("nothing is let through"))
	qt.Assert(t, l.Reached(minLimit, 1, 1), qt.IsTrue)
	for i := range 5000 {
		l.ObserveLatency(time.Duration(60+i)*time.Second, 5*time.Millisecond, due, 100)
	}
	qt.Assert(t, l.Reached(1000, 1, 1), qt.IsFalse)
}

// TestNext guards against requests that are late already before those that can be in
// time, and against an order that differs between shards.
func TestNext(t *testing.T) {
	now, latency := time.Second, 20*time.Millisecond
	late, soon := now+10*time.Millisecond, now+30*time.Millisecond
	qt.Assert(t, NextQueued(now, latency, nil), qt.Equals, -1)
	line := []QueuedRequest{{Rank: 0.1, DueBy: late}, {Rank: 0.9, DueBy: soon}, {Rank: 0.5, DueBy: soon}, {Rank: 0.5, DueBy: soon}}
	qt.Assert(t, NextQueued(now, latency, line), qt.Equals, 2)
	qt.Assert(t, NextQueued(now, latency, line[:1]), qt.Equals, 0)
}

// TestRank guards against an order that does not prefer urgent routes where room is
// short, and against one that leaves nothing to the others.
func TestRank(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	const requests, room = 10000, 0.7
	admitted := func(priority int) float64 {
		n := 0
		for range requests {
			if Rank(random.Float64(), priority) < room {
				n++
			}
		}
		return float64(n) / requests
	}
	urgent, usual, rest := admitted(0), admitted(1), admitted(3)
	qt.Assert(t, urgent > usual && usual > rest && rest > 0.1, qt.IsTrue, qt.Commentf("%.2f, %.2f, %.2f", urgent, usual, rest))
}

// TestCut guards against a cut that lets nothing in, or that stays when there is room.
func TestCut(t *testing.T) {
	var c Shedder
	qt.Assert(t, c.Admits(0.999), qt.IsTrue)
	for range 1000 {
		c.ObserveUnsent()
	}
	qt.Assert(t, c.Admits(minServed/2), qt.IsTrue)
	qt.Assert(t, c.Admits(0.5), qt.IsFalse)
	for range 100 {
		c.ObserveSpareCapacity()
	}
	qt.Assert(t, c.Admits(0.999), qt.IsTrue)
}

// overload is one instance before a searcher that is offered more than it can do.
type overload struct {
	limit   ConcurrencyLimit
	cut     Shedder
	bounded bool
	now     time.Duration
	// line holds requests at the instance, queue and running those at the searcher.
	line    []QueuedRequest
	queue   []sent
	running []sent
	inTime  int
}

// sent is a request at the searcher.
type sent struct {
	dueBy, at, ends time.Duration
	outstanding     int
}

const (
	playSlots = 3
	playWork  = 15 * time.Millisecond
	playDue   = 100 * time.Millisecond
)

func (o *overload) outstanding() int { return len(o.queue) + len(o.running) }

// place sends what may be sent, and starts what the searcher has slots for.
func (o *overload) place() {
	for len(o.line) > 0 && !(o.bounded && o.limit.Reached(o.outstanding(), playSlots, 1)) {
		i := 0
		if o.bounded {
			i = NextQueued(o.now, playWork, o.line)
		}
		o.queue = append(o.queue, sent{dueBy: o.line[i].DueBy, at: o.now, outstanding: o.outstanding() + 1})
		o.line = append(o.line[:i], o.line[i+1:]...)
	}
	for len(o.queue) > 0 && len(o.running) < playSlots {
		s := o.queue[0]
		o.queue = o.queue[1:]
		s.ends = o.now + playWork
		o.running = append(o.running, s)
	}
}

func (o *overload) arrive(rank float64) {
	if o.bounded && o.limit.Reached(o.outstanding(), playSlots, 1) && !o.cut.Admits(rank) {
		return
	}
	o.line = append(o.line, QueuedRequest{Rank: rank, DueBy: o.now + playDue})
}

func (o *overload) step() {
	o.now += time.Millisecond
	kept := o.running[:0]
	for _, s := range o.running {
		if s.ends > o.now {
			kept = append(kept, s)
			continue
		}
		if o.now <= s.dueBy {
			o.inTime++
		}
		o.limit.ObserveLatency(o.now, o.now-s.at, playDue, s.outstanding)
		if len(o.line) == 0 {
			o.cut.ObserveSpareCapacity()
		}
	}
	o.running = kept
	waiting := o.line[:0]
	for _, w := range o.line {
		if o.now < w.DueBy {
			waiting = append(waiting, w)
		} else if o.cut.ObserveUnsent(); !o.bounded {
			waiting = append(waiting, w)
		}
	}
	o.line = waiting
	o.place()
}

// TestOverload guards against a searcher that answers hardly anything in time because
// it is offered a third more than it can do: its queue then only grows.
func TestOverload(t *testing.T) {
	const steps, overloadFactor = 20000, 1.33
	perStep := overloadFactor * playSlots / playWork.Seconds() * time.Millisecond.Seconds()
	inTime := func(bounded bool) float64 {
		random := rand.New(rand.NewPCG(3, 4))
		o := &overload{bounded: bounded}
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
	without, with := inTime(false), inTime(true)
	// What the searcher can do is 1/1.33 of what is offered.
	qt.Assert(t, with > 0.6, qt.IsTrue, qt.Commentf("in time %.2f, without a bound %.2f", with, without))
	qt.Assert(t, without < 0.2, qt.IsTrue, qt.Commentf("the load is no overload: %.2f", without))
}
