package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

// dialTimeout bounds the opening of a connection to a searcher.
const dialTimeout = 1 * time.Second

func (d *Dispatcher) dial(a *Attempt, t *target) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := searcher.Dial(ctx, t.Address, func(c *connection) { d.connectionEnded(t, c) })
	d.metrics.dialed(err)
	if err != nil {
		d.dialFailed(a, t)
		return
	}
	d.mu.Lock()
	if a.closed || a.silenced || !d.usable(t, a.Regions, d.config.Clock.Boottime()) {
		// The request is no longer needed, or the searcher may no longer get it.
		ready := d.release(t, conn)
		d.mu.Unlock()
		runAll(ready)
		d.end(a, Event{Attempt: a, Outcome: Unsent}, nil)
		return
	}
	a.conn = conn
	d.mu.Unlock()
	d.send(a, conn)
}

func (d *Dispatcher) dialFailed(a *Attempt, t *target) {
	d.mu.Lock()
	t.open--
	now := d.config.Clock.Boottime()
	t.record.MarkUnreachable(now)
	t.sightings.AddFailure(now)
	d.mu.Unlock()
	d.end(a, Event{Attempt: a, Outcome: Unsent}, nil)
}

func (d *Dispatcher) send(a *Attempt, conn *connection) {
	left := a.Deadline - d.config.Clock.Boottime()
	if left <= 0 {
		d.mu.Lock()
		ready := d.release(a.target, conn)
		d.mu.Unlock()
		runAll(ready)
		d.end(a, Event{Attempt: a, Outcome: Unsent}, nil)
		return
	}
	conn.Send(&searcher.Exchange{
		RequestID: a.RequestID,
		Method:    a.Method,
		Wire:      a.Wire(a.target.ID, left),
		Done:      func(reply *searcher.Reply, err error) { d.replied(a, conn, reply, err) },
	})
}

// replied takes the end of the exchange.
func (d *Dispatcher) replied(a *Attempt, conn *connection, reply *searcher.Reply, err error) {
	e := Event{Attempt: a, Reply: reply, Outcome: classify(reply, err)}
	now := d.config.Clock.Boottime()
	e.Latency = now - a.sent
	d.mu.Lock()
	t := a.target
	switch e.Outcome {
	case Answered:
		t.record.ObserveReply(now, now-a.sent, true)
		t.limit.ObserveLatency(now, now-a.sent, a.Due, a.outstanding)
		a.service.latency.Add(now, now-a.sent)
		usual, _ := a.service.latency.At(0.5)
		t.sightings.AddReply(now, now-a.sent, usual)
	case Failed, Refused:
		t.record.ObserveReply(now, now-a.sent, false)
		t.sightings.AddFailure(now)
		t.replaced = t.replaced || reply.Says.OtherInstance
	case Broken:
		if !errors.Is(err, searcher.ErrAbandoned) {
			t.record.ObserveBrokenExchange(now)
			t.sightings.AddFailure(now)
		}
	}
	d.mu.Unlock()
	d.end(a, e, conn)
}

// end closes the attempt and reports its outcome, if somebody waits for it.
func (d *Dispatcher) end(a *Attempt, e Event, conn *connection) {
	d.mu.Lock()
	if a.closed {
		d.mu.Unlock()
		return
	}
	a.closed = true
	a.target.ended(a)
	if e.Outcome == Answered && len(a.service.waiters) == 0 {
		a.service.cut.ObserveSpareCapacity()
	}
	if e.Outcome == Unsent && a.Kind.Repeats() {
		a.service.budget.Refund()
	}
	var ready []func()
	if conn != nil {
		ready = d.release(a.target, conn)
	} else {
		ready = a.service.launchWaiters(d)
	}
	silenced := a.silenced
	d.mu.Unlock()
	d.metrics.ended(e.Outcome)
	runAll(ready)
	if !silenced {
		a.Ended(e)
	}
}

// release makes a connection available again, if it still is one.
func (d *Dispatcher) release(t *target, conn *connection) []func() {
	if conn.Usable(time.Now()) && !t.removed && !t.Draining && !t.guest {
		t.idle = append(t.idle, conn)
		return t.service.launchWaiters(d)
	}
	// Closing it calls connectionEnded, which launches the waiters.
	return []func(){conn.Close}
}

func (d *Dispatcher) connectionEnded(t *target, c *connection) {
	d.mu.Lock()
	t.forget(c)
	ready := t.service.launchWaiters(d)
	d.mu.Unlock()
	// The caller may hold up a reply until this returns.
	runAll(ready)
}

// launchWaiters binds waiting attempts to connections that have become free.
func (s *service) launchWaiters(d *Dispatcher) []func() {
	var ready []func()
	for len(s.waiters) > 0 {
		now := d.config.Clock.Boottime()
		i := s.nextWaiter(now)
		a := s.waiters[i]
		launch, err := d.place(a)
		if err == nil && launch == nil {
			return ready
		}
		s.waiters = slices.Delete(s.waiters, i, i+1)
		if err != nil {
			ready = append(ready, func() { d.endWaiter(a) })
			continue
		}
		ready = append(ready, launch)
	}
	return ready
}

// nextWaiter returns the index of the attempt that is placed next.
func (s *service) nextWaiter(now time.Duration) int {
	line := make([]balance.QueuedRequest, len(s.waiters))
	for i, a := range s.waiters {
		line[i] = balance.QueuedRequest{Rank: a.Rank, DueBy: a.DueBy}
	}
	usual, _ := s.latency.At(0.5)
	return balance.NextQueued(now, usual, line)
}

// endWaiter ends an attempt that waited in vain.
func (d *Dispatcher) endWaiter(a *Attempt) {
	d.mu.Lock()
	silenced := a.silenced || a.closed
	a.closed = true
	if a.Kind.Repeats() && !silenced {
		a.service.budget.Refund()
	}
	d.mu.Unlock()
	if !silenced {
		a.Ended(Event{Attempt: a, Outcome: Unsent})
	}
}
