package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/cost"
	"github.com/wisteriawharf/wisteriawharf/fleet"
)

var expensive, cheap = cost.Kind{Route: "expensive"}, cost.Kind{Route: "cheap"}

// newCostDispatcher returns a dispatcher with searchers of one service. If differ is true, it has learned that
// expensive requests take 200 ms and cheap ones 10 ms.
func newCostDispatcher(searchers int, differ bool) (*Dispatcher, []*target, time.Duration) {
	d := newDispatcher(func() int { return 1 })
	now := clock.System{}.Boottime()
	var targets []*target
	for i := range searchers {
		id := fmt.Sprint(i)
		d.PutSearcher(fleet.Searcher{ID: id, Service: "s", Slots: 2})
		targets = append(targets, d.searchers[id])
		for n := range 20 {
			at := now - 3*time.Second + time.Duration(n)*100*time.Millisecond
			for kind, latency := range map[cost.Kind]time.Duration{expensive: 200 * time.Millisecond, cheap: 10 * time.Millisecond} {
				if !differ {
					latency = 10 * time.Millisecond
				}
				d.searchers[id].stats.ObserveReply(at, latency, true)
				d.services["s"].costs.ObserveReply(at, &d.searchers[id].cost, cost.Request{Kind: kind, Cost: latency}, latency)
			}
		}
	}
	return d, targets, now
}

func run(d *Dispatcher, t *target, k cost.Kind, now time.Duration) {
	d.bind(&Attempt{Request: Request{CostKind: k}, d: d, service: t.service}, t, now, time.Time{})
}

// TestOutstandingWorkCountsByCost guards against a request that is sent behind one expensive request
// because the other searchers have more requests, which are cheap.
func TestOutstandingWorkCountsByCost(t *testing.T) {
	d, targets, now := newCostDispatcher(2, true)
	run(d, targets[0], expensive, now)
	run(d, targets[1], cheap, now)
	run(d, targets[1], cheap, now)
	for range 20 {
		qt.Assert(t, d.choose(d.services["s"], &Request{CostKind: cheap, DueBy: now + time.Second}, targets, now), qt.Equals, 1)
	}
	targets[1].removeRunning(targets[1].running[0])
	targets[1].removeRunning(targets[1].running[0])
	qt.Check(t, targets[1].cost.Left(now), qt.Equals, time.Duration(0), qt.Commentf("ended requests count as outstanding"))
}

// TestExpensiveRequestIsNotReportedAsSlow guards against reports that make other instances avoid a searcher
// because it got an expensive request, and against reports of a slow one that change nothing.
func TestExpensiveRequestIsNotReportedAsSlow(t *testing.T) {
	for _, differ := range []bool{true, false} {
		d, targets, now := newCostDispatcher(1, differ)
		for range 100 {
			d.services["s"].latency.Add(now, 10*time.Millisecond)
		}
		a := &Attempt{Request: Request{CostKind: expensive, LatencyTarget: time.Second}, d: d, service: d.services["s"], target: targets[0]}
		a.work = d.services["s"].costs.Start(now, &targets[0].cost, expensive, 2)
		targets[0].observeAnswer(a, Event{Latency: 200 * time.Millisecond}, now)
		qt.Check(t, targets[0].observations.PendingCount(now) > 0, qt.Equals, !differ)
		d, targets, _ = newCostDispatcher(1, differ)
		for range 100 {
			d.services["s"].latency.Add(now, 10*time.Millisecond)
		}
		d.ApplyReports([]balance.Report{{Searcher: "0", Answered: 20, MeanLatency: 80 * time.Millisecond}})
		qt.Check(t, targets[0].cost.Slowness(now) > 3, qt.IsTrue)
	}
}

