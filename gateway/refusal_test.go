package gateway

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// TestMalformedHeader guards against a new metric label value for each malformed header that
// a caller sends, and against an answer that doesn't quote the malformed header.
func TestMalformedHeader(t *testing.T) {
	registry := prometheus.NewRegistry()
	log := slog.New(slog.DiscardHandler)
	g := New(Config{Clock: clock.System{}, Log: log, Registry: registry})
	g.SetRoutingConfig(routing.NewConfig(1, nil, nil, routing.Limits{}))
	for i := range 20 {
		request := httptest.NewRequest(http.MethodGet, "/x", nil)
		request.Header.Set("Deadline-Ms", fmt.Sprintf("odd%d", i))
		answer := httptest.NewRecorder()
		g.ServeHTTP(answer, request)
		qt.Assert(t, answer.Code, qt.Equals, http.StatusBadRequest)
		qt.Assert(t, answer.Body.String(), qt.Contains, fmt.Sprintf("odd%d", i))
	}
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	for _, family := range families {
		if family.GetName() == "wharf_refusals_total" {
			qt.Assert(t, family.GetMetric(), qt.HasLen, 1)
			return
		}
	}
	t.Fatal("metric wharf_refusals_total is missing")
}

// TestRetryAfter guards against callers that are told to repeat a request when its answer
// would miss the latency budget, when its deadline has passed, or all at the same time.
func TestRetryAfter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		left := time.Duration(rapid.IntRange(100, 10000).Draw(r, "left ms")) * time.Millisecond
		budget := time.Duration(rapid.IntRange(60, 2000).Draw(r, "budget ms")) * time.Millisecond
		wait := retryAfter(left, budget)
		if wait <= 0 || wait >= left/3 || wait >= budget {
			r.Fatalf("retry after %s, with %s left and a latency budget of %s", wait, left, budget)
		}
	})
	waits := make(map[time.Duration]bool)
	for range 100 {
		waits[retryAfter(3*time.Second, 500*time.Millisecond)] = true
	}
	qt.Assert(t, len(waits) > 50, qt.IsTrue, qt.Commentf("%d different times of 100", len(waits)))
}
