// Package slot is the state machine of one searcher: its slots, connections,
// bounded queue, cold start and the work that its requesters gave up but the
// upstream may still be running. It does no I/O and starts no goroutines; time
// is passed in as readings of the boot clock.
package slot

import (
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	// DeadlineGrace is how long after its deadline abandoned work still counts against
	// the slots when nothing else is known of it. It covers the difference of
	// the clocks and the time the upstream takes to notice the deadline.
	DeadlineGrace = 250 * time.Millisecond
	// deleteRetryDelay is the time between DELETEs of work that the upstream did not
	// know. It may have ended, or its request is still under way: on a starved
	// machine a DELETE on another connection overtakes a request by any time.
	deleteRetryDelay = 250 * time.Millisecond
	// silenceTimeout is how long a connection may stay without the reply of work
	// that has ended, or without the answer to a short exchange.
	silenceTimeout = 300 * time.Millisecond
	// closeLinger is how long a connection closed here still counts, because the
	// upstream notices the end of it later than the start of the next.
	closeLinger = 20 * time.Millisecond
	// pollInterval is the time between readings of the state page.
	pollInterval = 250 * time.Millisecond
	// redialDelay keeps an upstream that is down from being dialled in a loop.
	redialDelay = 100 * time.Millisecond
	// drainingHold is how long a state page has to deny that the upstream is
	// draining before it is believed, because the page lags.
	drainingHold = 2 * time.Second
)

// Config describes a Searcher.
type Config struct {
	Limits     settings.Limits
	QueueLimit int
	// Deadline is the latency within which a success counts as evidence as long
	// as nothing was learned.
	Deadline time.Duration
}

// Validate returns an error that names the first value out of range.
func (c Config) Validate() error {
	switch {
	case c.Limits.Slots < 1:
		return errors.New("slots must be at least 1")
	case c.Limits.Connections < 1:
		return errors.New("connections must be at least 1")
	case c.Limits.Cold.Allowance < 1:
		return errors.New("cold allowance must be at least 1")
	case c.Limits.Cold.StepSuccesses < 1:
		return errors.New("step successes must be at least 1")
	case c.QueueLimit < 0:
		return errors.New("queue limit must not be negative")
	case c.Deadline <= 0:
		return errors.New("deadline must be above zero")
	}
	return nil
}

type queuedWork struct {
	id       WorkID
	deadline time.Duration
}

// work is known to the upstream, or may be.
type work struct {
	id           WorkID
	deadline     time.Duration
	dispatchedAt time.Duration
	step         uint64
	abandoned    bool
	// deleteSent says that a DELETE is under way or was answered.
	deleteSent bool
	// deleteAt is when the next DELETE may be sent.
	deleteAt time.Duration
}

// Searcher is the state machine. It is not safe for concurrent use. The
// commands that an input returns are carried out before the next input.
type Searcher struct {
	config   Config
	grant    assign.Grant
	blocked  *result.Error
	queue    []queuedWork
	inFlight []*work
	conns    []*conn
	lastConn ConnID
	ramp     ramp
	latency  latency

	draining    bool
	drainingAt  time.Duration
	unreachable bool
	redialAt    time.Duration
	pollAt      time.Duration
	spareAt     time.Duration // no connections are opened ahead of need before
	now         time.Duration // time of the last input
	commands    []Command
}

// New returns a searcher that is cold and has no grant.
func New(config Config) (*Searcher, error) {
	if err := config.Validate(); err != nil {
		return nil, errors.Annotate(err, "searcher")
	}
	s := &Searcher{config: config}
	s.ramp.turnCold(config.Limits)
	return s, nil
}

// Submit offers work. It is dispatched, queued or refused; deadline is a
// reading of the boot clock.
func (s *Searcher) Submit(now time.Duration, id WorkID, deadline time.Duration) []Command {
	s.expire(now)
	if err := s.refusal(now, deadline); err != nil {
		s.emit(Command{Action: Fail, Work: id, Err: err})
		return s.advance(now)
	}
	s.queue = append(s.queue, queuedWork{id: id, deadline: deadline})
	return s.advance(now)
}

// refusal returns why work cannot be accepted, or nil.
func (s *Searcher) refusal(now, deadline time.Duration) *result.Error {
	if err := s.unavailable(now); err != nil {
		return err
	}
	if now >= deadline {
		return result.NotRun(result.DeadlineExceeded, "before it was queued")
	}
	if len(s.queue) >= s.config.QueueLimit && !s.hasFreeSlot() {
		return result.NotRun(result.QueueFull, "%d parts wait", len(s.queue))
	}
	if wait := s.queueWait(); now+wait+s.latency.typical >= deadline {
		return result.NotRun(result.TooLate, "queue wait is %v, %v remain", wait, deadline-now)
	}
	return nil
}

