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
	// lastDecrease is when it was last lastDecrease.
	lastDecrease time.Duration
}

const (
	// maxLatencyShare is the share of the time in which an answer is due that a reply may
	// take before its searcher counts as overloaded.
	maxLatencyShare = 0.4
	// decreaseFactor is the part of the bound that is left when replies come late.
	decreaseFactor = 0.75
	// minLimit keeps a searcher in use, so that its recovery shows.
	minLimit = 1.0
	// maxLimit is where a bound has no more effect and is dropped.
	maxLimit = 64
)

// Reached reports whether the searcher has as many requests as it should get. An instance's
// part of the slots is always used: fewer requests would make none of them faster.
func (l *ConcurrencyLimit) Reached(outstanding, slots, instances int) bool {
	share := float64(slots) / float64(max(instances, 1))
	return l.value > 0 && float64(outstanding) >= max(l.value, share)
}

// ObserveLatency notes a reply after a latency, for a request whose answer was due within
// the given time. At most that many requests, itself included, were outstanding when
// it was sent.
func (l *ConcurrencyLimit) ObserveLatency(now, latency, due time.Duration, outstanding int) {
	if latency > time.Duration(maxLatencyShare*float64(due)) {
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

// decrease reduces the bound, once for all requests that were outstanding together.
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
