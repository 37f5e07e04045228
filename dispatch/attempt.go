package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

const (
	// dialTimeout bounds the opening of a connection to a searcher.
	dialTimeout = 1 * time.Second
	// abandonedFor is how long the reply to a request that is no longer needed is
	// awaited, so that the connection can be kept.
	abandonedFor = 250 * time.Millisecond
	// A searcher that has not replied for silentFactor times its service's usual
	// latency, at least minSilent, is taken for silent.
	silentFactor = 12
	minSilent    = 600 * time.Millisecond
)

// Outcome says what became of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered: the searcher ran the request and succeeded.
	Answered Outcome = iota + 1
	// Failed: the searcher ran the request and replied with a failure.
	Failed
	// Refused: the searcher replied that it has not run the request and will not.
	Refused
	// Broken: there is no reply to rely on. The request may have run.
	Broken
	// Unsent: the request was not sent.
	Unsent
)

// String returns the outcome for logs and metrics.
func (o Outcome) String() string {
	return [...]string{"none", "answered", "failed", "refused", "broken", "unsent"}[o]
}

// MayHaveRun reports whether the request may have run.
func (o Outcome) MayHaveRun() bool { return o != Refused && o != Unsent }

// Event is the end of an attempt.
type Event struct {
	Attempt *Attempt
	Outcome Outcome
	// Reply is set if the outcome is Answered, Failed or Refused.
	Reply *searcher.Reply
	// Latency is the time from the choice of the searcher to the outcome.
	Latency time.Duration
}

// Request is what an attempt sends.
type Request struct {
	Service   string
	Regions   []string
	RequestID string
	Method    string
	// Wire returns the whole request for a searcher with the time that is left.
	Wire func(searcherID string, left time.Duration) []byte
	// Deadline is when the request is of no more use.
	Deadline time.Duration
	// Avoid holds the searchers that must not get it.
	Avoid []string
	// Repeat says that the request was sent to a searcher of the service before,
	// Hedge that the searcher which has it may still answer,
	// Again that an attempt before it was not sent.
	Repeat bool
	Hedge  bool
	Again  bool
	// Tag is for the caller.
	Tag int
	// Ended is called once, unless the attempt is cancelled or abandoned before.
	// It must not block.
	Ended func(Event)
}

// Attempt is one sending of a request to one searcher.
type Attempt struct {
	Request
	d       *Dispatcher
	service *service
	target  *target
	conn    *connection
	sent    time.Duration
	// silenced says that nobody waits for the outcome, closed that the attempt has
	// ended.
	silenced bool
	closed   bool
}

// Start chooses a searcher and sends the request, or lets it wait for a
// connection. If an error is returned, nothing was or will be sent.
func (d *Dispatcher) Start(r Request) (*Attempt, error) {
	d.mu.Lock()
	s := d.service(r.Service)
	a := &Attempt{Request: r, d: d, service: s}
	if !r.Repeat && !r.Again {
		s.budget.Earn(d.allowance(), 1)
	}
	launch, err := d.place(a)
	if err == nil && launch == nil {
		err = s.enqueue(a, d.connectionLimit(s))
	}
	if err == nil && r.Repeat && !d.pay(s, r.Hedge) {
		err = ErrBudget
	}
	if err != nil {
		d.unplace(a)
		d.mu.Unlock()
		d.metrics.notStarted(err)
		return nil, err
	}
	d.mu.Unlock()
	if launch != nil {
		launch()
	}
	return a, nil
}

// pay takes the price of a repeat from the service's budget.
func (d *Dispatcher) pay(s *service, hedge bool) bool {
	if hedge {
		return s.budget.TakeSpare(d.allowance())
	}
	return s.budget.Take()
}

func (s *service) enqueue(a *Attempt, connectionLimit int) error {
	if len(s.waiters) >= waitersPerConnection*connectionLimit*max(len(s.targets), 1) {
		return ErrBusy
	}
	s.waiters = append(s.waiters, a)
	return nil
}

// place binds the attempt to a searcher and returns what sends it, to be called
// without the lock. It returns nil if all connections are in use.
func (d *Dispatcher) place(a *Attempt) (func(), error) {
	now, wall := d.config.Clock.Boottime(), time.Now()
	s := a.service
	limit := d.connectionLimit(s)
	var candidates []balance.Candidate
	var targets []*target
	subset := d.subset(s, a, now)
	for _, t := range subset {
		if len(t.idle) == 0 && t.open >= limit {
			continue
		}
		targets = append(targets, t)
		candidates = append(candidates, t.candidate(now, d.config.FailureDomain))
	}
	if len(subset) == 0 {
		return nil, ErrNoSearcher
	}
	if len(targets) == 0 {
		return nil, nil
	}
	latency, _ := s.latency.At(0.5)
	chosen := balance.Choose(now, candidates, latency)
	if chosen < 0 {
		return nil, ErrNoSearcher
	}
	return d.bind(a, targets[chosen], now, wall), nil
}

