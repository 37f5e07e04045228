package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// newCall returns a call for a GET request with an ID.
func (h *harness) newCall(t *testing.T, id string) *call {
	t.Helper()
	r := httptest.NewRequest(http.MethodGet, "/r/x", nil)
	r.Host = "a.example"
	r.Header.Set("Request-Id", id)
	c, refused := h.gateway.newCall(httptest.NewRecorder(), r, arrival.At(h.gateway.config.Clock.Boottime()))
	qt.Assert(t, refused, qt.IsNil)
	c.open = h.gateway.open.add(r, c.arrived)
	return c
}

// TestReplyAtEndOfTimeIsDelivered guards against a request that is answered without its result
// although the reply is there, because the time for the answer ends at the same moment. Which of
// the two is seen first is random, so each case is tried several times.
func TestReplyAtEndOfTimeIsDelivered(t *testing.T) {
	const tries = 30
	ends := map[string]func(*call){
		"planned stop": func(c *call) {
			now := make(chan struct{})
			close(now)
			c.g.stop.answerNow = now
		},
		"deadline": func(c *call) { c.deadline = c.now() },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "one", "two")
			for n := range tries {
				h.gateway.stop.answerNow = make(chan struct{})
				h.configure(int64(2*n+1), routing.Route{Targets: oneTarget})
				c := h.newCall(t, fmt.Sprint("single", n))
				p := &part{service: "one"}
				qt.Assert(t, c.startAttempt(p, dispatch.First), qt.IsTrue)
				eventually(t, func() bool { return len(c.events) == 1 })
				end(c)
				qt.Check(t, c.awaitAnswer(p).status, qt.Equals, http.StatusOK)

				h.gateway.stop.answerNow = make(chan struct{})
				h.configure(int64(2*n+2), routing.Route{Shards: []string{"one", "two"}, Idempotent: true, MinShardShare: 1, TopK: 2})
				q := h.newCall(t, fmt.Sprint("sharded", n)).newShardedQuery()
				for _, p := range q.parts {
					qt.Assert(t, q.startAttempt(p, dispatch.First), qt.IsTrue)
				}
				eventually(t, func() bool { return len(q.events) == 2 })
				end(q.call)
				a := q.awaitAnswer()
				qt.Check(t, a.status, qt.Equals, http.StatusOK)
				qt.Check(t, a.missingParts, qt.Equals, 0)
			}
		})
	}
}

// TestUnsentShardAtDeadlineIsNotRun guards against a query answered as possibly run because the ends of its
// attempts, none of which was sent, come with the deadline.
func TestUnsentShardAtDeadlineIsNotRun(t *testing.T) {
	h := newHarness(t, "one")
	for _, s := range h.searchers["one"] {
		s.Stop() // nothing listens there any more
	}
	h.configure(1, routing.Route{Shards: []string{"one"}, Idempotent: true, MinShardShare: 1, TopK: 2})
	c := h.newCall(t, "unsent")
	q := c.newShardedQuery()
	qt.Assert(t, c.startAttempt(q.parts[0], dispatch.First), qt.IsTrue)
	for len(c.events) == 0 {
		time.Sleep(time.Millisecond)
	}
	c.deadline = c.now()
	answer := q.awaitAnswer()
	qt.Assert(t, answer.refusal.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, answer.refusal.retryAfter > 0, qt.IsTrue)
}
