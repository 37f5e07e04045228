package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// configApplyTime is the time within which an acknowledged configuration is in force.
const configApplyTime = 3 * time.Second

// within fails the test with the given message if the condition doesn't hold in time.
func within(t *testing.T, limit time.Duration, failure string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal(failure)
}

// TestConfigAfterStoreRestoreIsInForce guards against a configuration that is never in force, or is replaced by an older one, because the store came back from a copy.
func TestConfigAfterStoreRestoreIsInForce(t *testing.T) {
	for _, writesSince := range []int{0, 40} { // revisions lower or higher than before
		t.Run(fmt.Sprintf("%d writes since", writesSince), func(t *testing.T) {
			d := newDeployment(t)
			a, b := d.startInstance("a"), d.startInstance("b")
			d.startSearchers(&site.Ledger{}, time.Millisecond)
			d.configure(1, "/first/")
			eventually(t, "the first configuration is not in force", func() bool { return a.status("/first/x") == http.StatusOK && b.status("/first/x") == http.StatusOK })
			eventually(t, "the instances don't know each other", func() bool { return len(a.addresses("a")) == 2 && len(b.addresses("b")) == 2 })
			b.storeRefuses.Store(true) // b learns what happens from a
			oldCopy := d.store.Copy()
			for version := 2; version <= 10; version++ {
				d.configure(version, "/second/")
			}
			eventually(t, "the second configuration is not in force", func() bool { return a.status("/second/x") == http.StatusOK && b.status("/second/x") == http.StatusOK })

			d.store.SetFaults(site.StoreFaults{Down: true})
			d.store.Restore(oldCopy)
			if writesSince > 0 {
				d.configure(11, "/third/")
			}
			for i := range writesSince {
				d.store.Put("others", "x", i)
			}
			d.store.SetFaults(site.StoreFaults{})
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				qt.Assert(t, a.status("/first/x"), qt.Equals, http.StatusNotFound)
				qt.Assert(t, b.status("/first/x"), qt.Equals, http.StatusNotFound)
			}
			if writesSince == 0 {
				d.configure(11, "/third/")
			}
			for _, i := range d.instances {
				within(t, configApplyTime, i.settings.Name+" does not apply the configuration", func() bool {
					return i.status("/third/x") == http.StatusOK && i.status("/second/x") == http.StatusNotFound
				})
			}
		})
	}
}
