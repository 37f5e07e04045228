package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/arrival"
)

// TestDeadlineOfUncertainArrival guards against a deadline later than a request allows, and against a
// sound request that is refused because its age was only guessed.
func TestDeadlineOfUncertainArrival(t *testing.T) {
	const limit = 300 * time.Millisecond
	for _, c := range []struct{ earliest, latest, want time.Duration }{
		{time.Second, time.Second, time.Second + limit},
		{900 * time.Millisecond, time.Second, 900*time.Millisecond + limit},
		{0, time.Second, time.Second + limit/2},
	} {
		qt.Check(t, deadlineOf(arrival.Span{Earliest: c.earliest, Latest: c.latest}, limit), qt.Equals, c.want)
	}
}
