package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestStopDoesNotWaitForStore guards against a planned stop that takes longer than the stop grace
// because the store does not answer the removal of the instance's entry.
func TestStopDoesNotWaitForStore(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a")
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/r/")
	eventually(t, "the configuration is not in force", func() bool { return a.status("/r/x") == http.StatusOK })
	d.store.SetFaults(site.StoreFaults{Delay: 2 * time.Second})
	began := time.Now()
	qt.Assert(t, a.stop(), qt.IsNil)
	qt.Assert(t, time.Since(began) < stopGrace, qt.IsTrue, qt.Commentf("the stop took %v", time.Since(began)))
}

// requestDeadline is the deadline of the requests to an instance that stops. It is longer than
// the stop.
const requestDeadline = 3 * time.Second

// stopLoad sends requests to an instance that stops: some on connections that were kept since
// before, some on new ones, of routes that may be repeated and that may not.
type stopLoad struct {
	ledger *site.Ledger
	target *instance

	mu       sync.Mutex
	statuses map[string]int
}

// send sends the n-th request on a connection, or on a new one if it is nil.
func (l *stopLoad) send(c *site.Connection, n int) {
	if c == nil {
		var err error
		if c, err = site.Connect(l.target.settings.CallerAddress); err != nil {
			return // the listener is closed, so the request was not sent
		}
	}
	defer c.Close()
	id := fmt.Sprintf("q%d", n)
	method, path := http.MethodGet, "/search/x"
	switch n % 3 {
	case 1:
		path = "/safe/x"
	case 2:
		method, path = http.MethodPost, "/book/x"
	}
	status, _ := c.Ask(method, path, id, requestDeadline)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[id] = status
}

// check fails the test for each request that was passed on and has no whole answer, and for
// each that was refused and ran. It returns how many requests have each status.
func (l *stopLoad) check(t *testing.T) map[int]int {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[int]int)
	for id, status := range l.statuses {
		counts[status]++
		runs := l.ledger.Count(id)
		if status == 0 && runs > 0 {
			t.Errorf("%s was passed on, and its connection ended without an answer", id)
		}
		if status == http.StatusServiceUnavailable && runs > 0 {
			t.Errorf("%s was refused as not run, and ran", id)
		}
	}
	return counts
}

// TestStopAnswersWhatItTakes guards against a planned stop that passes on requests late in the
// stop and cuts them when the process ends. Callers use their connections until the process is
// gone.
func TestStopAnswersWhatItTakes(t *testing.T) {
	for _, work := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(work.String(), func(t *testing.T) {
			d := newDeployment(t)
			a := d.startInstance("a")
			ledger := &site.Ledger{}
			d.startSearchersOf("one", "one", 200, ledger, work)
			d.store.Put("config", "main", site.Configuration(1, []string{"one"}, []site.Route{
				{Prefix: "/safe/", Service: "one", Idempotent: true, TargetMs: 500},
				{Prefix: "/search/", Shards: []string{"one"}, Idempotent: true, TargetMs: 500},
				{Prefix: "/book/", Service: "one", TargetMs: 500},
			}))
			eventually(t, "the configuration is not in force", func() bool { return a.status("/safe/x") == http.StatusOK })

			const requests = 120
			load := &stopLoad{ledger: ledger, target: a, statuses: make(map[string]int)}
			kept := make([]*site.Connection, requests)
			for n := 0; n < requests; n += 2 {
				var err error
				kept[n], err = site.Connect(a.settings.CallerAddress)
				qt.Assert(t, err, qt.IsNil)
				status, usable := kept[n].Ask(http.MethodGet, "/missing", "warm-up", requestDeadline)
				qt.Assert(t, status, qt.Equals, http.StatusNotFound)
				qt.Assert(t, usable, qt.IsTrue)
			}
			a.signals <- syscall.SIGTERM
			var group sync.WaitGroup
			for n := range requests {
				group.Go(func() { load.send(kept[n], n) })
				time.Sleep(stopGrace / requests)
			}
			group.Wait()
			qt.Assert(t, a.stop(), qt.IsNil)
			counts := load.check(t)
			qt.Assert(t, counts[http.StatusOK] > 0, qt.IsTrue)
		})
	}
}
