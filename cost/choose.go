package cost

import (
	"math"
	"time"
)

// tolerance is the share by which the cost of a searcher may exceed the lowest and still be
// chosen. Estimates of one instance are off by more than that.
const tolerance = 0.1

// Option is a searcher that could take a request.
type Option struct {
	// Cost is the cost of the choice. It is infinite if the searcher may not be chosen.
	Cost float64
	// Capacity is the work that the searcher does in a unit of time, in any unit.
	Capacity float64
}

// Choose returns the index of one of the options whose cost is nearly the lowest, or -1 if none may
// be chosen. Among those it draws in proportion to their capacity, so that instances that
// know the same do not all choose the same searcher. drawn is a random number from 0 to below 1.
func Choose(options []Option, drawn float64) int {
	lowest := math.Inf(1)
	for i := range options {
		lowest = min(lowest, options[i].Cost)
	}
	if math.IsInf(lowest, 1) {
		return -1
	}
	limit, total := lowest*(1+tolerance), 0.0
	for i := range options {
		if options[i].Cost <= limit {
			total += options[i].Capacity
		}
	}
	chosen, left := -1, drawn*total
	for i := range options {
		if options[i].Cost > limit {
			continue
		}
		chosen = i
		if left -= options[i].Capacity; left < 0 {
			break
		}
	}
	return chosen
}

const (
	// lateFactor is the factor by which the cost of a choice rises if the answer is sure to be late.
	lateFactor = 3
	// spread is the steepness of the distribution of times around the expected one. 4.5 is that of
	// a standard deviation of 0.4 of the logarithm.
	spread = 4.5
)

// Lateness returns the factor for the cost of a choice whose request is expected to take a time, while
// its answer is due within left. It rises with the probability that the answer is late.
func Lateness(expected, left time.Duration) float64 {
	if left <= 0 || expected <= 0 {
		return 1
	}
	return 1 + lateFactor/(1+math.Pow(float64(left)/float64(expected), spread))
}
