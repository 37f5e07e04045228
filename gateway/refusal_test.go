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

// TestMalformedHeader guards against a metric for each text that a caller sends, and
// against a caller that is not told what is wrong.
func TestMalformedHeader(t *testing.T) {
	registry := prometheus.NewRegistry()
	log := slog.New(slog.DiscardHandler)
	g := New(Config{Clock: clock.System{}, Log: log, Registry: registry})
	g.SetConfig(routing.NewConfig(1, nil, nil, routing.Limits{}))
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
	t.Fatal("no metric of refusals")
}

// TestRetryAfter guards against callers that are told to come back when their answer is
// of little use any more, when they have left, or all at the same moment.
func TestRetryAfter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		left := time.Duration(rapid.IntRange(100, 10000).Draw(r, "left ms")) * time.Millisecond
		budget := time.Duration(rapid.IntRange(60, 2000).Draw(r, "aim ms")) * time.Millisecond
		wait := retryAfter(left, budget)
		if wait <= 0 || wait >= left/3 || wait >= budget {
			r.Fatalf("%s of %s left, for an answer within %s", wait, left, budget)
		}
	})
	waits := make(map[time.Duration]bool)
	for range 100 {
		waits[retryAfter(3*time.Second, 500*time.Millisecond)] = true
	}
	qt.Assert(t, len(waits) > 50, qt.IsTrue, qt.Commentf("%d different times of 100", len(waits)))
}
