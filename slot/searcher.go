// Package slot decides when work is dispatched to one searcher and on which connection.
// It is a state machine that tracks the searcher's slots, connections, bounded queue and
// cold start, and the work that its requesters abandoned but that the upstream may still
// be running. It does no I/O and starts no goroutines. Times are passed in as readings of
// the boot clock.
package slot

import (
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	// DeadlineGrace is how long after its deadline abandoned work still takes a slot if
	// nothing else is known about it. It covers the time that the upstream takes to notice
	// the deadline, and the difference between its clock and the local one.
	DeadlineGrace = 250 * time.Millisecond
	// deleteRetryDelay is the time between DELETEs of work that the upstream did not
	// know. The work may have ended, or its request may still be on the way: on an
	// overloaded instance, a DELETE on another connection can overtake a request by any
	// length of time. If such a DELETE was sent at least this long after the dispatch,
	// the connection of the work must deliver the reply within silenceTimeout.
	deleteRetryDelay = 250 * time.Millisecond
	// silenceTimeout is how long a connection may take to be established, to answer a
	// DELETE or a read of the state page, or to deliver a late reply. For a DELETE of work
	// that still takes a slot, the time begins at the end of DeadlineGrace.
	silenceTimeout = 300 * time.Millisecond
	// closeLinger is how long a connection closed by this side still counts as open,
	// because the upstream may notice its end later than the start of the next one.
	closeLinger = 20 * time.Millisecond
	// pollInterval is the time between regular polls of the state page.
	pollInterval = 250 * time.Millisecond
	// redialDelay is how long the upstream is not dialled again after a dial failed or a
	// probe timed out, and how long no connection is opened ahead of need after one was
	// lost. It keeps an upstream that is down from being dialled in a loop.
	redialDelay = 100 * time.Millisecond
	// drainingHold is the time after the last sign that the upstream is draining in which
	// a state page that says otherwise is not believed, because the page lags.
	drainingHold = 2 * time.Second
)

// Config holds the settings of a Searcher.
type Config struct {
	Limits     settings.Limits
	QueueLimit int // in pieces of work
	// Deadline is the deadline of the service, as a duration. Until a typical latency is
	// learned, only successes with at most this latency help to raise the allowance. State
	// reports Deadline as the queue wait if no work may run.
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

// queuedWork is a piece of work that waits for a slot.
type queuedWork struct {
	id       WorkID
	deadline time.Duration
}

// work is a piece of work that was dispatched and that the upstream may be running. It
// takes a slot until it ends. It ends with its reply, with an accepted DELETE, if its
// request was not written, or at the end of DeadlineGrace.
type work struct {
	id           WorkID
	deadline     time.Duration
	dispatchedAt time.Duration
	step         uint64 // of the ramp at dispatch
	abandoned    bool   // its requester got an error, but the upstream may be running it
	// deleteSent is set while a DELETE is in progress and after it was answered. It is
	// reset if the DELETE has to be sent again.
	deleteSent bool
	// deleteAt is the earliest time of the next DELETE.
	deleteAt time.Duration
}

// Searcher is the state machine of one searcher. It is not safe for concurrent use. Its
// inputs are the methods that return commands. The caller carries out the commands that an
// input returns before it passes the next input.
type Searcher struct {
	config   Config
	grant    assign.Grant
	blocked  *result.Error // the error given to Block, or nil if there is no Block
	queue    []queuedWork
	inFlight []*work
	conns    []*conn // including connections that are closing
	lastConn ConnID
	ramp     ramp
	latency  latency

	draining    bool
	drainingAt  time.Duration // time of the last sign of draining
	unreachable bool          // from a failed dial or probe until a connection opens
	redialAt    time.Duration
	pollAt      time.Duration
	spareAt     time.Duration // earliest time at which connections are opened ahead of need
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

// Submit offers work, which is dispatched, queued, or refused with a Fail command. deadline
// is a reading of the boot clock.
func (s *Searcher) Submit(now time.Duration, id WorkID, deadline time.Duration) []Command {
	s.expire(now)
	if err := s.refusal(now, deadline); err != nil {
		s.emit(Command{Action: Fail, Work: id, Err: err})
		return s.advance(now)
	}
	s.queue = append(s.queue, queuedWork{id: id, deadline: deadline})
	return s.advance(now)
}

// refusal returns why work with the given deadline cannot be accepted, or nil.
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

// unavailable returns why the searcher accepts no work at all now, or nil.
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

// hasFreeSlot reports whether a slot is free for one more piece of work and no other work
// waits for it.
func (s *Searcher) hasFreeSlot() bool {
	return len(s.queue) == 0 && len(s.inFlight) < s.slotLimit()
}

// slotLimit returns how many pieces of work may run at once now, given the grant, the
// allowance and the connections.
func (s *Searcher) slotLimit() int {
	if s.grant.WarmOnly && s.ramp.cold {
		return 0
	}
	n := min(s.grant.Slots(s.config.Limits), s.ramp.allowance)
	return min(n, s.workConnectionLimit())
}

// queueWait estimates how long work submitted now waits for a slot. Without slots it
// returns Config.Deadline.
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

// Cancel withdraws work, which ends for its requester with a Fail command. Work that was
// dispatched keeps its slot until the upstream is known to be done with it or DeadlineGrace
// has passed. Work that is unknown or has already ended for its requester is ignored.
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
			// A cold upstream becomes warm by the work that it completes. It is slow, so
			// requesters hedge and abandon nearly all of its work. The DELETE waits for
			// the deadline to let that work complete.
			w.deleteAt = w.deadline
		}
	}
	return s.advance(now)
}

