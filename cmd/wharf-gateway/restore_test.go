package main

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
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

// TestInstanceRegistersAgainAfterStoreRestore guards against an instance whose entry is lost with the store's latest changes, so that the others no longer send callers to it.
func TestInstanceRegistersAgainAfterStoreRestore(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a")
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/r/")
	eventually(t, "the configuration is not in force", func() bool { return a.status("/r/x") == http.StatusOK })
	eventually(t, "the first instance is not registered", func() bool { return len(d.store.Names("wharf-instances")) == 1 })
	oldCopy := d.store.Copy()
	b := d.startInstance("a")
	eventually(t, "the instances don't know each other", func() bool { return len(a.addresses("a")) == 2 && len(b.addresses("a")) == 2 })
	d.store.Restore(oldCopy)
	qt.Assert(t, d.store.Names("wharf-instances"), qt.HasLen, 1)
	within(t, 2*registrationDelay, "the instance is not registered again", func() bool {
		qt.Assert(t, a.addresses("a"), qt.HasLen, 2, qt.Commentf("the directory leaves out an instance that serves"))
		return len(d.store.Names("wharf-instances")) == 2
	})
}

// TestEntryIsDeletedAfterStoreRestore guards against the entry of a dead instance that stays in the store because its revision was given out again.
func TestEntryIsDeletedAfterStoreRestore(t *testing.T) {
	store := site.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	client, err := platform.NewStoreClient(strings.TrimPrefix(server.URL, "http://"), prometheus.NewRegistry())
	qt.Assert(t, err, qt.IsNil)
	log := slog.New(slog.DiscardHandler)
	entries := mirror.New(mirror.Config{Kind: platform.KindInstances, Store: client, Log: log, OnChange: func(platform.Event) {}})
	s := &service{store: client, log: log, mirrors: map[string]*mirror.Mirror{platform.KindInstances: entries}}
	list := func() {
		l, err := client.List(t.Context(), platform.KindInstances)
		qt.Assert(t, err, qt.IsNil)
		entries.ApplyListing(l)
	}
	store.Put(platform.KindInstances, "dead", "entry")
	oldCopy := store.Copy()
	store.Put(platform.KindInstances, "dead", "entry")
	list()
	store.Restore(oldCopy)
	list()
	s.deleteEntry(t.Context(), "dead")
	qt.Assert(t, store.Names(platform.KindInstances), qt.HasLen, 0)
}
