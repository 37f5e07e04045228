package main

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// settleTime is how long no request reaches a searcher once all that can have been sent.
const settleTime = 200 * time.Millisecond

// TestPausedProcessSendsNothingForGoneCallers guards against requests that waited for a searcher, or
// for a reply that calls for a retry, when the process stood still, and that are sent when it goes on
// although their callers have left meanwhile.
func TestPausedProcessSendsNothingForGoneCallers(t *testing.T) {
	for name, c := range map[string]struct {
		open int
		// failures is the share of replies that are failures.
		failures float64
	}{"queued": {open: 120}, "retried": {open: 30, failures: 1}} {
		for _, form := range requestForms {
			t.Run(name+" "+form[1], func(t *testing.T) {
				t.Parallel()
				ledger := &site.Ledger{}
				p, searchers := processSiteOf(t, ledger, 20*time.Millisecond)
				time.Sleep(startupPeriod + 2*periodicInterval) // it has its part of the connections
				conns := connectAll(t, p, c.open)
				before, finish := ledger.Arrivals(), make(chan struct{})
				for _, s := range searchers {
					s.SetFaults(site.SearcherFaults{Until: finish, Fail: c.failures})
				}
				for i, conn := range conns {
					sendTimed(t, conn, form[0], form[1], fmt.Sprint("open", i), requestDeadline)
				}
				eventually(t, "the requests do not run", func() bool {
					n := ledger.Arrivals()
					time.Sleep(settleTime)
					return n >= before+c.open*3/4 && ledger.Arrivals() == n
				})
				resumed := p.pause(func() {
					for _, conn := range conns {
						qt.Assert(t, conn.Close(), qt.IsNil)
					}
					close(finish)
				})
				time.Sleep(pauseLength)
				for _, run := range ledger.Runs() {
					if run.Reached.After(resumed) {
						t.Errorf("%s reached %s %s after the pause, its caller had left; it ran %d times in all",
							run.RequestID, run.Searcher, run.Reached.Sub(resumed), ledger.Count(run.RequestID))
					}
				}
			})
		}
	}
}
