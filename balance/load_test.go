package balance

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHasSpareCapacity guards against second attempts that overload a busy service, and
// against no second attempts at all because one searcher pauses for a moment.
func TestHasSpareCapacity(t *testing.T) {
	const instances, slots = 6, 9
	averageOf := func(running ...float64) MovingAverage {
		var a MovingAverage
		for range 200 {
			for _, r := range running {
				a.Add(r)
			}
		}
		return a
	}
	lightLoad := averageOf(0, 1, 0, 1, 0)
	qt.Assert(t, HasSpareCapacity(lightLoad, instances, slots), qt.IsTrue)
	afterPause := lightLoad
	// At 30 requests a second, five arrive during a pause of 150 ms. When each of them
	// arrives, two others are still running.
	for range 5 {
		afterPause.Add(2)
	}
	qt.Assert(t, HasSpareCapacity(afterPause, instances, slots), qt.IsTrue)
	qt.Assert(t, HasSpareCapacity(averageOf(1, 2, 1, 2), instances, slots), qt.IsFalse)
	qt.Assert(t, HasSpareCapacity(averageOf(4), instances, slots), qt.IsFalse)
	qt.Assert(t, HasSpareCapacity(MovingAverage{}, instances, 0), qt.IsTrue)
}
