package queue

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRing guards against a ring that holds more items than its capacity, changes their
// order, accepts items after Close, or loses the items that it held at Close.
func TestRing(t *testing.T) {
	r := NewRing[int](2)
	for round := range 3 {
		qt.Assert(t, r.Push(round), qt.IsTrue)
		qt.Assert(t, r.Push(round+10), qt.IsTrue)
		qt.Assert(t, r.Push(round+20), qt.IsFalse)
		<-r.Ready()
		for _, want := range []int{round, round + 10} {
			got, ok := r.Pop()
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, got, qt.Equals, want)
		}
	}
	qt.Assert(t, r.Push(1), qt.IsTrue)
	r.Close()
	qt.Assert(t, r.Push(2), qt.IsFalse)
	got, ok := r.Pop()
	qt.Assert(t, ok && got == 1, qt.IsTrue)
}
