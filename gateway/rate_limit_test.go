package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestLimitedShardsServeSameRequests guards against shards at their rate limits that each answer parts of different requests, so that hardly any request gets enough parts.
func TestLimitedShardsServeSameRequests(t *testing.T) {
	const (
		shards    = 8
		limit     = 8.0 // of each of a shard's three searchers, so 24 requests a second
		interval  = 10 * time.Millisecond
		warmUp    = 2 * time.Second
		duration  = 4 * time.Second
		wantShare = 0.6 // of what the limits allow
	)
	var names []string
	for i := range shards {
		names = append(names, fmt.Sprintf("shard%d", i))
	}
	h := newHarness(t, names...)
	h.configure(1, routing.Route{Shards: names, MinShardShare: 0.9, TopK: 5, Idempotent: true, TargetLatency: 200 * time.Millisecond})
	for _, name := range names {
		h.setFaults(name, site.SearcherFaults{RateLimit: limit})
	}
	var answers sync.WaitGroup
	var answered atomic.Int64
	started := time.Now()
	for n := 0; time.Since(started) < warmUp+duration; n++ {
		counts := time.Since(started) >= warmUp
		answers.Go(func() {
			if status := h.status(fmt.Sprintf("%x", n+1)); status == http.StatusOK && counts {
				answered.Add(1)
			}
		})
		time.Sleep(interval)
	}
	answers.Wait()
	allowed := 3 * limit * duration.Seconds()
	qt.Assert(t, float64(answered.Load()) >= wantShare*allowed, qt.IsTrue, qt.Commentf("%d requests answered, the limits allow %g", answered.Load(), allowed))
}

// status sends a request with an ID and returns the status of the answer, zero if there is none.
func (h *harness) status(id string) int {
	request, err := http.NewRequest(http.MethodGet, h.server.URL+"/r/x", nil)
	if err != nil {
		return 0
	}
	request.Host = "a.example"
	request.Header.Set("Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
