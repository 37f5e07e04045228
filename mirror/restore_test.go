package mirror

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/platform"
)

// restoreMirror is a mirror with the contents of its objects as OnChange reports them.
type restoreMirror struct {
	*Mirror
	contents map[string]string
}

func newRestoreMirror(applies RestoredFunc) *restoreMirror {
	r := &restoreMirror{contents: make(map[string]string)}
	r.Mirror = New(Config{
		Kind: "things", Log: slog.New(slog.DiscardHandler), AppliesRestored: applies,
		OnChange: func(e platform.Event) {
			if e.Deleted {
				delete(r.contents, e.Object.Name)
				return
			}
			r.contents[e.Object.Name] = string(e.Object.Spec)
		},
	})
	return r
}

func object(name, content string, revision int64) platform.StoredObject {
	return platform.StoredObject{Name: name, Revision: revision, Spec: json.RawMessage(content)}
}

func deletion(name string, revision int64) platform.Event {
	return platform.Event{Object: platform.StoredObject{Name: name, Revision: revision}, Deleted: true}
}

// settle ends the time after a restoration.
func (r *restoreMirror) settle() { r.Settle(time.Now().Add(2 * settlePeriod)) }

// newKnownMirror returns a mirror at epoch 1 and revision 20 that knows the objects same,
// changed, new and changedBack; gone was removed.
func newKnownMirror(applies RestoredFunc) *restoreMirror {
	r := newRestoreMirror(applies)
	r.ApplyListing(platform.Listing{Epoch: 1, Revision: 10, Objects: []platform.StoredObject{
		object("same", `1`, 1), object("changed", `1`, 2), object("gone", `1`, 3), object("rewritten", `1`, 4),
	}})
	r.applyChanges(platform.Changes{Epoch: 1, Revision: 20, Events: []platform.Event{
		{Object: object("changed", `2`, 11)}, {Object: object("new", `1`, 12)}, deletion("gone", 13), {Object: object("rewritten", `2`, 14)},
	}})
	return r
}

// oldCopy is the listing of the copy, as of revision 10, of the same store.
func oldCopy() platform.Listing {
	return platform.Listing{Epoch: 2, Revision: 11, Objects: []platform.StoredObject{
		object("same", ` 1`, 1), object("changed", `1`, 2), object("gone", `1`, 3), object("rewritten", `2`, 11),
	}}
}

// TestOlderCopyDoesNotReplaceNewerState guards against a searcher, a failure domain or an instance that goes back to an older state because the store came back from a copy.
func TestOlderCopyDoesNotReplaceNewerState(t *testing.T) {
	r := newKnownMirror(nil)
	qt.Assert(t, r.ApplyListing(oldCopy()), qt.IsTrue)
	known := map[string]string{"same": "1", "changed": "2", "new": "1", "rewritten": "2"}
	qt.Assert(t, r.contents, qt.DeepEquals, known)
	qt.Assert(t, r.Position(), qt.Equals, Position{Epoch: 2, Revision: 11})
	// What is written again applies at once, although its revision was given out before.
	r.applyChanges(platform.Changes{Epoch: 2, Revision: 14, Events: []platform.Event{
		{Object: object("new", `3`, 12)}, deletion("gone", 13), {Object: object("changed", `3`, 14)},
	}})
	after := map[string]string{"same": "1", "changed": "3", "new": "3", "rewritten": "2"}
	qt.Assert(t, r.contents, qt.DeepEquals, after)
	r.settle()
	qt.Assert(t, r.contents, qt.DeepEquals, after)
}

// TestRestoredStateAppliesInTheEnd guards against a state that nobody writes again and that an instance keeps for ever.
func TestRestoredStateAppliesInTheEnd(t *testing.T) {
	r := newKnownMirror(nil)
	r.ApplyListing(oldCopy())
	_, confirmed := r.Confirmed("new")
	qt.Assert(t, confirmed, qt.IsFalse)
	r.Settle(time.Now())
	qt.Assert(t, r.contents["new"], qt.Equals, "1")
	r.settle()
	qt.Assert(t, r.contents, qt.DeepEquals, map[string]string{"same": "1", "changed": "1", "gone": "1", "rewritten": "2"})
	_, confirmed = r.Confirmed("changed")
	qt.Assert(t, confirmed, qt.IsTrue)
}

// TestRestoredConfigurationAppliesAtOnce guards against a configuration that was written after the restoration and waits.
func TestRestoredConfigurationAppliesAtOnce(t *testing.T) {
	r := newKnownMirror(func(_, _ platform.StoredObject) bool { return true })
	r.ApplyListing(oldCopy())
	qt.Assert(t, r.contents["changed"], qt.Equals, "1")
}

// TestEpochReachesOtherInstances guards against instances that keep the state of a former epoch because its revisions are higher.
func TestEpochReachesOtherInstances(t *testing.T) {
	from, to, fresh := newKnownMirror(nil), newKnownMirror(nil), newRestoreMirror(nil)
	from.ApplyListing(oldCopy())
	qt.Assert(t, to.NewestPosition().Before(from.NewestPosition()), qt.IsTrue)
	qt.Assert(t, from.NewestPosition().Before(to.NewestPosition()), qt.IsFalse)
	late := to.Since(from.Position())
	to.Merge(from.Since(to.Position()))
	fresh.Merge(from.Since(fresh.Position()))
	from.Merge(late)
	qt.Assert(t, to.contents, qt.DeepEquals, from.contents)
	qt.Assert(t, fresh.contents, qt.DeepEquals, map[string]string{"same": " 1", "changed": "1", "gone": "1", "rewritten": "2"})
	from.applyChanges(platform.Changes{Epoch: 2, Revision: 12, Events: []platform.Event{{Object: object("changed", `3`, 12)}}})
	to.Merge(from.Since(to.Position()))
	qt.Assert(t, to.contents["changed"], qt.Equals, "3")
	qt.Assert(t, to.Position(), qt.Equals, from.Position())
}

// TestChangesOfAnotherEpochAreNotApplied guards against a watch that goes on from a revision that was given out again.
func TestChangesOfAnotherEpochAreNotApplied(t *testing.T) {
	r := newKnownMirror(nil)
	qt.Assert(t, r.applyChanges(platform.Changes{Epoch: 2, Revision: 30, Events: []platform.Event{{Object: object("same", `9`, 25)}}}), qt.IsFalse)
	qt.Assert(t, r.contents["same"], qt.Equals, "1")
	qt.Assert(t, r.Position(), qt.Equals, Position{Epoch: 1, Revision: 20})
}
