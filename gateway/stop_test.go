package gateway

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// beginStop begins a planned stop in which requests must be answered within a time from now.
func (h *harness) beginStop(left time.Duration) {
	h.gateway.BeginStop(h.gateway.config.Clock.Boottime() + left)
}

// TestStopRefusesWhatItCannotFinish guards against a request that is passed on although the
// instance may end before the answer is there. A request that may be repeated needs its target
// latency, any other one all the time up to its deadline.
func TestStopRefusesWhatItCannotFinish(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		left       time.Duration
		deadline   time.Duration
		status     int
	}{
		{"repeatable, target latency fits", true, 20 * time.Second, 0, http.StatusOK},
		{"repeatable, target latency does not fit", true, 5 * time.Second, 0, http.StatusServiceUnavailable},
		{"not repeatable, timeout of the route fits", false, time.Minute, 0, http.StatusOK},
		{"not repeatable, timeout of the route does not fit", false, 20 * time.Second, 0, http.StatusServiceUnavailable},
		{"not repeatable, deadline of the caller fits", false, 20 * time.Second, 15 * time.Second, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, "one")
			h.configure(1, routing.Route{Targets: oneTarget, Idempotent: c.idempotent, TargetLatency: 10 * time.Second, Timeout: 30 * time.Second})
			h.beginStop(c.left)
			r := h.do(t, "POST", "/r/x", "book", c.deadline)
			qt.Assert(t, r.status, qt.Equals, c.status)
			if c.status == http.StatusServiceUnavailable {
				qt.Assert(t, h.ledger.Arrivals(), qt.Equals, 0)
				qt.Assert(t, r.header.Get("Retry-After"), qt.Not(qt.Equals), "")
				return
			}
			qt.Assert(t, h.ledger.Runs()[0].Left <= c.left, qt.IsTrue, qt.Commentf("the searcher works on after the stop"))
		})
	}
}

// TestStopAnswersOpenRequests guards against a planned stop that cuts requests whose searchers
// take longer than the stop. Each gets an answer that says what is known of it.
func TestStopAnswersOpenRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		route  routing.Route
		status int
	}{
		{"one searcher", routing.Route{Targets: oneTarget}, http.StatusGatewayTimeout},
		{"too few shards", routing.Route{Shards: []string{"one", "two"}, Idempotent: true, MinShardShare: 1}, http.StatusGatewayTimeout},
		{"enough shards", routing.Route{Shards: []string{"one", "two"}, Idempotent: true, MinShardShare: 0.5, TopK: 2}, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, "one", "two")
			c.route.TargetLatency, c.route.Timeout = time.Minute, time.Minute
			h.configure(1, c.route)
			h.setFaults("one", site.SearcherFaults{Work: time.Minute})
			answers := make(chan result, 1)
			go func() { answers <- h.do(t, "GET", "/r/x", "", 0) }()
			eventually(t, func() bool { return h.ledger.Arrivals() >= max(len(c.route.Shards), 1) })
			h.beginStop(200 * time.Millisecond)
			r := <-answers
			qt.Assert(t, r.status, qt.Equals, c.status)
			if c.status == http.StatusOK {
				qt.Assert(t, r.header.Get("Missing-Parts"), qt.Equals, "1")
			}
		})
	}
}

// TestRefuseNewLeavesOpenRequests guards against a request that is answered without its result,
// because it came just before the instance stopped taking requests.
func TestRefuseNewLeavesOpenRequests(t *testing.T) {
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget, TargetLatency: time.Minute, Timeout: time.Minute})
	h.setFaults("one", site.SearcherFaults{Work: 300 * time.Millisecond})
	answers := make(chan result, 1)
	go func() { answers <- h.do(t, "POST", "/r/x", "book", 0) }()
	eventually(t, func() bool { return h.ledger.Arrivals() == 1 })
	h.gateway.RefuseNew()
	qt.Assert(t, (<-answers).status, qt.Equals, http.StatusOK)
	qt.Assert(t, h.do(t, "POST", "/r/x", "book", 0).status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, h.ledger.Arrivals(), qt.Equals, 1)
}
