package slot

import (
	"time"
)

// connState is what a connection is in use for.
type connState uint8

const (
	// dialing: the connection is not open yet but counts as open.
	dialing connState = iota
	// idle: the connection is ready for any exchange.
	idle
	// busy: work was dispatched on the connection and its reply is awaited.
	busy
	// awaitingLateReply: the reply of work is still due on the connection, but it may
	// never come. Either the work has ended without it, or a DELETE was sent at least
	// deleteRetryDelay after the dispatch and the upstream answered that it does not have
	// the work. The reply must arrive within silenceTimeout.
	awaitingLateReply
	// deleting: a DELETE is in progress on the connection.
	deleting
	// readingPage: the state page is being read, as the regular poll, as a probe or as
	// a test of the connection.
	readingPage
	// untested: the connection must answer a read of the state page before anything
	// else is sent on it.
	untested
	// closing: this side closed the connection. It counts as open for closeLinger.
	closing
)

// conn is one connection to the upstream.
type conn struct {
	id    ConnID
	state connState
	work  WorkID
	// since is when the current dial, exchange, idle time, wait for a late reply or
	// closing began.
	since time.Duration
	// probe marks a connection that was opened to find out whether the upstream answers
	// while another connection is silent.
	probe bool
	// regularPoll reports that the read of the state page is the regular poll.
	regularPoll bool
	// suspect reports that the connection made no progress in time and that a probe on a
	// new connection is in progress.
	suspect bool
}

// connectionLimit returns how many connections may be open under the grant.
func (s *Searcher) connectionLimit() int { return s.grant.Connections(s.config.Limits) }

// workConnectionLimit returns how many connections may carry work. If the connection
// limit is above one, one connection is kept for DELETE, probes and the state page.
func (s *Searcher) workConnectionLimit() int {
	if n := s.connectionLimit(); n > 1 {
		return n - 1
	}
	return s.connectionLimit()
}

// workConnectionsInUse counts the connections on which the reply of work is due,
// including late replies.
func (s *Searcher) workConnectionsInUse() int {
	n := 0
	for _, c := range s.conns {
		if c.state == busy || c.state == awaitingLateReply {
			n++
		}
	}
	return n
}

// countInState counts the connections in the given state.
func (s *Searcher) countInState(state connState) int {
	n := 0
	for _, c := range s.conns {
		if c.state == state {
			n++
		}
	}
	return n
}

// mostRecentIdle returns the connection that became idle last, or nil if none is idle.
// This keeps few connections busy and leaves the spare ones idle.
func (s *Searcher) mostRecentIdle() *conn {
	var best *conn
	for _, c := range s.conns {
		if c.state == idle && (best == nil || c.since > best.since) {
			best = c
		}
	}
	return best
}

// conn returns the connection with the given id, or nil if it is unknown or closing.
func (s *Searcher) conn(id ConnID) *conn {
	for _, c := range s.conns {
		if c.id == id && c.state != closing {
			return c
		}
	}
	return nil
}

// removeConn drops a connection, which then no longer counts as open.
func (s *Searcher) removeConn(id ConnID) {
	for i, c := range s.conns {
		if c.id == id {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			return
		}
	}
}

// closeConn closes a connection from this side.
func (s *Searcher) closeConn(now time.Duration, c *conn) {
	c.state, c.since, c.suspect, c.regularPoll = closing, now, false, false
	s.emit(Command{Action: Close, Conn: c.id})
}

// open dials a new connection. probe marks it as a probe.
func (s *Searcher) open(now time.Duration, probe bool) {
	s.lastConn++
	s.conns = append(s.conns, &conn{id: s.lastConn, state: dialing, since: now, probe: probe})
	s.emit(Command{Action: Open, Conn: s.lastConn})
}

// closeExcess closes idle and untested connections above the limit. A connection in use
// is not interrupted.
func (s *Searcher) closeExcess(now time.Duration) {
	excess := len(s.conns) - s.countInState(closing) - s.connectionLimit()
	for _, c := range s.conns {
		if excess > 0 && (c.state == idle || c.state == untested) {
			s.closeConn(now, c)
			excess--
		}
	}
}

// openConnections dials for queued work, DELETEs and the regular poll if they found no
// idle connection. It also opens spare connections ahead of need. While the upstream is
// unreachable, it dials one connection at a time, and none before redialAt.
func (s *Searcher) openConnections(now time.Duration) {
	if s.unreachable && now < s.redialAt {
		return
	}
	wanted := min(len(s.queue), max(0, s.slotLimit()-len(s.inFlight))) + s.countDueDeletes(now)
	if s.pollDue(now) {
		wanted++
	}
	wanted = max(wanted-s.countInState(dialing)-s.countInState(untested), s.spareNeeded(now))
	if s.unreachable {
		wanted = min(wanted, 1-s.countInState(dialing))
	}
	for ; wanted > 0 && len(s.conns) < s.connectionLimit(); wanted-- {
		s.open(now, false)
	}
}

