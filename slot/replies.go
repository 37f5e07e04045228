package slot

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// ExchangeEnded reports how the exchange in progress on a connection ended.
func (s *Searcher) ExchangeEnded(now time.Duration, id ConnID, o Outcome) []Command {
	c := s.conn(id)
	if c == nil {
		return s.advance(now)
	}
	switch c.state {
	case busy, awaitingLateReply:
		s.dispatchEnded(now, c, o)
	case deleting:
		s.deleteEnded(now, c, o)
	case readingPage:
		s.pageReadEnded(now, c, o)
	}
	return s.advance(now)
}

// dispatchEnded handles the end of an exchange that dispatched work.
func (s *Searcher) dispatchEnded(now time.Duration, c *conn, o Outcome) {
	w := s.work(c.work)
	if o.Kind == Broken {
		s.handleConnLoss(now, c)
		if w != nil && !w.abandoned {
			s.abandon(w, orElse(o.Err, result.MayHaveRun(result.ConnectionLost, "after the request was written")))
		}
		return
	}
	s.releaseConn(now, c, o)
	s.updateFromReply(now, w, o)
	if w == nil {
		return
	}
	s.removeWork(w.id)
	switch {
	case w.abandoned:
	case o.Kind == NotWritten:
		s.emit(Command{Action: Fail, Work: w.id, Err: orElse(o.Err, result.NotRun(result.ConnectionLost, "before the request was written"))})
	default:
		s.emit(Command{Action: Deliver, Work: w.id})
	}
}

// updateFromReply updates draining, cold start and latency from the outcome of work.
// w is nil if the work has ended. A success after a DELETE was sent is not counted.
func (s *Searcher) updateFromReply(now time.Duration, w *work, o Outcome) {
	switch o.Kind {
	case Shed:
		s.ramp.turnCold(s.config.Limits)
	case RefusedDraining:
		s.draining, s.drainingAt = true, now
	case Succeeded:
		if w == nil || w.deleteSent {
			return
		}
		within := s.latency.withinRange(o.Latency, s.config.Deadline)
		if s.latency.addSuccess(o.Latency) {
			s.ramp.turnCold(s.config.Limits)
		} else if within {
			s.ramp.countSuccess(w.step, s.config.Limits)
		}
	}
}

// deleteEnded handles the end of a DELETE. A DELETE that ended as Failed is not sent
// again.
func (s *Searcher) deleteEnded(now time.Duration, c *conn, o Outcome) {
	w, sentAt := s.work(c.work), c.since
	if o.Kind == Broken || o.Kind == NotWritten {
		s.handleConnLoss(now, c)
		return
	}
	s.releaseConn(now, c, o)
	switch {
	case w == nil || o.Kind == Failed:
	case o.Kind == Succeeded:
		s.removeWork(w.id)
		s.awaitLateReply(now, w.id)
	default:
		// The work keeps its slot until a reply, an accepted DELETE or the end of
		// DeadlineGrace ends it.
		w.deleteSent, w.deleteAt = false, now+deleteRetryDelay
		if sentAt >= w.dispatchedAt+deleteRetryDelay {
			s.awaitLateReply(now, w.id)
		}
	}
}

// awaitLateReply starts the silence timeout of the connection on which the reply of the
// given work is due, if there is one.
func (s *Searcher) awaitLateReply(now time.Duration, id WorkID) {
	for _, c := range s.conns {
		if c.state == busy && c.work == id {
			c.state, c.since = awaitingLateReply, now
		}
	}
}

// pageReadEnded handles the end of a read of the state page.
func (s *Searcher) pageReadEnded(now time.Duration, c *conn, o Outcome) {
	if o.Kind == Broken || o.Kind == NotWritten {
		s.handleConnLoss(now, c)
		return
	}
	if c.probe {
		s.endProbe(now, true)
		c.probe = false
	}
	s.releaseConn(now, c, o)
	if o.StatePage != nil {
		s.applyStatePage(now, *o.StatePage)
	}
}

// applyStatePage applies a state page. A load above one lowers the allowance; the page never
// raises it. A page that reports draining is believed at once. A page that reports no
// draining ends draining only if drainingHold has passed since the last sign of it; the
// searcher turns cold then.
func (s *Searcher) applyStatePage(now time.Duration, page StatePage) {
	if page.Load > 1 {
		s.ramp.lowerAllowance(s.config.Limits)
	}
	switch {
	case page.Draining:
		s.draining, s.drainingAt = true, now
	case s.draining && now-s.drainingAt >= drainingHold:
		s.draining = false
		s.ramp.turnCold(s.config.Limits)
	}
}

// releaseConn makes a connection idle after an exchange, or closes it if the outcome says
// that it cannot be used again.
func (s *Searcher) releaseConn(now time.Duration, c *conn, o Outcome) {
	if o.Closed {
		s.closeConn(now, c)
		if o.Kind == NotWritten {
			// The connection broke while it was idle, so the upstream may have restarted.
			s.ramp.turnCold(s.config.Limits)
		}
		return
	}
	c.state, c.since, c.work, c.regularPoll, c.suspect = idle, now, 0, false, false
}

// orElse returns err, or fallback if err is nil.
func orElse(err, fallback *result.Error) *result.Error {
	if err != nil {
		return err
	}
	return fallback
}
