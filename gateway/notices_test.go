package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// runsAt returns how many requests each searcher of a service has run.
func (h *harness) runsAt(service string) map[string]int {
	runs := make(map[string]int)
	for _, r := range h.ledger.Runs() {
		runs[r.Searcher]++
	}
	return runs
}

// TestLeavingSearcherGetsNoMoreRequests guards against requests to a searcher whose reply said that
// it leaves, also when an older entry of it is read again from the store.
func TestLeavingSearcherGetsNoMoreRequests(t *testing.T) {
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget, Idempotent: true})
	leaving := h.searchers["one"][0]
	leaving.SetFaults(site.SearcherFaults{Leaving: true})
	for h.runsAt("one")[leaving.ID] == 0 {
		qt.Assert(t, h.do(t, http.MethodGet, "/r/x", "", 0).status, qt.Equals, http.StatusOK)
	}
	before := h.runsAt("one")[leaving.ID]
	for n := range 60 {
		switch n {
		case 20:
			h.putSearcher(leaving, false)
		case 40:
			h.dispatcher.RemoveSearcher(leaving.ID)
			h.putSearcher(leaving, false)
		}
		qt.Assert(t, h.do(t, http.MethodGet, "/r/x", "", 0).status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, h.runsAt("one")[leaving.ID], qt.Equals, before)
}

// TestRequestsAreRefusedAtOnceWhenAllSearchersLeave guards against requests that wait for a service
// whose searchers all leave.
func TestRequestsAreRefusedAtOnceWhenAllSearchersLeave(t *testing.T) {
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget, Idempotent: true})
	h.setFaults("one", site.SearcherFaults{Leaving: true})
	answered := 0
	for ; h.do(t, http.MethodGet, "/r/x", "", 0).status == http.StatusOK; answered++ {
		qt.Assert(t, answered < 3, qt.IsTrue)
	}
	qt.Assert(t, answered, qt.Equals, 3)
	r := h.do(t, http.MethodGet, "/r/x", "", 0)
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, r.body, qt.Contains, "searchers are leaving")
	qt.Assert(t, h.ledger.Count(r.id), qt.Equals, 0)
}

// TestPausedSearcherGetsNoRequests guards against requests to a searcher that has refused one and
// asked for a pause.
func TestPausedSearcherGetsNoRequests(t *testing.T) {
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget, Idempotent: true})
	paused := h.searchers["one"][0]
	paused.SetFaults(site.SearcherFaults{Shed: 1, Pause: "30.5"})
	for range 60 {
		qt.Assert(t, h.do(t, http.MethodGet, "/r/x", "", 0).status, qt.Equals, http.StatusOK)
	}
	// Each request is run by another searcher. At most one reached this one too.
	qt.Assert(t, h.ledger.Arrivals() <= 61, qt.IsTrue, qt.Commentf("%d requests arrived", h.ledger.Arrivals()))
}

// TestRequestsAreRefusedWithEndOfPause guards against requests that wait longer than their callers do
// for searchers that are all paused, and against callers that come back before the pause has ended.
func TestRequestsAreRefusedWithEndOfPause(t *testing.T) {
	for name, shards := range map[string][]string{"one searcher": nil, "shards": {"one"}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "one")
			route := routing.Route{Targets: oneTarget, Idempotent: true}
			if shards != nil {
				route = routing.Route{Shards: shards, MinShardShare: 1, TopK: 1, Idempotent: true}
			}
			h.configure(1, route)
			h.setFaults("one", site.SearcherFaults{Shed: 1, Pause: "20"})
			var r result
			for range 4 {
				r = h.do(t, http.MethodGet, "/r/x", "", 0)
				qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
			}
			qt.Assert(t, h.ledger.Arrivals(), qt.Equals, 3)
			wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, wait > 15 && wait <= 22, qt.IsTrue, qt.Commentf("Retry-After is %g s", wait))
		})
	}
}

// TestRequestsReturnAfterPause guards against a searcher that gets no requests after its pause.
func TestRequestsReturnAfterPause(t *testing.T) {
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget, Idempotent: true})
	h.setFaults("one", site.SearcherFaults{Shed: 1, Pause: "0.3"})
	for range 4 {
		qt.Assert(t, h.do(t, http.MethodGet, "/r/x", "", 0).status, qt.Equals, http.StatusServiceUnavailable)
	}
	h.setFaults("one", site.SearcherFaults{})
	end := time.Now().Add(promptTimeout)
	for h.do(t, http.MethodGet, "/r/x", "", 0).status != http.StatusOK {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}
