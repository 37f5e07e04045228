package balance

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHasSpareCapacity guards against second attempts that push a busy service over its
// capacity, and against none at all because one searcher pauses for a moment.
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
	// Of 30 requests a second five come in a pause of 150 ms, and see two of those
	// that wait.
	for range 5 {
		paused.Add(2)
	}
	qt.Assert(t, HasSpareCapacity(paused, instances, slots), qt.IsTrue)
	qt.Assert(t, HasSpareCapacity(seen(1, 2, 1, 2), instances, slots), qt.IsFalse)
	qt.Assert(t, HasSpareCapacity(seen(4), instances, slots), qt.IsFalse)
	qt.Assert(t, HasSpareCapacity(MovingAverage{}, instances, 0), qt.IsTrue)
}
