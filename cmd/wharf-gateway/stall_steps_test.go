package main

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestPausedProcessSendsNothingForGoneCallers guards against requests that waited for a searcher, or
// for a reply that calls for a retry, when the process stood still, and that are sent when it goes on
// although their callers have left meanwhile.
func TestPausedProcessSendsNothingForGoneCallers(t *testing.T) {
	for name, c := range map[string]struct {
		open int
		// failing says that all replies are failures.
		failing bool
	}{"queued": {open: 120}, "retried": {open: 30, failing: true}} {
		for _, form := range requestForms {
			t.Run(name+" "+form[1], func(t *testing.T) {
				t.Parallel()
				ledger := &site.Ledger{}
				p, searchers := processSiteOf(t, ledger, 20*time.Millisecond)
				time.Sleep(startupPeriod + 2*periodicInterval) // it has its part of the connections
				conns := connectAll(t, p, c.open)
				before := ledger.Arrivals()
				if c.failing {
					for _, s := range searchers {
						s.SetFaults(site.SearcherFaults{Fail: 1})
					}
				}
				path := fmt.Sprintf("%s?%s=%d", form[1], site.WorkQuery, (pauseLength / 2).Milliseconds())
				for i, conn := range conns {
					sendTimed(t, conn, form[0], path, fmt.Sprint("open", i), requestDeadline)
				}
				eventually(t, "the requests do not run", func() bool { return ledger.Arrivals() >= before+c.open/2 })
				resumed := p.pause(func() {
					for _, conn := range conns {
						qt.Assert(t, conn.Close(), qt.IsNil)
					}
				})
				time.Sleep(pauseLength)
				for _, run := range ledger.Runs() {
					if run.Reached.After(resumed) {
						t.Errorf("%s reached %s %s after the pause, its caller had left", run.RequestID, run.Searcher, run.Reached.Sub(resumed))
					}
				}
			})
		}
	}
}
