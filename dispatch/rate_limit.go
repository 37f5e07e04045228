package dispatch

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/eligibility"
	"github.com/wisteriawharf/wisteriawharf/retry"
)

// advertisedLimit is the rate limit that a searcher advertises in its replies. The zero value
// stands for none.
type advertisedLimit struct {
	// perSecond is the limit for all instances together, in requests a second. It is zero if
	// there is none.
	perSecond float64
	// namedAt is when the last reply that named the limit was received.
	namedAt time.Duration
	limiter retry.RateLimiter
}

// active reports whether the searcher advertises a limit.
func (l *advertisedLimit) active() bool { return l.perSecond > 0 }

// observeRateLimit records the rate limit that the reply to an attempt names, zero if it names
// none. Without one the limit ends, unless the request was sent before the limit was last
// named: replies may arrive out of order.
func (d *Dispatcher) observeRateLimit(a *Attempt, now time.Duration, perSecond float64) {
	l := &a.target.rateLimit
	before := l.perSecond
	switch {
	case perSecond > 0:
		l.perSecond, l.namedAt = perSecond, now
		if before == 0 {
			l.limiter = retry.NewRateLimiter(d.rateShare(a.target), now, time.Now())
		}
	case l.active() && a.chosenAt >= l.namedAt:
		*l = advertisedLimit{}
	}
	if l.perSecond != before {
		d.config.Log.Info("searcher's advertised rate limit changes", "searcher", a.target.ID, "service", a.service.settings.Name,
			"before_per_s", before, "per_s", l.perSecond, "sharers", d.config.InstanceCount())
	}
}

// rateShare returns this instance's part of the rate limit that a searcher advertises.
func (d *Dispatcher) rateShare(t *target) retry.Share {
	return retry.Share{PerSecond: t.rateLimit.perSecond, Instances: d.config.InstanceCount(), Position: d.config.Position()}
}

// withinRateLimit reports whether a searcher's advertised rate limit allows a request now.
func (d *Dispatcher) withinRateLimit(t *target, now time.Duration) bool {
	return !t.rateLimit.active() || t.rateLimit.limiter.Allows(d.rateShare(t), now)
}

// takeRateLimit counts an attempt against the rate limit of its searcher, if there is one.
func (d *Dispatcher) takeRateLimit(a *Attempt) {
	if !a.target.rateLimit.active() {
		return
	}
	a.target.rateLimit.limiter.Take()
	a.rateLimited = true
	d.metrics.toLimited.WithLabelValues(a.Kind.String()).Inc()
}

// refundRateLimit takes back takeRateLimit for an attempt that was not sent.
func (a *Attempt) refundRateLimit() {
	if a.rateLimited && a.target.rateLimit.active() {
		a.target.rateLimit.limiter.Refund()
	}
}

// placeWait is the time until rate limits and pauses allow more requests to a set of searchers.
type placeWait struct {
	// next is the time until one of the searchers that are at their rate limit or paused may get
	// a request. It is zero if there is no such searcher.
	next time.Duration
	// perSecond is the rate at which this instance may then send requests to those at their
	// limits.
	perSecond float64
	// all says that all of the searchers are at their limits or paused, paused that one of them
	// is paused.
	all, paused bool
	// rejecting says that one of them rejects connections.
	rejecting bool
}

// placeWait returns how long the rate limits and the pauses of the searchers prevent requests.
func (d *Dispatcher) placeWait(searchers []*target, now time.Duration) placeWait {
	w := placeWait{all: len(searchers) > 0}
	for _, t := range searchers {
		var wait time.Duration
		if !d.withinRateLimit(t, now) {
			share := d.rateShare(t)
			wait = t.rateLimit.limiter.Wait(share, now)
			w.perSecond += share.Rate()
		}
		if notice := t.notices.Decide(now, 0); notice.Reason == eligibility.Paused {
			wait = max(wait, notice.Until-now)
			w.paused = true
		}
		if dial := t.dialPause.Left(now); dial > 0 {
			if t.open > 0 && wait == 0 {
				w.all = false // its connections may become free before
			}
			wait = max(wait, dial)
			w.rejecting = true
		}
		if wait == 0 {
			w.all = false
			continue
		}
		if w.next == 0 || wait < w.next {
			w.next = wait
		}
	}
	return w
}

// tooLong reports whether a request is not sent within left, because all searchers are paused or
// at their rate limits and this many requests go before it.
func (w placeWait) tooLong(ahead int, left time.Duration) bool {
	if !w.all {
		return false
	}
	wait := w.next
	if w.perSecond > 0 {
		wait += time.Duration(float64(ahead) / w.perSecond * float64(time.Second))
	}
	return wait > left
}

// scheduleLaunch launches queued attempts of a service after the wait. It does nothing if a
// launch is scheduled already or if wait is zero.
func (d *Dispatcher) scheduleLaunch(s *service, wait time.Duration) {
	if s.launchScheduled || wait <= 0 {
		return
	}
	s.launchScheduled = true
	time.AfterFunc(wait, func() {
		d.mu.Lock()
		s.launchScheduled = false
		tasks := s.launchQueued(d)
		d.mu.Unlock()
		runAll(tasks)
	})
}
