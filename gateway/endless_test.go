package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// TestEndlessReplyOfRunOnce guards against a request that may run once and is sent to another
// searcher because the first one replied without end, and against one that may be repeated and is not.
func TestEndlessReplyOfRunOnce(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		requests   int64
	}{{false, 1}, {true, 2}} {
		h := newHarness(t, "one") // its searchers are not used
		h.searchers["raw"] = nil
		var requests atomic.Int64
		endless := func(string) string {
			requests.Add(1)
			return "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n\r\n" + strings.Repeat("x", 9<<20)
		}
		for _, id := range []string{"r1", "r2"} {
			r := startReplier(t)
			r.reply.Store(&endless)
			h.dispatcher.PutSearcher(fleet.Searcher{ID: id, Service: "raw", Address: r.listener.Addr().String(), FailureDomain: "a", Slots: 3})
		}
		h.configure(1, routing.Route{Targets: []routing.WeightedService{{Service: "raw", Weight: 1}}, Idempotent: c.idempotent, MaxAttempts: 2})
		r := h.do(t, http.MethodGet, "/r/x", "", 0)
		qt.Check(t, r.status, qt.Equals, http.StatusBadGateway)
		qt.Check(t, requests.Load(), qt.Equals, c.requests)
	}
}
