package eligibility

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestLeavingIsNotUndone guards against requests to a searcher that said that it leaves.
func TestLeavingIsNotUndone(t *testing.T) {
	var n Notices
	qt.Assert(t, n.Decide(0, 0).Allowed(), qt.IsTrue)
	qt.Assert(t, n.ObserveLeaving(time.Second), qt.IsTrue)
	qt.Assert(t, n.ObserveLeaving(2*time.Second), qt.IsFalse)
	n.ObserveAnswer(3 * time.Second)
	qt.Assert(t, n.Decide(time.Hour, 0), qt.Equals, Decision{Reason: Leaving, Since: time.Second})
}

// TestPauseIsNotShortened guards against a pause that a later, shorter one cuts short.
func TestPauseIsNotShortened(t *testing.T) {
	var n Notices
	qt.Assert(t, n.ObservePause(0, 10*time.Second), qt.IsTrue)
	qt.Assert(t, n.ObservePause(time.Second, time.Second), qt.IsFalse)
	qt.Assert(t, n.Decide(9*time.Second, 0), qt.Equals, Decision{Reason: Paused, Until: 10 * time.Second})
	qt.Assert(t, n.Decide(10*time.Second, 0).Allowed(), qt.IsTrue)
}

// TestRequestsReturnGraduallyAfterPause guards against all waiting requests being sent at the end
// of a pause.
func TestRequestsReturnGraduallyAfterPause(t *testing.T) {
	var n Notices
	n.ObservePause(0, time.Second)
	qt.Assert(t, n.Decide(time.Second, 1).Reason, qt.Equals, Resuming)
	n.ObserveAnswer(500 * time.Millisecond) // sent before the end of the pause
	qt.Assert(t, n.Decide(time.Second, 1).Reason, qt.Equals, Resuming)
	n.ObserveAnswer(time.Second)
	qt.Assert(t, n.Decide(time.Second, 1).Allowed(), qt.IsTrue)
	qt.Assert(t, n.Decide(time.Second, 2).Reason, qt.Equals, Resuming)
	for range 6 {
		n.ObserveAnswer(2 * time.Second)
	}
	qt.Assert(t, n.Decide(time.Second, 1000).Allowed(), qt.IsTrue)
}

// TestNoticesModel guards against requests to a searcher that leaves or is paused, and against one
// that is neither and gets none, over generated series of replies.
func TestNoticesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var n Notices
		var now, pausedUntil time.Duration
		leaving := false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "step"))
			switch rapid.IntRange(0, 8).Draw(t, "reply") {
			case 0:
				leaving = true
				n.ObserveLeaving(now)
			case 1, 2:
				length := time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "pause"))
				pausedUntil = max(pausedUntil, now+length)
				n.ObservePause(now, length)
			case 3, 4, 5:
				n.ObserveAnswer(now - time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "latency")))
			}
			if want := !leaving && now >= pausedUntil; n.Decide(now, 0).Allowed() != want {
				t.Fatalf("at %s: allowed is %t, leaving %t, paused until %s", now, !want, leaving, pausedUntil)
			}
			if d := n.Decide(now, 0); d.Reason == Paused && (d.Until != pausedUntil || d.Since > now) {
				t.Fatalf("at %s: %+v, paused until %s", now, d, pausedUntil)
			}
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	var n Notices
	n.ObservePause(0, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		_ = n.Decide(2*time.Second, 3)
	}
}
