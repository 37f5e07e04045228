package slot

import "time"

// progressDeadline returns until when a connection has to make progress. It reports false
// for one that owes nothing.
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

func (s *Searcher) expireConnections(now time.Duration) {
	for _, c := range append([]*conn(nil), s.conns...) {
		if expiry, ok := s.progressDeadline(c); ok && now >= expiry {
			s.handleSilence(now, c)
		}
	}
}

// handleSilence handles a connection that made no progress within its bound.
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
		// No connection is left for a probe, so the silent one makes room.
		s.closeConn(now, c)
		s.markIdleUntested()
	}
}

func (s *Searcher) probing() bool {
	for _, c := range s.conns {
		if c.probe {
			return true
		}
	}
	return false
}

// endProbe ends a probe. When the upstream answered on a fresh connection, the
// others may be silent as well and are tested. When it did not, all that is
// known is that nothing comes from it; the connections are of no use then.
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

// markIdleUntested marks every idle connection as to be tested before its next use. A
// busy one shows by its reply that it works.
func (s *Searcher) markIdleUntested() {
	for _, c := range s.conns {
		if c.state == idle {
			c.state = untested
		}
	}
}
