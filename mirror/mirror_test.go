package mirror

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// follower is a mirror of a stand-in for the store. It records the objects' contents as
// OnChange reports them.
type follower struct {
	*Mirror
	store *site.Store

	mu       sync.Mutex
	contents map[string]string
}

// startFollower runs a mirror whose watches have the given timeout. The mirror and its store
// are stopped when the test ends.
func startFollower(t *testing.T, wait time.Duration) *follower {
	t.Helper()
	f := &follower{store: site.NewStore(), contents: make(map[string]string)}
	server := httptest.NewServer(f.store)
	objects, err := platform.NewStoreClient(strings.TrimPrefix(server.URL, "http://"), prometheus.NewRegistry())
	qt.Assert(t, err, qt.IsNil)
	f.Mirror = New(Config{
		Kind: "things", Store: objects, WatchTimeout: func() time.Duration { return wait },
		WatchesStore: func() bool { return true },
		OnChange:     f.changed, OnFailure: func() {}, Outage: &OutageTracker{}, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
	})
	return f
}

func (f *follower) changed(e platform.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Deleted {
		delete(f.contents, e.Object.Name)
	} else {
		f.contents[e.Object.Name] = string(e.Object.Spec)
	}
}

// await waits until the object has the wanted content. An empty one means that there is no
// such object.
func (f *follower) await(t *testing.T, name, want string) {
	t.Helper()
	for range 1000 {
		f.mu.Lock()
		got := f.contents[name]
		f.mu.Unlock()
		if got == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s is not %q", name, want)
}

// TestMirrorSeesAllChanges guards against missed changes: the first object, later updates,
// removals, changes while the store was down, and changes in a history that the store has
// dropped. Objects of another kind must not appear.
func TestMirrorSeesAllChanges(t *testing.T) {
	f := startFollower(t, 200*time.Millisecond)
	f.store.Put("things", "a", 1)
	f.await(t, "a", "1")
	f.store.Put("things", "a", 2)
	f.store.Put("others", "b", 1)
	f.await(t, "a", "2")
	f.store.Remove("things", "a")
	f.await(t, "a", "")

	f.store.SetFaults(site.StoreFaults{Down: true})
	f.store.Put("things", "a", 3)
	f.store.Put("things", "c", 1)
	f.store.Forget()
	f.store.SetFaults(site.StoreFaults{})
	f.await(t, "a", "3")
	f.await(t, "c", "1")
	qt.Assert(t, f.NewestChange() > 0, qt.IsTrue)
	_, otherKind := f.contents["b"]
	qt.Assert(t, otherKind, qt.IsFalse)
}

// TestStalledWatch guards against a change that is never seen because a watch has stalled
// without an error. The change must be seen after the watch's timeout, and with a long
// timeout as soon as Refresh is called.
func TestStalledWatch(t *testing.T) {
	f := startFollower(t, 100*time.Millisecond)
	f.store.Put("things", "a", 1)
	f.await(t, "a", "1")
	f.store.SetFaults(site.StoreFaults{Deaf: true})
	f.store.Put("things", "a", 2)
	time.Sleep(150 * time.Millisecond)
	f.store.Forget()
	f.store.SetFaults(site.StoreFaults{})
	f.await(t, "a", "2")

	slow := startFollower(t, time.Minute)
	slow.store.Put("things", "a", 1)
	slow.await(t, "a", "1")
	slow.store.SetFaults(site.StoreFaults{Deaf: true})
	slow.store.Put("things", "a", 2)
	slow.store.SetFaults(site.StoreFaults{Deaf: false})
	time.Sleep(minCallAge)
	slow.RestartCall()
	slow.await(t, "a", "2")
}

// TestOutageEndsWhenInactive guards against an instance that counts the store as failing
// for ever, because it stopped watching the store during an outage.
func TestOutageEndsWhenInactive(t *testing.T) {
	var active atomic.Bool
	active.Store(true)
	store := site.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	objects, err := platform.NewStoreClient(strings.TrimPrefix(server.URL, "http://"), prometheus.NewRegistry())
	qt.Assert(t, err, qt.IsNil)
	outage := &OutageTracker{}
	m := New(Config{
		Kind: "things", Store: objects, WatchTimeout: func() time.Duration { return 50 * time.Millisecond }, WatchesStore: active.Load,
		OnChange: func(platform.Event) {}, OnFailure: func() {}, Outage: outage, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	waitFor := func(what string, holds func() bool) {
		for range 500 {
			if holds() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal(what)
	}
	waitFor("nothing is listed", func() bool { return m.Revision() > 0 })
	store.SetFaults(site.StoreFaults{Down: true})
	waitFor("the outage is not noticed", outage.Failing)
	active.Store(false)
	waitFor("the outage does not end", func() bool { return !outage.Failing() })
}

// TestListingPages guards against a listing that lacks the objects beyond its first page.
func TestListingPages(t *testing.T) {
	f := startFollower(t, 200*time.Millisecond)
	f.store.SetFaults(site.StoreFaults{Down: true})
	name := func(i int) string { return "thing-" + string(rune('a'+i/26)) + string(rune('a'+i%26)) }
	for i := range 120 {
		f.store.Put("things", name(i), i)
	}
	f.store.Forget()
	f.store.SetFaults(site.StoreFaults{})
	f.await(t, name(119), "119")
	qt.Assert(t, f.Listing().Objects, qt.HasLen, 120)
}

// TestOlderRevisionsIgnored guards against older data, from the store or from another
// instance, that replaces newer data.
func TestOlderRevisionsIgnored(t *testing.T) {
	m := New(Config{Kind: "things", OnChange: func(platform.Event) {}, Log: slog.New(slog.DiscardHandler)})
	object := func(revision int64) platform.StoredObject {
		return platform.StoredObject{Name: "a", Revision: revision}
	}
	m.ApplyListing(platform.Listing{Objects: []platform.StoredObject{object(5)}, Revision: 6})
	m.ApplyListing(platform.Listing{Revision: 5})
	qt.Assert(t, m.Listing().Objects, qt.HasLen, 1)
	m.ApplyEvents([]platform.Event{{Object: object(4)}, {Object: object(3), Deleted: true}}, 6)
	qt.Assert(t, m.Listing().Objects[0].Revision, qt.Equals, int64(5))
	m.ApplyListing(platform.Listing{Revision: 7})
	qt.Assert(t, m.Listing().Objects, qt.HasLen, 0)
}

// TestOneProberDuringOutage guards against several mirrors that all call a store that does
// not answer, and against a mirror that still waits after the store has answered again.
func TestOneProberDuringOutage(t *testing.T) {
	var o OutageTracker
	ctx := context.Background()
	o.wait(ctx, "a")
	o.begin("a")
	o.wait(ctx, "a") // the mirror that probes the store does not wait
	waited := make(chan struct{})
	go func() {
		o.wait(ctx, "b")
		close(waited)
	}()
	select {
	case <-waited:
		t.Fatal("a second mirror calls the store")
	case <-time.After(30 * time.Millisecond):
	}
	o.end()
	<-waited
}
