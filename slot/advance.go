package slot

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// expire ends work and connections whose time limits have passed, and refuses queued work
// that can no longer run.
func (s *Searcher) expire(now time.Duration) {
	s.abandonOverdue(now)
	s.expireAbandoned(now)
	s.expireConnections(now)
	s.refuseQueue(now)
}

// advance completes an input: it applies the passage of time, starts all exchanges that can
// start, closes and opens connections as needed, and returns the commands collected since
// the previous input.
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

// emit adds a command to those that the current input returns.
func (s *Searcher) emit(c Command) { s.commands = append(s.commands, c) }

// expireAbandoned frees the slots of abandoned work whose DeadlineGrace has passed.
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

// abandonOverdue abandons dispatched work whose deadline has passed.
func (s *Searcher) abandonOverdue(now time.Duration) {
	for _, w := range s.inFlight {
		if !w.abandoned && now >= w.deadline {
			s.learnFromAbandoned(now, w)
			s.abandon(w, result.MayHaveRun(result.DeadlineExceeded, "after it was dispatched"))
		}
	}
}

// refuseQueue refuses all queued work if the searcher accepts no work. Otherwise it refuses
// work at the head of the queue that can no longer finish in time.
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

// dispatch sends queued work while slots and idle connections are available.
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

// abandon ends the work for its requester with err. The work keeps its slot.
func (s *Searcher) abandon(w *work, err *result.Error) {
	w.abandoned = true
	s.emit(Command{Action: Fail, Work: w.id, Err: err})
}

// work returns the dispatched work with the given id, or nil if it has ended.
func (s *Searcher) work(id WorkID) *work {
	for _, w := range s.inFlight {
		if w.id == id {
			return w
		}
	}
	return nil
}

// removeWork frees the slot of work that is known to have ended at the upstream.
func (s *Searcher) removeWork(id WorkID) {
	for i, w := range s.inFlight {
		if w.id == id {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}