// learnFromAbandoned adds abandoned work to the latency, and turns the searcher cold if
// the work shows that the latency has left the learned range.
func (s *Searcher) learnFromAbandoned(now time.Duration, w *work) {
	if s.latency.addAbandoned(now - w.dispatchedAt) {
		s.ramp.turnCold(s.config.Limits)
	}
}

// Slowdown returns the recent latency as a multiple of the typical one, or zero as long as
// no typical latency was learned.
func (s *Searcher) Slowdown() float64 { return s.latency.slowdown }

// SetSiblingSlowdown sets the slowdown of the other searchers of the service. Work counts
// as slow only if it exceeds its usual bound multiplied by that slowdown. A slowdown below
// one counts as one.
func (s *Searcher) SetSiblingSlowdown(slowdown float64) { s.latency.siblingSlowdown = slowdown }

// SetGrant sets the grant, which limits slots and connections. Running work above a grant
// that shrank is not interrupted. SetGrant returns nil if the grant has not changed.
func (s *Searcher) SetGrant(now time.Duration, grant assign.Grant) []Command {
	if grant == s.grant {
		return nil
	}
	s.grant = grant
	return s.advance(now)
}

// SetConfig applies changed settings without interrupting running work. If config is not
// valid, it returns an error and keeps the former settings.
func (s *Searcher) SetConfig(now time.Duration, config Config) ([]Command, error) {
	if err := config.Validate(); err != nil {
		return nil, errors.Annotate(err, "searcher")
	}
	s.config = config
	s.ramp.applyLimits(config.Limits)
	return s.advance(now), nil
}

// Block refuses with err all work that is not yet dispatched, until Unblock is called.
func (s *Searcher) Block(now time.Duration, err *result.Error) []Command {
	s.blocked = err
	return s.advance(now)
}

// Unblock ends Block. The searcher is cold then, because the upstream may have been
// restarted or changed in the meantime. Unblock returns nil if there was no Block.
func (s *Searcher) Unblock(now time.Duration) []Command {
	if s.blocked == nil {
		return nil
	}
	s.blocked = nil
	s.ramp.turnCold(s.config.Limits)
	return s.advance(now)
}

// RestoreColdStart sets the cold-start state reported by the broker that owned the searcher
// before. allowance is limited to the range from the cold allowance to all slots.
func (s *Searcher) RestoreColdStart(now time.Duration, cold bool, allowance int) []Command {
	floor := min(s.config.Limits.Cold.Allowance, s.config.Limits.Slots)
	s.ramp.cold = cold
	s.ramp.setAllowance(min(max(allowance, floor), s.config.Limits.Slots))
	s.ramp.applyLimits(s.config.Limits)
	return s.advance(now)
}

// Tick reports that time has passed. It has to be called no later than NextTick says.
func (s *Searcher) Tick(now time.Duration) []Command { return s.advance(now) }

// State describes a Searcher at one point in time.
type State struct {
	Queued      int // pieces of work that wait for a slot
	Running     int // pieces of work that take a slot, including abandoned ones
	Abandoned   int
	Allowance   int // upper limit of slots set by cold start
	Slots       int // pieces of work that may run at once now
	Free        int // slots that neither running nor queued work needs
	Connections int // including those being dialled and closed
	Cold        bool
	Draining    bool
	Usable      bool          // work is accepted and the upstream is reachable
	QueueWait   time.Duration // estimate for work submitted now
}

// State returns the state of the searcher at the given time.
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

// NextTick returns the latest time at which Tick has to be called, and false if nothing
// depends on time.
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
	// An overdue poll needs no timer: it waits for a connection, and the input that makes
	// one available sends it.
	if at := max(s.pollAt, s.redialAt); s.connectionLimit() > 0 && at > s.now {
		consider(at)
	}
	return next, found
}