// subset returns the searchers that may get the attempt: of the usable ones that
// can be reached those that this instance keeps connections to.
func (d *Dispatcher) subset(s *service, a *Attempt, now time.Duration) []*target {
	var usable []*target
	var members []balance.Member
	for _, t := range s.targets {
		if d.usable(t, a.Regions, now) && !t.record.Blocked(now) {
			usable = append(usable, t)
			members = append(members, balance.Member{ID: t.ID, SameDomain: t.FailureDomain == d.config.FailureDomain})
		}
	}
	connections := int(connectionsUsed * float64(s.settings.MaxConnections))
	size := balance.SubsetSize(len(usable), connections, d.config.Sharers())
	if size < len(usable) {
		var chosen []*target
		for _, i := range balance.Subset(d.config.Instance, members, size) {
			chosen = append(chosen, usable[i])
		}
		usable = chosen
	}
	return slices.DeleteFunc(usable, func(t *target) bool { return slices.Contains(a.Avoid, t.ID) })
}

func (d *Dispatcher) bind(a *Attempt, t *target, now time.Duration, wall time.Time) func() {
	a.target, a.sent = t, now
	t.started(a)
	if now < t.coldUntil {
		t.cold.Sent(now)
	}
	conn, old := t.takeUsable(wall)
	if conn == nil {
		t.open++
		return func() {
			closeAll(old)
			go d.dial(a, t)
		}
	}
	a.conn = conn
	return func() {
		closeAll(old)
		d.send(a, conn)
	}
}

// unplace undoes place for an attempt that is not started after all.
func (d *Dispatcher) unplace(a *Attempt) {
	if a.target == nil {
		a.service.removeWaiter(a)
		return
	}
	a.target.ended(a)
	if a.conn != nil {
		a.target.idle = append(a.target.idle, a.conn)
	} else {
		a.target.open--
	}
}

func (s *service) removeWaiter(a *Attempt) {
	for i := range s.waiters {
		if s.waiters[i] == a {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
}

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
	t.record.Unreachable(d.config.Clock.Boottime())
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
		t.record.Answered(now, now-a.sent, true)
		a.service.latency.Add(now, now-a.sent)
	case Failed, Refused:
		t.record.Answered(now, now-a.sent, false)
		t.replaced = t.replaced || reply.Says.OtherInstance
	case Broken:
		if !errors.Is(err, searcher.ErrAbandoned) {
			t.record.Broke(now)
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
	if e.Outcome == Unsent && a.Repeat {
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
	if conn.Usable(time.Now()) && !t.removed && !t.Draining {
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
		a := s.waiters[0]
		launch, err := d.place(a)
		if err == nil && launch == nil {
			return ready
		}
		s.waiters = s.waiters[1:]
		if err != nil {
			ready = append(ready, func() { d.endWaiter(a) })
			continue
		}
		ready = append(ready, launch)
	}
	return ready
}

// endWaiter ends an attempt that waited in vain.
func (d *Dispatcher) endWaiter(a *Attempt) {
	d.mu.Lock()
	silenced := a.silenced || a.closed
	a.closed = true
	if a.Repeat && !silenced {
		a.service.budget.Refund()
	}
	d.mu.Unlock()
	if !silenced {
		a.Ended(Event{Attempt: a, Outcome: Unsent})
	}
}

// Searcher returns the ID of the searcher, empty while none is chosen.
func (a *Attempt) Searcher() string {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if a.target == nil {
		return ""
	}
	return a.target.ID
}

// Waited returns the time since the searcher was chosen, zero if none is.
func (a *Attempt) Waited() time.Duration {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if a.target == nil {
		return 0
	}
	return a.d.config.Clock.Boottime() - a.sent
}

// Cancel ends the attempt at once: the searcher drops the request when its
// connection closes.
func (a *Attempt) Cancel() { a.silence(0) }

// Abandon says that the outcome is no longer needed. A reply that comes soon is
// read, so that the connection can be kept; otherwise it is closed.
func (a *Attempt) Abandon() { a.silence(abandonedFor) }

func (a *Attempt) silence(wait time.Duration) {
	d := a.d
	d.mu.Lock()
	if a.closed || a.silenced {
		d.mu.Unlock()
		return
	}
	a.silenced = true
	if a.target == nil {
		a.closed = true
		a.service.removeWaiter(a)
		if a.Repeat {
			a.service.budget.Refund()
		}
		d.mu.Unlock()
		return
	}
	if wait == 0 {
		a.noteGivenUp()
		conn := a.conn
		d.mu.Unlock()
		if conn != nil {
			conn.Close()
		}
		return
	}
	d.mu.Unlock()
	time.AfterFunc(wait, a.giveUp)
}

// giveUp closes the connection of an attempt that still has no reply.
func (a *Attempt) giveUp() {
	d := a.d
	d.mu.Lock()
	if a.closed {
		d.mu.Unlock()
		return
	}
	a.noteGivenUp()
	conn := a.conn
	d.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
}

// noteGivenUp records that the searcher took long, or is silent.
func (a *Attempt) noteGivenUp() {
	now := a.d.config.Clock.Boottime()
	waited := now - a.sent
	usual, _ := a.service.latency.At(0.5)
	if waited > max(silentFactor*usual, minSilent) {
		a.target.record.Unreachable(now)
		return
	}
	a.target.record.Slow(waited)
	a.service.latency.Add(now, waited)
}

// classify returns the outcome of an exchange.
func classify(reply *searcher.Reply, err error) Outcome {
	switch {
	case errors.Is(err, searcher.ErrNotWritten):
		return Unsent
	case err != nil:
		return Broken
	case reply.Says.NotExecuted:
		return Refused
	case reply.Says.Encoded || reply.Says.Signature == "":
		return Broken
	case reply.Status/100 == 2:
		return Answered
	}
	return Failed
}
