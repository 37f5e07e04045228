package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/eligibility"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

// dialTimeout is the time limit for opening a connection to a searcher.
const dialTimeout = 1 * time.Second

// dial opens a connection to the chosen searcher and sends the request. It ends the
// attempt as Unsent if the connection can't be opened, or if the request must not be
// sent now.
func (d *Dispatcher) dial(a *Attempt, t *target) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	began := d.config.Clock.Boottime()
	conn, err := searcher.Dial(ctx, a.address, d.replyLimits(a), func(c *connection) { d.connectionEnded(t, c) })
	d.metrics.dialed(err)
	if err != nil {
		d.dialFailed(a, t)
		return
	}
	dialled := d.config.Clock.Boottime()
	d.mu.Lock()
	a.dialTook = dialled - a.chosenAt
	t.cost.ObserveDial(dialled - began)
	if a.finished || a.detached || !d.maySend(a, t) {
		// The request is no longer needed, or the searcher must no longer get it.
		tasks := d.release(t, conn)
		d.mu.Unlock()
		runAll(tasks)
		d.end(a, Event{Attempt: a, Outcome: Unsent}, nil)
		return
	}
	a.conn = conn
	d.mu.Unlock()
	if a.RunOnce {
		time.Sleep(min(d.config.Clock.Boottime()-began, maxAcceptWait) + minAcceptWait)
	}
	d.send(a, conn)
}

// A searcher that has as many connections as it accepts closes a new one right after it was opened. A
// request that was written by then may have run as far as is known, so one that may run only once
// waits for as long as the connection took to open, a round trip, and for minAcceptWait. A searcher on an
// idle machine closes within 1 ms.
const (
	minAcceptWait = 4 * time.Millisecond
	maxAcceptWait = 20 * time.Millisecond
)

// maySend reports whether the chosen searcher may still get the request. The limit of a cold
// searcher is not checked again if it counts the request already.
func (d *Dispatcher) maySend(a *Attempt, t *target) bool {
	now := d.config.Clock.Boottime()
	if t.notices.Decide(now, 0).Reason == eligibility.Paused || !d.mayUse(a, t, now) {
		return false
	}
	if a.cold {
		return d.available(t, a.Regions)
	}
	return d.usable(t, a.Regions, now)
}

func (d *Dispatcher) dialFailed(a *Attempt, t *target) {
	d.mu.Lock()
	t.open--
	now := d.config.Clock.Boottime()
	if !d.config.StalledBetween(a.chosenAt, now) {
		t.stats.MarkUnreachable(now)
		t.observations.AddFailure(now)
	}
	d.mu.Unlock()
	d.end(a, Event{Attempt: a, Outcome: Unsent}, nil)
}

// send sends the request on the connection with the time that is left. It ends the
// attempt as Unsent if the deadline has passed, the caller has left or the attempt was stopped.
func (d *Dispatcher) send(a *Attempt, conn *connection) {
	expired := a.timeLeft() <= 0 || !a.wanted()
	d.mu.Lock()
	if expired || a.detached {
		tasks := d.release(a.target, conn)
		d.mu.Unlock()
		runAll(tasks)
		d.end(a, Event{Attempt: a, Outcome: Unsent}, nil)
		return
	}
	d.mu.Unlock()
	conn.Send(&searcher.Exchange{
		RequestID: a.RequestID,
		Method:    a.Method,
		Encode:    a.encode,
		Size:      a.Size,
		Done:      func(reply *searcher.Reply, err error) { d.replied(a, conn, reply, err) },
	})
}

// timeLeft returns the time until the deadline.
func (a *Attempt) timeLeft() time.Duration { return a.Deadline - a.d.config.Clock.Boottime() }

// wanted reports whether the caller still waits, as far as is known.
func (a *Attempt) wanted() bool {
	return a.Wanted == nil || !a.d.config.StalledBetween(a.startedAt, a.d.config.Clock.Boottime()) || a.Wanted()
}

// encode returns the bytes of the request with the time that is left. It returns nil if no time is
// left, or if the attempt was stopped, which has then reported that nothing was sent.
func (a *Attempt) encode() []byte {
	left := a.timeLeft()
	a.d.mu.Lock()
	a.encoded = left > 0 && !a.detached
	encoded := a.encoded
	a.d.mu.Unlock()
	if !encoded {
		return nil
	}
	return a.Request.Encode(a.searcherID, left)
}

// replied handles the end of an exchange: it updates the searcher's statistics and ends
// the attempt. reply is nil if there was an error.
func (d *Dispatcher) replied(a *Attempt, conn *connection, reply *searcher.Reply, err error) {
	e := Event{Attempt: a, Reply: reply, Outcome: classify(reply, err)}
	now := d.config.Clock.Boottime()
	e.Latency = now - a.chosenAt
	e.Stalled = d.config.StalledBetween(a.chosenAt, now)
	d.mu.Lock()
	t := a.target
	if e.Outcome == Answered || e.Outcome == Failed {
		d.observeRateLimit(a, now, reply.Metadata.RateLimit)
	}
	var stale []*connection
	if reply != nil {
		stale = d.observeNotices(a, now, e.Outcome, &reply.Metadata)
	}
	a.observeReplyOfVersion(e, now, err)
	switch e.Outcome {
	case Answered:
		t.dialPause.ObserveReply()
		t.service.replySizes.Observe(int64(len(reply.Body)))
		t.observeAnswer(a, e, now)
	case Failed, Refused:
		if !isNotice(e.Outcome, &reply.Metadata) {
			t.stats.ObserveReply(now, now-a.chosenAt, false)
			t.observations.AddFailure(now)
		}
		t.addressReused = t.addressReused || reply.Metadata.Misdirected
	case Broken:
		if !errors.Is(err, searcher.ErrClosedLocally) {
			t.observeBroken(now, err)
			t.observations.AddFailure(now)
		}
	}
	d.mu.Unlock()
	if e.Outcome != Answered && e.Outcome != Failed {
		reply.Release() // its body is not used
	}
	closeAll(stale)
	d.end(a, e, conn)
}

