package balance

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHasSpareCapacity guards against second attempts that overload a busy service, and
// against no second attempts at all because one searcher pauses for a moment.
func TestHasSpareCapacity(t *testing.T) {
	const instances, slots = 6, 9
	seen := func(running ...float64) MovingAverage {
		var a MovingAverage
		for range 200 {
			for _, r := range running {
				a.Add(r)
			}
		}
		return a
	}
	calm := seen(0, 1, 0, 1, 0)
	qt.Assert(t, HasSpareCapacity(calm, instances, slots), qt.IsTrue)
	paused := calm
	// At 30 requests a second, five arrive during a pause of 150 ms, and each finds two
	// others that still wait.
	for range 5 {
		paused.Add(2)
	}
	qt.Assert(t, HasSpareCapacity(paused, instances, slots), qt.IsTrue)
	qt.Assert(t, HasSpareCapacity(seen(1, 2, 1, 2), instances, slots), qt.IsFalse)
	qt.Assert(t, HasSpareCapacity(seen(4), instances, slots), qt.IsFalse)
	qt.Assert(t, HasSpareCapacity(MovingAverage{}, instances, 0), qt.IsTrue)
}