// unavailable returns why the searcher takes no work at all now, or nil.
func (s *Searcher) unavailable(now time.Duration) *result.Error {
	switch {
	case s.blocked != nil:
		return s.blocked
	case s.grant.Share == assign.ShareNone:
		return result.NotRun(result.NoRight, "no grant")
	case s.grant.WarmOnly && s.ramp.cold:
		return result.NotRun(result.NoRight, "searcher is cold and the grant admits warm ones only")
	case s.slotLimit() == 0:
		return result.NotRun(result.NoRight, "grant admits no slot")
	case s.draining:
		return result.NotRun(result.UpstreamDraining, "")
	case s.unreachable && now < s.redialAt:
		return result.NotRun(result.ConnectionLost, "upstream is not reachable")
	}
	return nil
}

// hasFreeSlot reports whether one more piece of work could be dispatched at once,
// with nothing waiting before it.
func (s *Searcher) hasFreeSlot() bool {
	return len(s.queue) == 0 && len(s.inFlight) < s.slotLimit()
}

// slotLimit returns how many pieces of work may run now.
func (s *Searcher) slotLimit() int {
	if s.grant.WarmOnly && s.ramp.cold {
		return 0
	}
	n := min(s.grant.Slots(s.config.Limits), s.ramp.allowance)
	return min(n, s.workConnectionLimit())
}

// queueWait estimates how long work submitted now waits for a slot.
func (s *Searcher) queueWait() time.Duration {
	slots := s.slotLimit()
	if slots == 0 {
		return s.config.Deadline
	}
	ahead := len(s.queue) + len(s.inFlight) - slots + 1
	if ahead <= 0 {
		return 0
	}
	return s.latency.mean * time.Duration(ahead) / time.Duration(slots)
}

// Cancel withdraws work. Work that was dispatched keeps its slot until the
// upstream is known to be done with it.
func (s *Searcher) Cancel(now time.Duration, id WorkID) []Command {
	for i, q := range s.queue {
		if q.id == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.emit(Command{Action: Fail, Work: id, Err: result.NotRun(result.Cancelled, "while it was queued")})
			return s.advance(now)
		}
	}
	if w := s.work(id); w != nil && !w.abandoned {
		s.learnFromAbandoned(now, w)
		s.abandon(w, result.MayHaveRun(result.Cancelled, "after it was dispatched"))
		if s.ramp.cold {
			// A cold upstream warms on the work that it completes. It is slow, so
			// that requesters hedge and give up nearly all of its work.
			w.deleteAt = w.deadline
		}
	}
	return s.advance(now)
}

// learnFromAbandoned turns the searcher cold if the work that its requester gives up shows
// that its latency left the learned range.
func (s *Searcher) learnFromAbandoned(now time.Duration, w *work) {
	if s.latency.addAbandoned(now - w.dispatchedAt) {
		s.ramp.turnCold(s.config.Limits)
	}
}

// Slowdown returns the recent latency as a multiple of the typical one, and zero
// as long as nothing was learned.
func (s *Searcher) Slowdown() float64 { return s.latency.slowdown }

// SetSiblingSlowdown sets the slowdown of the other searchers of the service. Single
// slow pieces of work turn this one cold only beyond it.
func (s *Searcher) SetSiblingSlowdown(slowdown float64) { s.latency.siblingSlowdown = slowdown }

// SetGrant changes what may be dispatched. Running work above a grant that
// shrank is left to end.
func (s *Searcher) SetGrant(now time.Duration, grant assign.Grant) []Command {
	if grant == s.grant {
		return nil
	}
	s.grant = grant
	return s.advance(now)
}

// SetConfig applies changed settings without touching running work.
func (s *Searcher) SetConfig(now time.Duration, config Config) ([]Command, error) {
	if err := config.Validate(); err != nil {
		return nil, errors.Annotate(err, "searcher")
	}
	s.config = config
	s.ramp.applyLimits(config.Limits)
	return s.advance(now), nil
}

// Block refuses all work that is not yet dispatched with err, until Unblock.
func (s *Searcher) Block(now time.Duration, err *result.Error) []Command {
	s.blocked = err
	return s.advance(now)
}

// Unblock takes work again. The searcher is cold then, because it may have
// been restarted or changed meanwhile.
func (s *Searcher) Unblock(now time.Duration) []Command {
	if s.blocked == nil {
		return nil
	}
	s.blocked = nil
	s.ramp.turnCold(s.config.Limits)
	return s.advance(now)
}

// RestoreColdStart sets the cold-start state that the former owner stated.
func (s *Searcher) RestoreColdStart(now time.Duration, cold bool, allowance int) []Command {
	floor := min(s.config.Limits.Cold.Allowance, s.config.Limits.Slots)
	s.ramp.cold = cold
	s.ramp.setAllowance(min(max(allowance, floor), s.config.Limits.Slots))
	s.ramp.applyLimits(s.config.Limits)
	return s.advance(now)
}

// Tick applies the passage of time.
func (s *Searcher) Tick(now time.Duration) []Command { return s.advance(now) }

// expire applies what time alone has changed.
func (s *Searcher) expire(now time.Duration) {
	s.expireRunning(now)
	s.expireAbandoned(now)
	s.expireConnections(now)
	s.refuseQueue(now)
}

