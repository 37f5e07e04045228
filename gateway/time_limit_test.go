package gateway

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/routing"
)

// TestRequestWithoutTimeLimitIsServed guards against a request that is ended at once because
// neither its caller nor its route sets a time limit.
func TestRequestWithoutTimeLimitIsServed(t *testing.T) {
	for name, route := range map[string]routing.Route{
		"single": {Targets: oneTarget}, "sharded": {Shards: []string{"one"}, Idempotent: true, MinShardShare: 1, TopK: 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "one")
			route.Timeout = -1
			h.configure(1, route)
			r := h.do(t, http.MethodGet, "/r/x", "", 0)
			qt.Assert(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		})
	}
}
