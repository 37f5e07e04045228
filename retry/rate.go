package retry

import (
	"math"
	"time"
)

// RateLimiter is one instance's part of a rate limit that holds for all instances together.
// It is a token bucket that holds what is earned in rateBurst. With an equal part for each
// instance, all buckets together hold no more than the whole limit allows in that time.
//
// If an instance earns less than one token in rateBurst, its token expires rateBurst after
// it was earned, and the next one is earned as if it had been used. The instances earn their
// tokens in turn, each at times that follow from its position and the time of day. So at any
// moment only some of them have a token, and they still hold no more in total.
type RateLimiter struct {
	// tokens is the number of tokens earned and not used or expired.
	tokens float64
	// updated is when tokens was last brought up to date.
	updated time.Duration
}

// rateBurst is the time whose tokens a RateLimiter keeps.
const rateBurst = time.Second

// Share is an instance's part of a rate limit.
type Share struct {
	// PerSecond is the limit for all instances together, in requests a second.
	PerSecond float64
	// Instances is the number of instances that share the limit.
	Instances int
	// Position is the place of this instance in the order of those that share the limit,
	// from 0 to below 1. The positions of all instances are spread evenly.
	Position float64
}

// Rate returns the instance's part in requests a second.
func (s Share) Rate() float64 { return s.PerSecond / float64(max(s.Instances, 1)) }

// firstToken returns the part of its next token that an instance has earned at a time of day.
func (s Share) firstToken(timeOfDay time.Time) float64 {
	seconds := float64(timeOfDay.UnixMilli()) / 1000
	_, part := math.Modf(seconds*s.Rate() + s.Position)
	return part
}

// NewRateLimiter returns a limiter. Only here the position of the share counts.
func NewRateLimiter(s Share, now time.Duration, timeOfDay time.Time) RateLimiter {
	return RateLimiter{tokens: s.firstToken(timeOfDay), updated: now}
}

// Allows reports whether a request may be sent now.
func (l *RateLimiter) Allows(s Share, now time.Duration) bool {
	l.update(s, now)
	return l.tokens >= 1
}

// Take counts a request that is sent. Allows must have returned true just before.
func (l *RateLimiter) Take() { l.tokens-- }

// Refund takes back a Take for a request that was not sent.
func (l *RateLimiter) Refund() { l.tokens++ }

// Wait returns how long it takes until the next request may be sent.
func (l *RateLimiter) Wait(s Share, now time.Duration) time.Duration {
	l.update(s, now)
	missing := max(1-l.tokens, 0)
	return time.Duration(math.Ceil(missing / s.Rate() * float64(time.Second)))
}

// update adds the tokens that were earned since the last update and drops those above the
// capacity or expired.
func (l *RateLimiter) update(s Share, now time.Duration) {
	l.tokens += s.Rate() * max(now-l.updated, 0).Seconds()
	l.updated = max(l.updated, now)
	perBurst := s.Rate() * rateBurst.Seconds()
	switch {
	case perBurst >= 1:
		l.tokens = min(l.tokens, perBurst)
	case l.tokens >= 1+perBurst:
		// The last whole token expired. What was earned of the next one stays.
		l.tokens -= math.Floor(l.tokens)
	}
}
