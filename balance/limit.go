package balance

import "time"

// ConcurrencyLimit is an adaptive limit of the requests that this instance has outstanding
// at one searcher. An overloaded searcher queues requests, so without a limit all of its
// replies are late. With a limit some replies are in time, and the remaining requests go to
// other searchers or are shed. The limit is reduced by a factor when a reply is late. It
// rises only while it is fully used: by a fraction for each reply in time, and so by about
// one after as many of them as the limit allows requests. The zero value does not limit.
type ConcurrencyLimit struct {
	// value is the limit, zero if there is none.
	value float64
	// lastDecrease is when the limit was last reduced, zero if never.
	lastDecrease time.Duration
}

const (
	// A reply is late if its latency exceeds maxTargetShare times the latency target of
	// the answer. The searcher then counts as overloaded.
	maxTargetShare = 0.4
	// decreaseFactor is multiplied with the limit when a reply is late.
	decreaseFactor = 0.75
	// minLimit is the lowest limit. It keeps a searcher in use, so that its recovery is
	// noticed.
	minLimit = 1.0
	// maxLimit is the value above which the limit is dropped, since it has no effect there.
	maxLimit = 64
)

// Reached reports whether this instance has so many requests outstanding at the searcher
// that it should send no more. slots is the number of requests that the searcher runs at
// once, instances the number of instances that send it requests. The instance may always
// use its equal share of the slots. To leave a part of that share unused would make no
// request faster.
func (l *ConcurrencyLimit) Reached(outstanding, slots, instances int) bool {
	share := float64(slots) / float64(max(instances, 1))
	return l.value > 0 && float64(outstanding) >= max(l.value, share)
}

// ObserveLatency adapts the limit to the latency of a request, or to the time after which
// it was given up. latencyTarget is the time, counted from the arrival of the caller's
// request, within which its answer is due. outstanding is the number of requests of this
// instance at the searcher when the request was sent, itself included.
func (l *ConcurrencyLimit) ObserveLatency(now, latency, latencyTarget time.Duration, outstanding int) {
	if latency > time.Duration(maxTargetShare*float64(latencyTarget)) {
		l.decrease(now, latency, outstanding)
		return
	}
	if l.value == 0 || float64(outstanding+1) < l.value {
		return
	}
	l.value += 1 / l.value
	if l.value > maxLimit {
		l.value = 0
	}
}

// decrease reduces the limit. It ignores requests that were sent before the last reduction,
// so that requests that waited in the same queue reduce the limit only once.
func (l *ConcurrencyLimit) decrease(now, latency time.Duration, outstanding int) {
	if l.lastDecrease != 0 && now-latency < l.lastDecrease {
		return
	}
	if l.value == 0 {
		l.value = float64(outstanding)
	}
	l.value = max(l.value*decreaseFactor, minLimit)
	l.lastDecrease = now
}
