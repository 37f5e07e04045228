package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/routing"
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

// TestRequestReadLateWaitsForItsParts guards against a partial answer only because the request lay
// unread for longer than its target latency.
func TestRequestReadLateWaitsForItsParts(t *testing.T) {
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Shards: []string{"one"}, Idempotent: true, MinShardShare: 0.5, TopK: 2, TargetLatency: 100 * time.Millisecond})
	for _, unread := range []time.Duration{0, 50 * time.Millisecond, time.Second} {
		c := h.newCall(t, "late")
		c.arrived -= unread
		before := c.now()
		q := c.newShardedQuery()
		qt.Check(t, q.partialAt >= before+c.latencyBudget()/2, qt.IsTrue, qt.Commentf("%s", unread))
		qt.Check(t, q.partialAt <= max(c.arrived+c.latencyBudget(), c.now()+c.latencyBudget()/2), qt.IsTrue, qt.Commentf("%s", unread))
	}
}
