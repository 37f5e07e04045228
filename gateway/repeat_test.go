package gateway

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestRepeatedRefusalIsNotTakenForNextReply guards against a request that runs twice, or is
// refused although it runs, because a searcher repeats its refusal late. The repeat comes when
// the same request, or another one, has been sent on the connection.
func TestRepeatedRefusalIsNotTakenForNextReply(t *testing.T) {
	for name, unidentified := range map[string]bool{"identified": false, "unidentified": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "one")
			h.configure(1, routing.Route{Targets: oneTarget})
			h.setFaults("one", site.SearcherFaults{Shed: 0.6, RepeatLate: true, Unidentified: unidentified})
			served := 0
			for range 120 {
				r := h.do(t, "POST", "/r/x", "book", 0)
				runs := h.ledger.Count(r.id)
				qt.Check(t, runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", r.id, runs))
				if r.status == http.StatusServiceUnavailable {
					qt.Check(t, runs, qt.Equals, 0, qt.Commentf("%s was refused as not run", r.id))
				}
				if r.status == http.StatusOK {
					served++
					qt.Check(t, r.header.Get("Server-Seal"), qt.Equals, site.Seal("one", r.id))
				}
			}
			qt.Assert(t, served > 0, qt.IsTrue)
		})
	}
}
