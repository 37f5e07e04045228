// Package eligibility decides whether an instance may send requests to a searcher, from what the
// searcher says of itself in its replies. It does no I/O and starts no goroutines. All times are
// readings of the boot clock.
package eligibility

import "time"

// Reason is why a searcher may not get a request.
type Reason int

// Reasons.
const (
	// None: the searcher may get requests.
	None Reason = iota
	// Leaving: the searcher is about to stop and takes no new requests.
	Leaving
	// Paused: the searcher has asked for a pause that has not ended.
	Paused
	// Resuming: the searcher has just been paused, and has as many requests as it may have
	// until it answers one.
	Resuming
)

// String returns the name of the reason as it stands in logs and metrics.
func (r Reason) String() string { return [...]string{"none", "leaving", "paused", "resuming"}[r] }

// Decision says whether a searcher may get a request now.
type Decision struct {
	// Reason is why it may not, None if it may.
	Reason Reason
	// Since is when the reason arose. Until is when it ends, zero if that is not known.
	Since, Until time.Duration
}

// Allowed reports whether the searcher may get a request.
func (d Decision) Allowed() bool { return d.Reason == None }

// Notices holds what one incarnation of a searcher has said of itself. The zero value stands for
// a searcher that has said nothing. It is not safe for concurrent use.
type Notices struct {
	leaving      bool
	leavingSince time.Duration
	pausedSince  time.Duration
	pausedUntil  time.Duration
	// resumeLimit is the number of requests that the searcher may have at once after a pause. It
	// is zero if there is no such limit.
	resumeLimit int
}

// maxResumeLimit is the number of requests at once from which the limit after a pause is dropped.
const maxResumeLimit = 64

// ObserveLeaving records that the searcher said that it leaves, and reports whether that is new.
// Only another incarnation of the searcher takes requests again.
func (n *Notices) ObserveLeaving(now time.Duration) bool {
	if n.leaving {
		return false
	}
	n.leaving, n.leavingSince = true, now
	return true
}

// ObservePause records that the searcher asked for a pause. A pause is never shortened by a later
// one. ObservePause reports whether the searcher was not paused before.
func (n *Notices) ObservePause(now, length time.Duration) bool {
	begins := now >= n.pausedUntil
	if begins {
		n.pausedSince = now
	}
	n.pausedUntil = max(n.pausedUntil, now+length)
	n.resumeLimit = 1
	return begins
}

// ObserveAnswer records that the searcher answered a request that was sent at a time. After a pause
// each answer doubles the number of requests that the searcher may have at once.
func (n *Notices) ObserveAnswer(sent time.Duration) {
	if n.resumeLimit == 0 || sent < n.pausedUntil {
		return
	}
	n.resumeLimit *= 2
	if n.resumeLimit > maxResumeLimit {
		n.resumeLimit = 0
	}
}

// IsLeaving reports whether the searcher said that it leaves.
func (n *Notices) IsLeaving() bool { return n.leaving }

// Decide decides whether the searcher may get a request now, when it has a number of unanswered
// ones from this instance.
func (n *Notices) Decide(now time.Duration, unanswered int) Decision {
	switch {
	case n.leaving:
		return Decision{Reason: Leaving, Since: n.leavingSince}
	case now < n.pausedUntil:
		return Decision{Reason: Paused, Since: n.pausedSince, Until: n.pausedUntil}
	case n.resumeLimit > 0 && unanswered >= n.resumeLimit:
		return Decision{Reason: Resuming, Since: n.pausedUntil}
	}
	return Decision{}
}
