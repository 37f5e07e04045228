package slot

import "time"

// progressDeadline returns the time by which a connection has to make progress, and false
// if there is no such time. For a closing connection, it returns the time from which the
// connection no longer counts as open.
func (s *Searcher) progressDeadline(c *conn) (time.Duration, bool) {
	if c.suspect {
		return 0, false
	}
	switch c.state {
	case awaitingLateReply, readingPage, dialing:
		return c.since + silenceTimeout, true
	case closing:
		return c.since + closeLinger, true
	case deleting:
		if w := s.work(c.work); w != nil {
			return w.deadline + DeadlineGrace + silenceTimeout, true
		}
		return c.since + silenceTimeout, true
	default:
		return 0, false
	}
}

// expireConnections handles all connections whose progress deadline has passed.
func (s *Searcher) expireConnections(now time.Duration) {
	for _, c := range append([]*conn(nil), s.conns...) {
		if expiry, ok := s.progressDeadline(c); ok && now >= expiry {
			s.handleSilence(now, c)
		}
	}
}

// handleSilence handles a connection whose progress deadline has passed. A closing
// connection no longer counts as open. A dial or probe that timed out makes the upstream
// unreachable. Any other connection is suspect until a probe on a new connection shows
// whether the upstream answers. If the connection limit leaves no room for a probe, the
// connection is closed at once.
func (s *Searcher) handleSilence(now time.Duration, c *conn) {
	switch {
	case c.state == closing:
		s.removeConn(c.id)
	case c.state == dialing || c.probe:
		probe := c.probe
		c.probe = false
		s.closeConn(now, c)
		s.unreachable = true
		s.redialAt = now + redialDelay
		s.ramp.turnCold(s.config.Limits)
		if probe {
			s.endProbe(now, false)
		}
	case len(s.conns) < s.connectionLimit():
		c.suspect = true
		if !s.probing() {
			s.open(now, true)
		}
	default:
		// The connection limit leaves no room for a probe, so the silent connection is
		// closed without one.
		s.closeConn(now, c)
		s.markIdleUntested()
	}
}

// probing reports whether a probe is in progress.
func (s *Searcher) probing() bool {
	for _, c := range s.conns {
		if c.probe {
			return true
		}
	}
	return false
}

// endProbe closes the suspect connections after a probe has ended. If the upstream
// answered, the idle connections may be silent too, so they are marked to be tested. If it
// did not answer, the suspect connections are of no use either, because all that is known
// is that the upstream sends nothing.
func (s *Searcher) endProbe(now time.Duration, answered bool) {
	for _, c := range append([]*conn(nil), s.conns...) {
		if c.suspect {
			s.closeConn(now, c)
		}
	}
	if answered {
		s.markIdleUntested()
	}
}

// markIdleUntested marks every idle connection to be tested before its next use. A busy
// connection needs no test, because its reply shows that it works.
func (s *Searcher) markIdleUntested() {
	for _, c := range s.conns {
		if c.state == idle {
			c.state = untested
		}
	}
}