// spareNeeded returns how many connections to open ahead of need, so that work does not
// wait for a dial: enough for every slot and one for other exchanges. The result may be
// negative. It is zero if there is no slot, and for redialDelay after a connection was
// lost, so that an upstream that closes every connection is not dialled in a loop.
func (s *Searcher) spareNeeded(now time.Duration) int {
	if s.slotLimit() == 0 || now < s.spareAt {
		return 0
	}
	return s.slotLimit() + 1 - len(s.conns)
}

// countDueDeletes counts the pieces of work for which a DELETE is due.
func (s *Searcher) countDueDeletes(now time.Duration) int {
	n := 0
	for _, w := range s.inFlight {
		if w.deleteDue(now) {
			n++
		}
	}
	return n
}

// deleteDue reports whether a DELETE for the work has to be sent now.
func (w *work) deleteDue(now time.Duration) bool {
	return w.abandoned && !w.deleteSent && now >= w.deleteAt
}

// sendDeletes sends the DELETEs that are due, as long as there are idle connections.
func (s *Searcher) sendDeletes(now time.Duration) {
	for _, w := range s.inFlight {
		if !w.deleteDue(now) {
			continue
		}
		c := s.mostRecentIdle()
		if c == nil {
			return
		}
		w.deleteSent = true
		c.state, c.work, c.since = deleting, w.id, now
		s.emit(Command{Action: Delete, Work: w.id, Conn: c.id})
	}
}

// polling reports whether the regular poll of the state page is in progress.
func (s *Searcher) polling() bool {
	for _, c := range s.conns {
		if c.state == readingPage && c.regularPoll {
			return true
		}
	}
	return false
}

// pollDue reports whether the regular poll has to be sent now.
func (s *Searcher) pollDue(now time.Duration) bool {
	return s.connectionLimit() > 0 && now >= s.pollAt && !s.polling()
}

// sendPageReads reads the state page on every untested connection, and on an idle
// connection if the regular poll is due.
func (s *Searcher) sendPageReads(now time.Duration) {
	for _, c := range s.conns {
		if c.state == untested {
			s.startPageRead(now, c, false)
		}
	}
	if !s.pollDue(now) {
		return
	}
	if c := s.mostRecentIdle(); c != nil {
		s.pollAt = now + pollInterval
		s.startPageRead(now, c, true)
	}
}

// startPageRead reads the state page on a connection.
func (s *Searcher) startPageRead(now time.Duration, c *conn, regularPoll bool) {
	c.state, c.since, c.regularPoll = readingPage, now, regularPoll
	s.emit(Command{Action: ReadStatePage, Conn: c.id})
}

// Opened reports that a connection was established.
func (s *Searcher) Opened(now time.Duration, id ConnID) []Command {
	c := s.conn(id)
	if c == nil {
		return s.advance(now)
	}
	c.state, c.since = idle, now
	s.unreachable = false
	if c.probe {
		s.startPageRead(now, c, false)
	}
	return s.advance(now)
}

// OpenFailed reports that a connection could not be established. The upstream may be
// restarting, so the searcher turns cold. It refuses queued and new work for redialDelay or
// until a connection opens.
func (s *Searcher) OpenFailed(now time.Duration, id ConnID) []Command {
	c := s.conn(id)
	if c == nil {
		return s.advance(now)
	}
	s.removeConn(id)
	s.unreachable = true
	s.redialAt = now + redialDelay
	s.ramp.turnCold(s.config.Limits)
	if c.probe {
		s.endProbe(now, false)
	}
	return s.advance(now)
}

// ConnectionEnded reports that the upstream or the network ended a connection that had
// no exchange in progress.
func (s *Searcher) ConnectionEnded(now time.Duration, id ConnID) []Command {
	if c := s.conn(id); c != nil {
		s.handleConnLoss(now, c)
	}
	return s.advance(now)
}

// handleConnLoss handles the end of a connection that this side did not close. The
// searcher turns cold, because the upstream may have restarted.
func (s *Searcher) handleConnLoss(now time.Duration, c *conn) {
	s.spareAt = now + redialDelay
	s.removeConn(c.id)
	s.ramp.turnCold(s.config.Limits)
	if c.probe {
		s.endProbe(now, false)
	}
	if c.state == deleting {
		if w := s.work(c.work); w != nil {
			w.deleteSent = false
		}
	}
}
