package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/wisteriawharf/wisteriawharf/eligibility"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

const (
	// pauseJitter is the largest share by which a pause is lengthened, at random, so that the
	// instances do not all come back at once.
	pauseJitter = 0.1
	// removedNoticesRetention is how long the notices of a removed searcher are kept. An entry of
	// the same incarnation may come back, for instance from a copy of the store.
	removedNoticesRetention = 10 * time.Minute
)

// removedNotices holds the notices of a searcher that was removed.
type removedNotices struct {
	searcher  fleet.Searcher
	notices   eligibility.Notices
	removedAt time.Duration
}

// isNotice reports whether a reply is a refusal that tells more about the searcher than that it
// failed: that it leaves, or when it takes requests again.
func isNotice(outcome Outcome, m *platform.ReplyMetadata) bool {
	return outcome == Refused && (m.Leaving || m.Pause > 0)
}

// observeNotices records what a searcher says of itself in a reply. It returns connections to be
// closed without the lock. A reply that can't be trusted says nothing.
func (d *Dispatcher) observeNotices(a *Attempt, now time.Duration, outcome Outcome, m *platform.ReplyMetadata) []*connection {
	t := a.target
	if outcome == Answered || outcome == Failed {
		t.notices.ObserveAnswer(a.chosenAt)
	}
	if outcome == Refused && m.Pause > 0 {
		d.observePause(t, now, m)
	}
	if outcome == Broken || !m.Leaving {
		return nil
	}
	d.metrics.notices.WithLabelValues("leaving").Inc()
	if t.notices.ObserveLeaving(now) {
		d.config.Log.Info("searcher says that it leaves", "searcher", t.ID, "service", t.Service)
		d.classify(t.service)
	}
	return t.takeIdle()
}

func (d *Dispatcher) observePause(t *target, now time.Duration, m *platform.ReplyMetadata) {
	d.metrics.notices.WithLabelValues("pause").Inc()
	if m.InvalidPause != "" {
		d.metrics.notices.WithLabelValues("invalid pause").Inc()
	}
	pause := m.Pause + time.Duration(rand.Float64()*pauseJitter*float64(m.Pause))
	if t.notices.ObservePause(now, pause) {
		d.config.Log.Info("searcher asks for a pause", "searcher", t.ID, "service", t.Service, "pause_ms", m.Pause.Milliseconds(), "invalid", m.InvalidPause)
	}
}

// keepNotices keeps the notices of a searcher that is removed.
func (d *Dispatcher) keepNotices(t *target) {
	now := d.config.Clock.Boottime()
	for id, r := range d.removedNotices {
		if now-r.removedAt > removedNoticesRetention {
			delete(d.removedNotices, id)
		}
	}
	if t.notices != (eligibility.Notices{}) {
		d.removedNotices[t.ID] = removedNotices{searcher: t.Searcher, notices: t.notices, removedAt: now}
	}
}

// takeRemovedNotices returns the notices of a searcher that was removed before, unless the entry
// is that of another incarnation.
func (d *Dispatcher) takeRemovedNotices(s fleet.Searcher) eligibility.Notices {
	r, ok := d.removedNotices[s.ID]
	if !ok {
		return eligibility.Notices{}
	}
	delete(d.removedNotices, s.ID)
	if (&target{Searcher: r.searcher}).replacedBy(s) {
		return eligibility.Notices{}
	}
	return r.notices
}

// maxUnreachableWait bounds the wait for a searcher that can't be reached from here: others may reach it.
const maxUnreachableWait = 1 * time.Second

// unreachableFor returns the time until this instance tries the searcher again, which it can't reach or
// which rejects its connections, zero if it may send requests now.
func (t *target) unreachableFor(now time.Duration) time.Duration {
	wait := t.stats.BlockedFor(now)
	if t.open == 0 {
		wait = max(wait, t.dialPause.Left(now))
	}
	return min(wait, maxUnreachableWait)
}

// PauseLeft returns the time until the first searcher of a service takes requests again, zero if
// not all of its searchers that may get requests are paused or can't be reached.
func (d *Dispatcher) PauseLeft(service string, regions []string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Boottime()
	var left time.Duration
	class, restricted := d.allowedClasses(d.service(service), regions, now)
	for _, t := range d.service(service).targets {
		if !d.available(t, regions) || restricted && t.class != class {
			continue
		}
		wait := t.unreachableFor(now)
		if notice := t.notices.Decide(now, 0); notice.Reason == eligibility.Paused {
			wait = max(wait, notice.Until-now)
		}
		if wait == 0 {
			return 0
		}
		if left == 0 || wait < left {
			left = wait
		}
	}
	return left
}
