package dispatch

import (
	"sync"
	"time"

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

// replyLimits returns the limits of a connection to a searcher.
func (d *Dispatcher) replyLimits(t *target) searcher.Limits {
	id, service := t.ID, t.service.settings.Name
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
