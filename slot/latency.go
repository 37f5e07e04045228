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
	rangeFloor  = 5 * time.Millisecond
	// Learned values move by 1/adaptShare per window, so that an upstream whose
	// latency changes for good leaves cold start in the end.
	adaptShare = 4
	// slowStreak pieces of work in a row that did not end in time are taken as a
	// change of the upstream. With one piece in twelve slow by chance, five in a
	// row happen once in 250,000.
	slowStreak = 5
	// A requester gives work up before the learned range ends when it hedges.
	// Given up later than typical*givenUpNum/givenUpDen, it counts as slow.
	givenUpNum, givenUpDen = 3, 2
	// slowdownShare is the weight of one piece of work in the slowdown.
	slowdownShare = 0.25
)

// latency learns the service time of one searcher.
type latency struct {
	window  []time.Duration
	typical time.Duration // median, learned over windows
	mean    time.Duration // mean, including stragglers
	slow    int           // slow pieces of work in a row
	// slowdown is the recent latency as a multiple of the typical one, and
	// siblings that of the other searchers of the service.
	slowdown float64
	siblings float64
}

// raise returns d times the slowdown of the siblings. What slows all searchers
// of a service down alike, such as a busy instance, says nothing of one of them.
func (l *latency) raise(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(1, l.siblings))
}

// note takes the time of one piece of work into the slowdown.
func (l *latency) note(d time.Duration) {
	if l.typical > 0 {
		l.slowdown += (float64(d)/float64(l.typical) - l.slowdown) * slowdownShare
	}
}

// streak counts one piece of work as slow or not, and reports whether so many
// in a row were slow that the upstream must have changed.
func (l *latency) streak(slow bool) (left bool) {
	if !slow {
		l.slow = 0
		return false
	}
	l.slow++
	if l.slow < slowStreak {
		return false
	}
	l.slow = 0
	return true
}

// givenUp learns from work that ran for d when its requester gave it up, and
// reports whether latency has left the learned range. Without it, hedging would
// hide an upstream that turned cold: all slow work is given up there.
func (l *latency) givenUp(d time.Duration) (left bool) {
	if l.typical == 0 {
		return false
	}
	late := d >= l.raise(l.typical*givenUpNum/givenUpDen)
	l.note(d)
	return late && l.streak(true)
}

// within reports whether d is in the learned range; before anything is
// learned, whether it is at most declared.
func (l *latency) within(d, declared time.Duration) bool {
	if l.typical == 0 {
		return d <= declared
	}
	return d <= l.bound()
}

func (l *latency) bound() time.Duration {
	return max(rangeFactor*l.typical, l.typical+rangeFloor)
}

// add learns from one success and reports whether latency has left the learned
// range: by the median of the window that it completes, or by a row of slow
// ones.
func (l *latency) add(d time.Duration) (left bool) {
	if l.mean == 0 {
		l.mean = d
	}
	left = l.typical > 0 && l.streak(d > l.raise(l.bound()))
	l.note(d)
	l.mean += (d - l.mean) / latencyWindow
	l.window = append(l.window, d)
	if len(l.window) < latencyWindow {
		return left
	}
	slices.Sort(l.window)
	median := l.window[latencyWindow/2]
	l.window = l.window[:0]
	if l.typical == 0 {
		l.typical, l.slowdown = median, 1
		return false
	}
	left = left || median > l.bound()
	l.typical += (median - l.typical) / adaptShare
	return left
}