func (s *Searcher) advance(now time.Duration) []Command {
	s.now = now
	s.expire(now)
	s.closeExcess(now)
	s.dispatch(now)
	s.sendDeletes(now)
	s.sendPageReads(now)
	s.openConnections(now)
	commands := s.commands
	s.commands = nil
	return commands
}

func (s *Searcher) emit(c Command) { s.commands = append(s.commands, c) }

// expireAbandoned frees the slots of abandoned work that has passed its guard.
func (s *Searcher) expireAbandoned(now time.Duration) {
	kept := s.inFlight[:0]
	for _, w := range s.inFlight {
		if w.abandoned && now >= w.deadline+DeadlineGrace {
			s.awaitLateReply(now, w.id)
			continue
		}
		kept = append(kept, w)
	}
	s.inFlight = kept
}

func (s *Searcher) expireRunning(now time.Duration) {
	for _, w := range s.inFlight {
		if !w.abandoned && now >= w.deadline {
			s.learnFromAbandoned(now, w)
			s.abandon(w, result.MayHaveRun(result.DeadlineExceeded, "after it was dispatched"))
		}
	}
}

// refuseQueue empties the queue when the searcher takes no work, and drops
// from its head what can no longer finish in time.
func (s *Searcher) refuseQueue(now time.Duration) {
	for len(s.queue) > 0 {
		head := s.queue[0]
		err := s.unavailable(now)
		switch {
		case err != nil:
		case now >= head.deadline:
			err = result.NotRun(result.DeadlineExceeded, "while it was queued")
		case now+s.latency.typical >= head.deadline:
			err = result.NotRun(result.TooLate, "%v remain", head.deadline-now)
		default:
			return
		}
		s.queue = s.queue[1:]
		s.emit(Command{Action: Fail, Work: head.id, Err: err})
	}
}

func (s *Searcher) dispatch(now time.Duration) {
	for len(s.queue) > 0 && len(s.inFlight) < s.slotLimit() && s.workConnectionsInUse() < s.workConnectionLimit() {
		c := s.mostRecentIdle()
		if c == nil {
			return
		}
		head := s.queue[0]
		s.queue = s.queue[1:]
		s.inFlight = append(s.inFlight, &work{id: head.id, deadline: head.deadline, dispatchedAt: now, step: s.ramp.step})
		c.state, c.work, c.since = busy, head.id, now
		s.emit(Command{Action: Dispatch, Work: head.id, Conn: c.id})
		s.refuseQueue(now)
	}
}

// abandon ends the work for its requester, but not its claim to a slot.
func (s *Searcher) abandon(w *work, err *result.Error) {
	w.abandoned = true
	s.emit(Command{Action: Fail, Work: w.id, Err: err})
}

func (s *Searcher) work(id WorkID) *work {
	for _, w := range s.inFlight {
		if w.id == id {
			return w
		}
	}
	return nil
}

// removeWork frees the slot of work that the upstream is known to be done with.
func (s *Searcher) removeWork(id WorkID) {
	for i, w := range s.inFlight {
		if w.id == id {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}

// State is a reading of a Searcher.
type State struct {
	Queued      int
	Running     int
	Abandoned   int
	Allowance   int
	Slots       int
	Free        int
	Connections int
	Cold        bool
	Draining    bool
	Usable      bool
	QueueWait   time.Duration
}

// State returns a reading of the searcher.
func (s *Searcher) State(now time.Duration) State {
	abandoned := 0
	for _, w := range s.inFlight {
		if w.abandoned {
			abandoned++
		}
	}
	return State{
		Queued:      len(s.queue),
		Running:     len(s.inFlight),
		Abandoned:   abandoned,
		Allowance:   s.ramp.allowance,
		Slots:       s.slotLimit(),
		Free:        max(0, s.slotLimit()-len(s.inFlight)-len(s.queue)),
		Connections: len(s.conns),
		Cold:        s.ramp.cold,
		Draining:    s.draining,
		Usable:      s.unavailable(now) == nil && !s.unreachable,
		QueueWait:   s.queueWait(),
	}
}

// NextTick returns when Tick has to be called at the latest. It reports false if
// nothing depends on time.
func (s *Searcher) NextTick() (time.Duration, bool) {
	var next time.Duration
	found := false
	consider := func(t time.Duration) {
		if !found || t < next {
			next, found = t, true
		}
	}
	for _, w := range s.inFlight {
		if w.abandoned {
			consider(w.deadline + DeadlineGrace)
			if !w.deleteSent && w.deleteAt > s.now {
				consider(w.deleteAt)
			}
		} else {
			consider(w.deadline)
		}
	}
	if len(s.queue) > 0 {
		consider(s.queue[0].deadline - s.latency.typical)
	}
	for _, c := range s.conns {
		if expiry, ok := s.progressDeadline(c); ok {
			consider(expiry)
		}
	}
	// A poll that is overdue waits for a connection, whose event comes first.
	if at := max(s.pollAt, s.redialAt); s.connectionLimit() > 0 && at > s.now {
		consider(at)
	}
	return next, found
}
