package slot

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/result"
)

type connState uint8

const (
	// dialing is not open yet but counts as such.
	dialing connState = iota
	// idle is ready for any exchange.
	idle
	// busy carries work.
	busy
	// awaiting carries the reply of work whose slot is already free.
	awaiting
	// deleting carries a DELETE.
	deleting
	// reading carries a reading of the state page, as poll, probe or test.
	reading
	// untested has to answer a reading before anything else is sent on it.
	untested
	// closing was closed here and counts as open for a little longer.
	closing
)

type conn struct {
	id    ConnID
	state connState
	work  WorkID
	// since is when the present exchange or dialling began.
	since time.Duration
	// probe marks a connection opened to find out whether the upstream answers
	// while others are silent.
	probe bool
	// page says that the reading is the regular poll.
	page bool
	// suspect has made no progress; a probe on a fresh connection is under way.
	suspect bool
}

// connections returns how many connections may be open.
func (s *Searcher) connections() int { return s.grant.Connections(s.config.Limits) }

// workConnections returns how many connections may carry work. One is kept for
// DELETE, probes and the state page where the limit has room for it.
func (s *Searcher) workConnections() int {
	if n := s.connections(); n > 1 {
		return n - 1
	}
	return s.connections()
}

// workInUse counts connections that carry work or its late reply.
func (s *Searcher) workInUse() int {
	n := 0
	for _, c := range s.conns {
		if c.state == busy || c.state == awaiting {
			n++
		}
	}
	return n
}

func (s *Searcher) count(state connState) int {
	n := 0
	for _, c := range s.conns {
		if c.state == state {
			n++
		}
	}
	return n
}

// idle returns the connection used last, so that few are kept busy and the
// rest show by their age that they are spare.
func (s *Searcher) idle() *conn {
	var best *conn
	for _, c := range s.conns {
		if c.state == idle && (best == nil || c.since > best.since) {
			best = c
		}
	}
	return best
}

func (s *Searcher) conn(id ConnID) *conn {
	for _, c := range s.conns {
		if c.id == id && c.state != closing {
			return c
		}
	}
	return nil
}

func (s *Searcher) forget(id ConnID) {
	for i, c := range s.conns {
		if c.id == id {
			s.conns = append(s.conns[:i], s.conns[i+1:]...)
			return
		}
	}
}

func (s *Searcher) closeConn(now time.Duration, c *conn) {
	c.state, c.since, c.suspect, c.page = closing, now, false, false
	s.emit(Command{Action: Close, Conn: c.id})
}

func (s *Searcher) open(now time.Duration, probe bool) {
	s.lastConn++
	s.conns = append(s.conns, &conn{id: s.lastConn, state: dialing, since: now, probe: probe})
	s.emit(Command{Action: Open, Conn: s.lastConn})
}

// trim closes spare connections above the limit. Those in use are left to end.
func (s *Searcher) trim(now time.Duration) {
	excess := len(s.conns) - s.count(closing) - s.connections()
	for _, c := range s.conns {
		if excess > 0 && (c.state == idle || c.state == untested) {
			s.closeConn(now, c)
			excess--
		}
	}
}

// openConnections dials for work and exchanges that found no idle connection.
func (s *Searcher) openConnections(now time.Duration) {
	if s.unreachable && now < s.redialAt {
		return
	}
	wanted := min(len(s.queue), max(0, s.slots()-len(s.works))) + s.unsentDeletes(now)
	if s.pollDue(now) {
		wanted++
	}
	wanted = max(wanted-s.count(dialing)-s.count(untested), s.spare(now))
	if s.unreachable {
		wanted = min(wanted, 1-s.count(dialing))
	}
	for ; wanted > 0 && len(s.conns) < s.connections(); wanted-- {
		s.open(now, false)
	}
}

// spare returns how many connections to open ahead of need, so that work does
// not wait for a new one: enough for every slot and one for other exchanges.
// After a loss it waits, so that an upstream that closes every connection is
// not dialled in a loop.
func (s *Searcher) spare(now time.Duration) int {
	if s.slots() == 0 || now < s.spareAt {
		return 0
	}
	return s.slots() + 1 - len(s.conns)
}

func (s *Searcher) unsentDeletes(now time.Duration) int {
	n := 0
	for _, w := range s.works {
		if w.deleteDue(now) {
			n++
		}
	}
	return n
}

func (w *work) deleteDue(now time.Duration) bool {
	return w.abandoned && !w.deleteSent && now >= w.deleteAt
}

func (s *Searcher) sendDeletes(now time.Duration) {
	for _, w := range s.works {
		if !w.deleteDue(now) {
			continue
		}
		c := s.idle()
		if c == nil {
			return
		}
		w.deleteSent = true
		c.state, c.work, c.since = deleting, w.id, now
		s.emit(Command{Action: Delete, Work: w.id, Conn: c.id})
	}
}

func (s *Searcher) polling() bool {
	for _, c := range s.conns {
		if c.state == reading && c.page {
			return true
		}
	}
	return false
}

func (s *Searcher) pollDue(now time.Duration) bool {
	return s.connections() > 0 && now >= s.pollAt && !s.polling()
}

// poll tests connections that have to be and reads the state page when due.
func (s *Searcher) poll(now time.Duration) {
	for _, c := range s.conns {
		if c.state == untested {
			s.read(now, c, false)
		}
	}
	if !s.pollDue(now) {
		return
	}
	if c := s.idle(); c != nil {
		s.pollAt = now + pollInterval
		s.read(now, c, true)
	}
}

func (s *Searcher) read(now time.Duration, c *conn, page bool) {
	c.state, c.since, c.page = reading, now, page
	s.emit(Command{Action: ReadStatePage, Conn: c.id})
}

