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
)

// latency learns the service time of one searcher.
type latency struct {
	window  []time.Duration
	typical time.Duration // median, learned over windows
	mean    time.Duration // mean, including stragglers
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

// add learns from one success and reports whether the median of the window it
// completes is above the learned range.
func (l *latency) add(d time.Duration) (left bool) {
	if l.mean == 0 {
		l.mean = d
	}
	l.mean += (d - l.mean) / latencyWindow
	l.window = append(l.window, d)
	if len(l.window) < latencyWindow {
		return false
	}
	slices.Sort(l.window)
	median := l.window[latencyWindow/2]
	l.window = l.window[:0]
	if l.typical == 0 {
		l.typical = median
		return false
	}
	left = median > l.bound()
	l.typical += (median - l.typical) / adaptShare
	return left
}
