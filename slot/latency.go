package slot

import (
	"slices"
	"time"
)

const (
	// latencyWindow is the number of successes over which the median latency is taken.
	// Single stragglers do not move a median of this many values. It is also the divisor
	// of the moving average over all successes.
	latencyWindow = 16
	// rangeFactor and rangeMargin set the upper bound of the learned range: rangeFactor
	// times the typical latency, or the typical latency plus rangeMargin if that is more.
	rangeFactor = 3
	rangeMargin = 5 * time.Millisecond
	// With each window, the typical latency moves towards the median of the window by
	// 1/adaptDivisor of the difference, so that an upstream whose latency changes
	// permanently can still leave cold start.
	adaptDivisor = 4
	// slowStreak is the number of slow pieces of work in a row that show a change of the
	// upstream. If one piece in twelve is slow by chance, five in a row happen once in
	// 250,000.
	slowStreak = 5
	// Abandoned work counts as slow if it ran for at least
	// typical*slowAbandonedNum/slowAbandonedDen. The factor is below rangeFactor because
	// a requester that hedges abandons work before the end of the learned range.
	slowAbandonedNum, slowAbandonedDen = 3, 2
	// slowdownWeight is the weight of one piece of work in the moving average of the
	// slowdown.
	slowdownWeight = 0.25
)

// latency learns the range of the latencies of one searcher, and detects when they leave
// that range.
type latency struct {
	window    []time.Duration
	typical   time.Duration // moving average of the window medians; zero at first
	mean      time.Duration // moving average over all successes, including stragglers
	slowInRow int           // number of slow pieces of work in a row
	// slowdown is the recent latency as a multiple of the typical one, and
	// siblingSlowdown is the slowdown of the other searchers of the service.
	slowdown        float64
	siblingSlowdown float64
}

// scaleBySiblings returns d times the slowdown of the siblings, and at least d. A cause
// that slows all searchers of a service, such as a busy instance, says nothing about
// this searcher.
func (l *latency) scaleBySiblings(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(1, l.siblingSlowdown))
}

// updateSlowdown adds the time of one piece of work to the slowdown. It does nothing
// until the typical latency is known.
func (l *latency) updateSlowdown(d time.Duration) {
	if l.typical > 0 {
		l.slowdown += (float64(d)/float64(l.typical) - l.slowdown) * slowdownWeight
	}
}

// countSlow counts one piece of work as slow or not, and reports whether slowStreak in a
// row were slow, which means that the upstream has changed. The count restarts then.
func (l *latency) countSlow(slow bool) (leftRange bool) {
	if !slow {
		l.slowInRow = 0
		return false
	}
	l.slowInRow++
	if l.slowInRow < slowStreak {
		return false
	}
	l.slowInRow = 0
	return true
}

// addAbandoned adds work that had run for d when its requester abandoned it, and reports
// whether latency has left the learned range. If abandoned work did not count, hedging would
// hide an upstream that turned cold, because all of its slow work is abandoned. Abandoned
// work that is not slow does not change the number of slow pieces of work in a row.
func (l *latency) addAbandoned(d time.Duration) (leftRange bool) {
	if l.typical == 0 {
		return false
	}
	isSlow := d >= l.scaleBySiblings(l.typical*slowAbandonedNum/slowAbandonedDen)
	l.updateSlowdown(d)
	return isSlow && l.countSlow(true)
}

// withinRange reports whether d is in the learned range. Until a range is learned, it
// reports whether d is at most initialBound.
func (l *latency) withinRange(d, initialBound time.Duration) bool {
	if l.typical == 0 {
		return d <= initialBound
	}
	return d <= l.upperBound()
}

// upperBound returns the end of the learned range.
func (l *latency) upperBound() time.Duration {
	return max(rangeFactor*l.typical, l.typical+rangeMargin)
}

// addSuccess adds the latency of one success and reports whether latency has left the
// learned range. That is so if the success completes a window whose median is above the
// range, or if it is the last of slowStreak slow pieces of work in a row.
func (l *latency) addSuccess(d time.Duration) (leftRange bool) {
	if l.mean == 0 {
		l.mean = d
	}
	leftRange = l.typical > 0 && l.countSlow(d > l.scaleBySiblings(l.upperBound()))
	l.updateSlowdown(d)
	l.mean += (d - l.mean) / latencyWindow
	l.window = append(l.window, d)
	if len(l.window) < latencyWindow {
		return leftRange
	}
	slices.Sort(l.window)
	median := l.window[latencyWindow/2]
	l.window = l.window[:0]
	if l.typical == 0 {
		l.typical, l.slowdown = median, 1
		return false
	}
	leftRange = leftRange || median > l.upperBound()
	l.typical += (median - l.typical) / adaptDivisor
	return leftRange
}
