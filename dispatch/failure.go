package dispatch

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

// failureLogInterval is the least time between two log lines about replies that failed.
const failureLogInterval = 1 * time.Second

// logLimit lets one event pass in each failureLogInterval and counts those between.
type logLimit struct {
	mu         sync.Mutex
	next       time.Duration
	suppressed int
}

// allow reports whether an event may be logged, and how many were not since the last one.
func (l *logLimit) allow(now time.Duration) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now < l.next {
		l.suppressed++
		return 0, false
	}
	suppressed := l.suppressed
	l.next, l.suppressed = now+failureLogInterval, 0
	return suppressed, true
}

// replyLimits returns the limits of a connection to the searcher of an attempt.
func (d *Dispatcher) replyLimits(a *Attempt) searcher.Limits {
	id, service := a.searcherID, a.Service
	return searcher.Limits{Memory: d.config.Memory, ReplyFailed: func(e *searcher.ReplyError) { d.replyFailed(id, service, e) }}
}

// replyFailed counts and logs a reply that failed.
func (d *Dispatcher) replyFailed(id, service string, e *searcher.ReplyError) {
	d.metrics.replyFailed(e)
	if e.Cause == searcher.ClosedLocally {
		return
	}
	if suppressed, ok := d.failureLog.allow(d.config.Clock.Boottime()); ok {
		d.config.Log.Warn("reply failed", "searcher", id, "service", service, "reason", e.Cause.String(), "read_bytes", e.Read, "error", e.Error(), "not_logged", suppressed)
	}
}

// observeBroken updates the statistics of a searcher for an exchange that broke off with err, or
// for a short reply that can't be trusted if err is nil.
func (t *target) observeBroken(now time.Duration, err error) {
	kind := t.service.badReply(err)
	if kind == balance.Endless && !t.service.mayBlock(t, now) {
		kind = balance.NoAnswer
	}
	t.stats.ObserveBadReply(now, kind)
}

// mayBlock reports whether a searcher may be left out in addition to those that are: no more than
// half of the service. All its searchers may reply too large to one query, and must serve others.
func (s *service) mayBlock(t *target, now time.Duration) bool {
	blocked := 1
	for _, other := range s.targets {
		if other != t && other.stats.Blocked(now) {
			blocked++
		}
	}
	return 2*blocked <= len(s.targets)
}

// badReply returns what an exchange without an answer says about its searcher.
func (s *service) badReply(err error) balance.BadReply {
	e, ok := errors.AsType[*searcher.ReplyError](err)
	if ok && (e.Cause == searcher.TooLarge || e.Cause == searcher.NoMemory && s.replySizes.Exceeded(e.Read)) {
		return balance.Endless
	}
	return balance.NoAnswer
}
