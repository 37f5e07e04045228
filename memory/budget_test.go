package memory

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestGreedyHoldersLeaveRoomForSmallOnes guards against large holders that take the whole budget.
func TestGreedyHoldersLeaveRoomForSmallOnes(t *testing.T) {
	const limit, holders, step = 1 << 20, 31, 64
	b := NewBudget(limit)
	held := make([]int64, holders)
	for grown := true; grown; {
		grown = false
		for i := range held {
			if b.Grow(held[i], step) {
				held[i] += step
				grown = true
			}
		}
	}
	qt.Assert(t, b.Used() <= limit, qt.IsTrue)
	qt.Assert(t, b.Grow(0, limit/(holders+1)/2), qt.IsTrue, qt.Commentf("%d of %d bytes are in use", b.Used(), limit))
}

// TestRefusedGrowthTakesNothing guards against a budget that shrinks with each refusal.
func TestRefusedGrowthTakesNothing(t *testing.T) {
	b := NewBudget(100)
	qt.Assert(t, b.Grow(0, 51), qt.IsFalse)
	qt.Assert(t, b.Grow(0, 50), qt.IsTrue)
	qt.Assert(t, b.Grow(50, 1), qt.IsFalse)
	qt.Assert(t, b.Used(), qt.Equals, int64(50))
	b.Release(50)
	qt.Assert(t, b.Used(), qt.Equals, int64(0))
}

// TestGreedyHoldersInTurnLeaveRoomForSmallOnes guards against large holders that come one after the
// other, each of which takes half of what is left.
func TestGreedyHoldersInTurnLeaveRoomForSmallOnes(t *testing.T) {
	const limit, holders = 1 << 24, 1<<smallShift/reserveParts - 2
	b := NewBudget(limit)
	for range holders {
		held := int64(0)
		for step := int64(limit); step > 0; step /= 2 {
			if b.Grow(held, step) {
				held += step
			}
		}
	}
	qt.Assert(t, b.Grow(0, limit>>smallShift), qt.IsTrue, qt.Commentf("%d of %d bytes are in use", b.Used(), limit))
}
