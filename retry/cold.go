package retry

import "time"

// coldWindow is the sliding window in which requests to a cold searcher are counted.
const coldWindow = time.Second

// ColdLimiter limits the requests that one cold searcher gets from this instance. The
// zero value is ready for use.
type ColdLimiter struct {
	// sent holds the times of the requests in the current window, the oldest first.
	sent []time.Duration
	// turns limits the requests where instances outnumber those of a window. It is set if
	// started is true.
	turns   RateLimiter
	started bool
}

// ColdLimit is the limit on requests to a cold searcher from all instances together.
// In a second it may get at most PerSecond times Overage, plus Slack requests.
type ColdLimit struct {
	PerSecond float64
	Overage   float64
	Slack     float64
	// Instances and Position are the same as in a Share.
	Instances int
	Position  float64
	// TimeOfDay is the present time, from which an instance's turns follow.
	TimeOfDay time.Time
}

// total returns the requests in one window that all instances together use. Requests
// that were sent in one window may arrive in the next, so half of the overage and half
// of the slack stay unused.
func (l ColdLimit) total() float64 { return l.PerSecond*(1+(l.Overage-1)/2) + l.Slack/2 }

// requestsPerWindow returns this instance's share of the limit in one window.
func (l ColdLimit) requestsPerWindow() int { return int(l.total() / float64(max(l.Instances, 1))) }

// turns returns the rate limit that applies where requestsPerWindow is zero. A RateLimiter
// lets through in one window what is earned in two.
func (l ColdLimit) turns() Share {
	return Share{PerSecond: l.total() / 2 / coldWindow.Seconds(), Instances: l.Instances, Position: l.Position}
}

// Allows reports whether one more request may be sent now. It doesn't count that
// request: RecordSent does.
func (c *ColdLimiter) Allows(l ColdLimit, now time.Duration) bool {
	if l.requestsPerWindow() == 0 {
		return c.allowsTurn(l, now)
	}
	c.started = false
	recent := c.sent[:0]
	for _, t := range c.sent {
		if now-t < coldWindow {
			recent = append(recent, t)
		}
	}
	c.sent = recent
	return len(c.sent) < l.requestsPerWindow()
}

// allowsTurn reports whether one of this instance's turns is now.
func (c *ColdLimiter) allowsTurn(l ColdLimit, now time.Duration) bool {
	if !c.started {
		c.turns, c.started = NewRateLimiter(l.turns(), now, l.TimeOfDay), true
	}
	return c.turns.Allows(l.turns(), now)
}

// RecordSent counts a request that is sent now.
func (c *ColdLimiter) RecordSent(now time.Duration) {
	if c.started {
		c.turns.Take()
		return
	}
	c.sent = append(c.sent, now)
}
