package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRetryAfter guards against callers that are told to come back when their answer is
// of little use any more, when they have left, or all at the same moment.
func TestRetryAfter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		left := time.Duration(rapid.IntRange(100, 10000).Draw(r, "left ms")) * time.Millisecond
		aim := time.Duration(rapid.IntRange(60, 2000).Draw(r, "aim ms")) * time.Millisecond
		wait := retryAfter(left, aim)
		if wait <= 0 || wait >= left/3 || wait >= aim {
			r.Fatalf("%s of %s left, for an answer within %s", wait, left, aim)
		}
	})
	waits := make(map[time.Duration]bool)
	for range 100 {
		waits[retryAfter(3*time.Second, 500*time.Millisecond)] = true
	}
	qt.Assert(t, len(waits) > 50, qt.IsTrue, qt.Commentf("%d different times of 100", len(waits)))
}