// Opened reports that a connection was established.
func (s *Searcher) Opened(now time.Duration, id ConnID) []Command {
	c := s.conn(id)
	if c == nil {
		return s.finish(now)
	}
	c.state, c.since = idle, now
	s.unreachable = false
	if c.probe {
		s.read(now, c, false)
	}
	return s.finish(now)
}

// OpenFailed reports that a connection could not be established. The upstream
// may be restarting, so what waits is refused and the searcher is cold.
func (s *Searcher) OpenFailed(now time.Duration, id ConnID) []Command {
	c := s.conn(id)
	if c == nil {
		return s.finish(now)
	}
	s.forget(id)
	s.unreachable = true
	s.redialAt = now + redialDelay
	s.ramp.chill(s.config.Limits)
	if c.probe {
		s.resolve(now, false)
	}
	return s.finish(now)
}

// ConnectionLost reports that a connection with no exchange in progress has ended.
func (s *Searcher) ConnectionLost(now time.Duration, id ConnID) []Command {
	if c := s.conn(id); c != nil {
		s.lose(now, c)
	}
	return s.finish(now)
}

// lose handles the end of a connection that this side did not ask for. The
// upstream may have restarted.
func (s *Searcher) lose(now time.Duration, c *conn) {
	s.spareAt = now + redialDelay
	s.forget(c.id)
	s.ramp.chill(s.config.Limits)
	if c.probe {
		s.resolve(now, false)
	}
	if c.state == deleting {
		if w := s.work(c.work); w != nil {
			w.deleteSent = false
		}
	}
}

// ExchangeEnded reports how the exchange in progress on a connection ended.
func (s *Searcher) ExchangeEnded(now time.Duration, id ConnID, o Outcome) []Command {
	c := s.conn(id)
	if c == nil {
		return s.finish(now)
	}
	switch c.state {
	case busy, awaiting:
		s.workEnded(now, c, o)
	case deleting:
		s.deleteEnded(now, c, o)
	case reading:
		s.readingEnded(now, c, o)
	}
	return s.finish(now)
}

func (s *Searcher) workEnded(now time.Duration, c *conn, o Outcome) {
	w := s.work(c.work)
	if o.Kind == Broken {
		s.lose(now, c)
		if w != nil && !w.abandoned {
			s.abandon(w, orElse(o.Err, result.MayHaveRun(result.ConnectionLost, "after the request was written")))
		}
		return
	}
	s.release(now, c, o)
	s.learn(now, w, o)
	if w == nil {
		return
	}
	s.remove(w.id)
	switch {
	case w.abandoned:
	case o.Kind == NotWritten:
		s.emit(Command{Action: Fail, Work: w.id, Err: orElse(o.Err, result.NotRun(result.ConnectionLost, "before the request was written"))})
	default:
		s.emit(Command{Action: Deliver, Work: w.id})
	}
}

// learn takes from a reply what it says about the upstream.
func (s *Searcher) learn(now time.Duration, w *work, o Outcome) {
	switch o.Kind {
	case Shed:
		s.ramp.chill(s.config.Limits)
	case RefusedDraining:
		s.draining, s.drainingAt = true, now
	case Succeeded:
		if w == nil || w.deleteSent {
			return
		}
		within := s.latency.within(o.Latency, s.config.Deadline)
		if s.latency.add(o.Latency) {
			s.ramp.chill(s.config.Limits)
		} else if within {
			s.ramp.succeeded(w.step, s.config.Limits)
		}
	}
}

func (s *Searcher) deleteEnded(now time.Duration, c *conn, o Outcome) {
	w, sent := s.work(c.work), c.since
	if o.Kind == Broken || o.Kind == NotWritten {
		s.lose(now, c)
		return
	}
	s.release(now, c, o)
	switch {
	case w == nil || o.Kind == Failed:
	case o.Kind == Succeeded:
		s.remove(w.id)
		s.awaitReply(now, w.id)
	default:
		// The work counts until its reply or its deadline ends it.
		w.deleteSent, w.deleteAt = false, now+deleteRetry
		if sent >= w.dispatched+deleteRetry {
			s.awaitReply(now, w.id)
		}
	}
}

// awaitReply starts the silence bound of the connection that still owes the
// reply of work that has ended.
func (s *Searcher) awaitReply(now time.Duration, id WorkID) {
	for _, c := range s.conns {
		if c.state == busy && c.work == id {
			c.state, c.since = awaiting, now
		}
	}
}

func (s *Searcher) readingEnded(now time.Duration, c *conn, o Outcome) {
	if o.Kind == Broken || o.Kind == NotWritten {
		s.lose(now, c)
		return
	}
	if c.probe {
		s.resolve(now, true)
		c.probe = false
	}
	s.release(now, c, o)
	if o.StatePage != nil {
		s.report(now, *o.StatePage)
	}
}

// report applies a state page. It lowers, but never raises.
func (s *Searcher) report(now time.Duration, r StatePage) {
	if r.Load > 1 {
		s.ramp.lower(s.config.Limits)
	}
	switch {
	case r.Draining:
		s.draining, s.drainingAt = true, now
	case s.draining && now-s.drainingAt >= drainingHold:
		s.draining = false
		s.ramp.chill(s.config.Limits)
	}
}

// release makes a connection ready for its next exchange.
func (s *Searcher) release(now time.Duration, c *conn, o Outcome) {
	if o.Closed {
		s.closeConn(now, c)
		if o.Kind == NotWritten {
			// The connection broke while it was idle.
			s.ramp.chill(s.config.Limits)
		}
		return
	}
	c.state, c.since, c.work, c.page, c.suspect = idle, now, 0, false, false
}

func orElse(err, fallback *result.Error) *result.Error {
	if err != nil {
		return err
	}
	return fallback
}
