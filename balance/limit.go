package balance

import "time"

// ConcurrencyLimit bounds the requests that an instance has at one searcher at once. A searcher
// near its capacity queues what it gets, so that without a bound all of its replies
// come late; with it some are in time, and the others go elsewhere or are left out.
// The bound falls while replies come late and rises while it is what holds requests
// back. The zero value does not limit.
type ConcurrencyLimit struct {
	// value is the bound, zero while no reply has come late.
	value float64
	// lowered is when it was last lowered.
	lowered time.Duration
}

const (
	// lateShare is the share of the time in which an answer is due that a reply may
	// take before its searcher counts as overloaded.
	lateShare = 0.4
	// lowerTo is the part of the bound that is left when replies come late.
	lowerTo = 0.75
	// minLimit keeps a searcher in use, so that its recovery shows.
	minLimit = 1.0
	// maxLimit is where a bound has no more effect and is dropped.
	maxLimit = 64
)

// Reached reports whether the searcher has as many requests as it should get. An instance's
// part of the slots is always used: fewer requests would make none of them faster.
func (l *ConcurrencyLimit) Reached(outstanding, slots, instances int) bool {
	part := float64(slots) / float64(max(instances, 1))
	return l.value > 0 && float64(outstanding) >= max(l.value, part)
}

// ObserveLatency notes a reply after a latency, for a request whose answer was due within
// the given time. At most that many requests, itself included, were outstanding when
// it was sent.
func (l *ConcurrencyLimit) ObserveLatency(now, latency, due time.Duration, outstanding int) {
	if latency > time.Duration(lateShare*float64(due)) {
		l.lower(now, latency, outstanding)
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

// lower reduces the bound, once for all requests that were outstanding together.
func (l *ConcurrencyLimit) lower(now, latency time.Duration, outstanding int) {
	if l.lowered != 0 && now-latency < l.lowered {
		return
	}
	if l.value == 0 {
		l.value = float64(outstanding)
	}
	l.value = max(l.value*lowerTo, minLimit)
	l.lowered = now
}