// TestLateRequestsAreRefusedAtOnce guards against a request that waits in the queue until its answer is
// due although it can't be answered by then, and against refusing one that can.
func TestLateRequestsAreRefusedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		second cost.Kind // the requests that run are an expensive one and this
		kind   cost.Kind
		left   time.Duration
		differ bool
		err    error
	}{
		{"behind expensive requests", expensive, cheap, 50 * time.Millisecond, true, ErrTooLate},
		{"expensive itself", cheap, expensive, 80 * time.Millisecond, true, ErrTooLate},
		{"in time", expensive, cheap, 5 * time.Second, true, nil},
		{"behind a cheap request", cheap, cheap, 50 * time.Millisecond, true, nil},
		{"costs not known to differ", expensive, cheap, 50 * time.Millisecond, false, nil},
	} {
		d, targets, now := newCostDispatcher(1, c.differ)
		targets[0].limit.ObserveLatency(now, time.Second, time.Millisecond, 1) // one request at a time
		run(d, targets[0], expensive, now)
		run(d, targets[0], c.second, now)
		r := Request{Service: "s", CostKind: c.kind, DueBy: now + c.left, Deadline: now + time.Minute}
		qt.Check(t, d.HasRoom(r), qt.Equals, c.err == nil, qt.Commentf(c.name))
		_, err := d.Start(r)
		qt.Check(t, err, qt.Equals, c.err, qt.Commentf(c.name))
	}
}

// BenchmarkChoose compares the choice by expected cost with that by latency alone.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{90, 1440} {
		d, targets, now := newCostDispatcher(n, true)
		s := d.services["s"]
		r := &Request{CostKind: cheap, DueBy: now + time.Second}
		b.Run(fmt.Sprintf("latency alone/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				var candidates []balance.Candidate
				for _, t := range targets {
					candidates = append(candidates, t.candidate(now, ""))
				}
				latency, _ := s.latency.Quantile(0.5)
				balance.Choose(now, candidates, latency)
			}
		})
		b.Run(fmt.Sprintf("cost/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.choose(s, r, targets, now)
			}
		})
	}
}

// TestOutstandingWorkEnds guards against a searcher that counts as busy for good because a request to it
// ended without an answer, and against costs that are learned from such requests or from opening connections.
func TestOutstandingWorkEnds(t *testing.T) {
	d := newDispatcher(func() int { return 1 })
	server, ended := startHeldServer(t), make(chan Event, 8)
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: server.address, Slots: 2})
	d.PutSearcher(fleet.Searcher{ID: "unreachable", Service: "s", Address: "127.0.0.1:1", Slots: 2})
	begin := func(avoid string) *Attempt {
		now := clock.System{}.Boottime()
		a, err := d.Start(Request{
			Service: "s", Deadline: now + time.Minute, DueBy: now + time.Minute, LatencyTarget: time.Minute, CostKind: cheap, Avoid: []string{avoid},
			Encode: func(string, time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
			OnEnd:  func(e Event) { ended <- e },
		})
		qt.Assert(t, err, qt.IsNil)
		return a
	}
	begin("i")
	qt.Check(t, (<-ended).Outcome, qt.Equals, Unsent)
	cancelled, abandoned := begin("unreachable"), begin("unreachable")
	<-server.arrived
	<-server.arrived
	cancelled.Cancel()
	abandoned.Abandon()
	for len(d.searchers["i"].runningNow(d)) > 0 {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, d.services["s"].costs.ServiceCost(clock.System{}.Boottime()), qt.Equals, time.Duration(0), qt.Commentf("learned without an answer"))
	answered := begin("unreachable")
	<-server.arrived
	for range 3 {
		server.reply <- struct{}{} // two of them to the connections that are closed
	}
	e := <-ended
	qt.Check(t, e.Outcome, qt.Equals, Answered)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.System{}.Boottime()
	qt.Check(t, d.services["s"].costs.ServiceCost(now) <= e.Latency-answered.dialTook, qt.IsTrue)
	for _, s := range d.searchers {
		qt.Check(t, s.cost.Left(now), qt.Equals, time.Duration(0), qt.Commentf(s.ID))
	}
}

func (t *target) runningNow(d *Dispatcher) []*Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t.running
}
