package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestEndsOfManyHedgesBlockNothing guards against attempts whose ends wait for a request that is
// over, and that hold their connections and the requests queued behind them.
func TestEndsOfManyHedgesBlockNothing(t *testing.T) {
	const searchers = maxEventsPerPart + 8
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget, Idempotent: true, MaxAttempts: 2 * searchers, Timeout: time.Minute, TargetLatency: time.Minute})
	for n := range searchers {
		s, err := site.StartSearcher(fmt.Sprint("more", n), "one", "a", serviceTime, 3, h.ledger)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(s.Stop)
		h.searchers["one"] = append(h.searchers["one"], s)
		h.putSearcher(s, false)
	}
	for range 150 { // they fill the retry budget
		h.do(t, "GET", "/r/x", "", 0)
	}
	h.setFaults("one", site.SearcherFaults{Silent: true})
	c := h.newCall(t, "hedged")
	p := &part{service: "one"}
	qt.Assert(t, c.startAttempt(p, dispatch.First), qt.IsTrue)
	for p.hedgeAt != 0 && len(p.running) < searchers {
		running := len(p.running)
		c.hedge(p)
		qt.Assert(t, len(p.running) > running, qt.IsTrue, qt.Commentf("%v", p.attemptRecords))
	}
	qt.Assert(t, len(p.running) > 1, qt.IsTrue)
	qt.Assert(t, len(p.running) <= cap(c.events), qt.IsTrue, qt.Commentf("%d attempts may end before the request looks again", len(p.running)))
}
