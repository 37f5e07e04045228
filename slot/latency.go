package slot

import (
	"slices"
	"time"
)

const (
	// latencyWindow is the number of successes over which latency is judged.
	// Single stragglers don't move the median of so many.
	latencyWindow = 16
	// rangeFactor and rangeFloor bound the learned range: medians up to
	// rangeFactor times the learned one, or rangeFloor above it, are within it.
	rangeFactor = 3
	rangeMargin = 5 * time.Millisecond
	// Learned values move by 1/adaptDivisor per window, so that an upstream whose
	// latency changes for good leaves cold start in the end.
	adaptDivisor = 4
	// slowStreak pieces of work in a row that did not end in time are taken as a
	// change of the upstream. With one piece in twelve slow by chance, five in a
	// row happen once in 250,000.
	slowStreak = 5
	// A requester gives work up before the learned range ends when it hedges.
	// Given up later than typical*slowAbandonedNum/slowAbandonedDen, it counts as slow.
	slowAbandonedNum, slowAbandonedDen = 3, 2
	// slowdownWeight is the weight of one piece of work in the slowdown.
	slowdownWeight = 0.25
)

// latency learns the service time of one searcher.
type latency struct {
	window    []time.Duration
	typical   time.Duration // median, learned over windows
	mean      time.Duration // mean, including stragglers
	slowInRow int           // slow pieces of work in a row
	// slowdown is the recent latency as a multiple of the typical one, and
	// siblings that of the other searchers of the service.
	slowdown        float64
	siblingSlowdown float64
}

// scaleBySiblings returns d times the slowdown of the siblings. What slows all searchers
// of a service down alike, such as a busy instance, says nothing of one of them.
func (l *latency) scaleBySiblings(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(1, l.siblingSlowdown))
}

// updateSlowdown takes the time of one piece of work into the slowdown.
func (l *latency) updateSlowdown(d time.Duration) {
	if l.typical > 0 {
		l.slowdown += (float64(d)/float64(l.typical) - l.slowdown) * slowdownWeight
	}
}

// countSlow counts one piece of work as slow or not, and reports whether so many
// in a row were slow that the upstream must have changed.
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

// addAbandoned learns from work that ran for d when its requester gave it up, and
// reports whether latency has left the learned range. Without it, hedging would
// hide an upstream that turned cold: all slow work is given up there.
func (l *latency) addAbandoned(d time.Duration) (leftRange bool) {
	if l.typical == 0 {
		return false
	}
	late := d >= l.scaleBySiblings(l.typical*slowAbandonedNum/slowAbandonedDen)
	l.updateSlowdown(d)
	return late && l.countSlow(true)
}

// withinRange reports whether d is in the learned range; before anything is
// learned, whether it is at most declared.
func (l *latency) withinRange(d, declared time.Duration) bool {
	if l.typical == 0 {
		return d <= declared
	}
	return d <= l.upperBound()
}

func (l *latency) upperBound() time.Duration {
	return max(rangeFactor*l.typical, l.typical+rangeMargin)
}

// addSuccess learns from one success and reports whether latency has left the learned
// range: by the median of the window that it completes, or by a row of slow
// ones.
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
