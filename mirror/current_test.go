package mirror

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// scriptedStore returns a listing and changes, and lets time pass meanwhile.
type scriptedStore struct {
	clock   *clock.Manual
	listing platform.Listing
	changes platform.Changes
}

func (s *scriptedStore) List(context.Context, string) (platform.Listing, error) {
	s.clock.Advance(time.Second)
	return s.listing, nil
}

func (s *scriptedStore) Watch(context.Context, string, int64, time.Duration) (platform.Changes, error) {
	s.clock.Advance(time.Second)
	return s.changes, nil
}

// TestCurrentCountsFromStartOfCall guards against a mirror that is taken for current at the time when a call to the
// store returned, and against answers of a store from an older state that count at all.
func TestCurrentCountsFromStartOfCall(t *testing.T) {
	store := &scriptedStore{clock: &clock.Manual{}}
	store.clock.Advance(time.Minute)
	var current []time.Duration
	m := New(Config{
		Kind: "things", Store: store, Clock: store.clock, OnCurrent: func(sent time.Duration) { current = append(current, sent-time.Minute) },
		WatchTimeout: func() time.Duration { return time.Second }, OnChange: func(platform.Event) {}, Log: slog.New(slog.DiscardHandler),
	})
	listed := false
	call := func(failed qt.Checker, want ...time.Duration) {
		t.Helper()
		current = nil
		qt.Assert(t, m.callStore(t.Context(), &listed, false), failed)
		qt.Assert(t, current, qt.DeepEquals, want)
	}
	store.listing = platform.Listing{Epoch: 2, Revision: 10}
	call(qt.IsNil, 0)
	store.changes = platform.Changes{Epoch: 2, Revision: 12}
	call(qt.IsNil, time.Second)
	store.changes.Behind = true
	call(qt.IsNil)
	store.changes = platform.Changes{Epoch: 3, Revision: 5}
	call(qt.IsNil) // another epoch: the next call is a listing
	store.listing = platform.Listing{Epoch: 2, Revision: 9}
	call(qt.IsNil) // older than the mirror
	listed = false
	store.listing = platform.Listing{Epoch: 1, Revision: 90}
	call(qt.IsNotNil)
	store.listing = platform.Listing{Epoch: 3, Revision: 5}
	call(qt.IsNil, 6*time.Second)
}
