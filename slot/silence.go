package slot

import "time"

// bound returns until when a connection has to make progress. It reports false
// for one that owes nothing.
func (s *Searcher) bound(c *conn) (time.Duration, bool) {
	if c.suspect {
		return 0, false
	}
	switch c.state {
	case awaiting, reading, dialing:
		return c.since + silenceBound, true
	case closing:
		return c.since + closeLinger, true
	case deleting:
		if w := s.work(c.work); w != nil {
			return w.deadline + DeadlineGrace + silenceBound, true
		}
		return c.since + silenceBound, true
	default:
		return 0, false
	}
}

func (s *Searcher) expireConnections(now time.Duration) {
	for _, c := range append([]*conn(nil), s.conns...) {
		if bound, ok := s.bound(c); ok && now >= bound {
			s.silent(now, c)
		}
	}
}

// silent handles a connection that made no progress within its bound.
func (s *Searcher) silent(now time.Duration, c *conn) {
	switch {
	case c.state == closing:
		s.forget(c.id)
	case c.state == dialing || c.probe:
		probe := c.probe
		c.probe = false
		s.closeConn(now, c)
		s.unreachable = true
		s.redialAt = now + redialDelay
		s.ramp.chill(s.config.Limits)
		if probe {
			s.resolve(now, false)
		}
	case len(s.conns) < s.connections():
		c.suspect = true
		if !s.probing() {
			s.open(now, true)
		}
	default:
		// No connection is left for a probe, so the silent one makes room.
		s.closeConn(now, c)
		s.retest()
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

// resolve ends a probe. When the upstream answered on a fresh connection, the
// others may be silent as well and are tested. When it did not, all that is
// known is that nothing comes from it; the connections are of no use then.
func (s *Searcher) resolve(now time.Duration, answered bool) {
	for _, c := range append([]*conn(nil), s.conns...) {
		if c.suspect {
			s.closeConn(now, c)
		}
	}
	if answered {
		s.retest()
	}
}

// retest marks every idle connection as to be tested before its next use. A
// busy one shows by its reply that it works.
func (s *Searcher) retest() {
	for _, c := range s.conns {
		if c.state == idle {
			c.state = untested
		}
	}
}