// observeAnswer updates the statistics of a searcher with an answer.
func (t *target) observeAnswer(a *Attempt, e Event, now time.Duration) {
	if e.Stalled {
		t.stats.ObserveUntimedReply(now)
		return
	}
	t.stats.ObserveReply(now, e.Latency, true)
	t.limit.ObserveLatency(now, e.Latency, a.LatencyTarget, a.outstanding)
	if a.countsForService() {
		a.service.latency.Add(now, e.Latency)
	}
	median, _ := a.service.latency.Quantile(0.5)
	t.observations.AddReply(now, a.comparableLatency(now, e.Latency, median), median)
	a.observeCost(now, e.Latency)
}

// end ends the attempt and releases its connection, if it has one. It calls OnEnd unless
// the attempt was cancelled or abandoned; then it releases the reply. It does nothing else if the
// attempt has ended.
func (d *Dispatcher) end(a *Attempt, e Event, conn *connection) {
	d.mu.Lock()
	if a.finished {
		d.mu.Unlock()
		e.Reply.Release()
		return
	}
	a.finished, a.outcome = true, e.Outcome
	a.target.removeRunning(a)
	if e.Outcome == Answered && len(a.service.queue) == 0 {
		a.service.admission.ObserveEmptyQueue()
	}
	if e.Outcome == Unsent {
		a.refundRateLimit()
		if a.Kind.UsesRetryBudget() {
			a.service.budget.Refund()
		}
	}
	var tasks []func()
	if conn != nil {
		tasks = d.release(a.target, conn)
	} else {
		tasks = a.service.launchQueued(d)
	}
	detached := a.detached
	d.mu.Unlock()
	d.metrics.ended(e.Outcome)
	runAll(tasks)
	if detached {
		e.Reply.Release()
		return
	}
	a.OnEnd(e)
}

// release returns a connection to the idle ones if it can still be used and is within the part of
// this instance, and closes it otherwise. The caller holds the lock, and runs the returned functions without it.
func (d *Dispatcher) release(t *target, conn *connection) []func() {
	unwanted := t.removed || t.Draining || t.notices.IsLeaving() || t.outsideSubset || d.config.ConnectionShare().Standby
	if !unwanted && t.open <= d.connectionLimit(t.service) && conn.Usable(time.Now()) {
		t.idle = append(t.idle, conn)
		return t.service.launchQueued(d)
	}
	// The room of the request is free now. That of the connection is once it is closed: then
	// connectionEnded launches queued attempts, but it has been called before if the connection
	// ended by itself.
	return append(t.service.launchQueued(d), conn.Close)
}

// connectionEnded is called once for each opened connection, when it can't be used any
// more.
func (d *Dispatcher) connectionEnded(t *target, c *connection) {
	d.mu.Lock()
	t.removeConnection(c)
	if c.Rejected() {
		d.metrics.rejected()
		t.dialPause.ObserveRejected(d.config.Clock.Boottime())
	}
	tasks := t.service.launchQueued(d)
	d.mu.Unlock()
	// The tasks must not block: the connection may deliver its last reply only after this
	// function returns.
	runAll(tasks)
}

// launchQueued binds queued attempts to searchers for as long as there is room. It ends
// those that no searcher can take or that may no longer be queued. The caller holds the
// lock, and runs the returned functions without it.
func (s *service) launchQueued(d *Dispatcher) []func() {
	var tasks []func()
	for len(s.queue) > 0 {
		now := d.config.Clock.Boottime()
		i := s.nextQueued(now)
		a := s.queue[i]
		launch, err := d.place(a, 0)
		if err == nil && launch == nil {
			return tasks
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		if err != nil {
			tasks = append(tasks, func() { d.endQueued(a) })
			continue
		}
		tasks = append(tasks, launch)
	}
	return tasks
}

// nextQueued returns the index in queue of the attempt to place next. The queue must not
// be empty.
func (s *service) nextQueued(now time.Duration) int {
	waiting := make([]balance.QueuedRequest, len(s.queue))
	for i, a := range s.queue {
		waiting[i] = balance.QueuedRequest{Rank: a.Rank, DueBy: a.DueBy}
		if s.costs.Active(now) {
			waiting[i].Expected = s.costs.Expected(now, a.CostKind)
		}
	}
	median, _ := s.latency.Quantile(0.5)
	return balance.NextQueued(now, median, waiting)
}

// endQueued ends an attempt that got no searcher while it was queued. Its outcome is
// Unsent.
func (d *Dispatcher) endQueued(a *Attempt) {
	d.mu.Lock()
	detached := a.detached || a.finished
	a.finished, a.outcome = true, Unsent
	if a.Kind.UsesRetryBudget() && !detached {
		a.service.budget.Refund()
	}
	d.mu.Unlock()
	if !detached {
		a.OnEnd(Event{Attempt: a, Outcome: Unsent})
	}
}
