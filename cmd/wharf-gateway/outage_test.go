package main

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestSearchersAreKeptInSecondOutage guards against the loss of all searchers whose entries
// expired in an outage of the store, when it is down again before they could write them.
func TestSearchersAreKeptInSecondOutage(t *testing.T) {
	d := newDeployment(t)
	d.startInstance("a")
	d.startInstance("b")
	searchers := d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/r/")
	d.awaitServing("/r/x")
	serve := func(when string, length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, i := range d.instances {
				qt.Assert(t, i.status("/r/x"), qt.Equals, http.StatusOK, qt.Commentf("%s, %s", i.settings.Name, when))
			}
		}
	}
	d.store.SetFaults(site.StoreFaults{Down: true})
	serve("in the first outage", 2*time.Second)
	for _, s := range searchers {
		d.store.Remove("servers", s.ID)
	}
	d.store.SetFaults(site.StoreFaults{})
	serve("between the outages", time.Second)
	d.store.SetFaults(site.StoreFaults{Down: true})
	serve("in the second outage", 5*time.Second)
	d.store.SetFaults(site.StoreFaults{})
	for _, s := range searchers {
		d.store.Put("servers", s.ID, s.Entry("ready"))
	}
	serve("after the outages", 4*time.Second)
}
