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

// follower is a mirror that follows a stand-in of the store.
type follower struct {
	*Mirror
	store *site.Store

	mu   sync.Mutex
	held map[string]string
}

func follow(t *testing.T, wait time.Duration) *follower {
	t.Helper()
	f := &follower{store: site.NewStore(), held: make(map[string]string)}
	server := httptest.NewServer(f.store)
	objects, err := platform.NewStoreClient(strings.TrimPrefix(server.URL, "http://"), prometheus.NewRegistry())
	qt.Assert(t, err, qt.IsNil)
	f.Mirror = New(Config{
		Kind: "things", Source: objects, WatchTimeout: func() time.Duration { return wait },
		WatchesStore:  func() bool { return true },
		OnChange: f.changed, OnFailure: func() {}, Outage: &OutageTracker{}, Log: slog.New(slog.DiscardHandler),
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
		delete(f.held, e.Object.Name)
	} else {
		f.held[e.Object.Name] = string(e.Object.Spec)
	}
}

// await waits until an object is held with a content, empty for none.
func (f *follower) await(t *testing.T, name, want string) {
	t.Helper()
	for range 1000 {
		f.mu.Lock()
		got := f.held[name]
		f.mu.Unlock()
		if got == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s is not %q", name, want)
}

// TestMirror guards against changes that are missed: many objects at first, later
// ones, removed ones, those while the store was down, and those in a history that
// is gone.
func TestMirror(t *testing.T) {
	f := follow(t, 200*time.Millisecond)
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
	_, others := f.held["b"]
	qt.Assert(t, others, qt.IsFalse)
}

// TestDeafWatch guards against a watch that silently comes to nothing: the change
// must be seen once the watch's time is over, and at once when it is refreshed.
func TestDeafWatch(t *testing.T) {
	f := follow(t, 100*time.Millisecond)
	f.store.Put("things", "a", 1)
	f.await(t, "a", "1")
	f.store.SetFaults(site.StoreFaults{Deaf: true})
	f.store.Put("things", "a", 2)
	time.Sleep(150 * time.Millisecond)
	f.store.Forget()
	f.store.SetFaults(site.StoreFaults{})
	f.await(t, "a", "2")

	slow := follow(t, time.Minute)
	slow.store.Put("things", "a", 1)
	slow.await(t, "a", "1")
	slow.store.SetFaults(site.StoreFaults{Deaf: true})
	slow.store.Put("things", "a", 2)
	slow.store.SetFaults(site.StoreFaults{Deaf: false})
	time.Sleep(refreshPause)
	slow.Refresh()
	slow.await(t, "a", "2")
}

// TestOutageOfInactive guards against an instance that counts the store as away for
// ever, because it stopped asking while it was.
func TestOutageOfInactive(t *testing.T) {
	var active atomic.Bool
	active.Store(true)
	store := site.NewStore()
	server := httptest.NewServer(store)
	defer server.Close()
	objects, err := platform.NewStoreClient(strings.TrimPrefix(server.URL, "http://"), prometheus.NewRegistry())
	qt.Assert(t, err, qt.IsNil)
	outage := &OutageTracker{}
	m := New(Config{
		Kind: "things", Source: objects, WatchTimeout: func() time.Duration { return 50 * time.Millisecond }, WatchesStore: active.Load,
		OnChange: func(platform.Event) {}, OnFailure: func() {}, Outage: outage, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.Run(ctx)
	until := func(what string, holds func() bool) {
		for range 500 {
			if holds() {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal(what)
	}
	until("nothing is listed", func() bool { return m.Revision() > 0 })
	store.SetFaults(site.StoreFaults{Down: true})
	until("the outage is not noticed", outage.Failing)
	active.Store(false)
	until("the outage does not end", func() bool { return !outage.Failing() })
}

// TestPages guards against objects beyond the first page of a listing being
// missed.
func TestPages(t *testing.T) {
	f := follow(t, 200*time.Millisecond)
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

// TestOlderListing guards against an older reading of the store, or of another
// instance, replacing newer knowledge.
func TestOlderListing(t *testing.T) {
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

// TestOutage guards against mirrors that all call a store that is away, and
// against one that waits on after the store has returned.
func TestOutage(t *testing.T) {
	var o OutageTracker
	ctx := context.Background()
	o.wait(ctx, "a")
	o.began("a")
	o.wait(ctx, "a") // the one that asks does not wait
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
	o.over()
	<-waited
}
