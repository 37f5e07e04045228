package mirror

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wisteriawharf/wisteriawharf/platform"
)

// TestObjectWrittenAgainReachesOtherInstances guards against an entry that another instance
// drops for good, because one answer of a watch held its removal and its next state. The order
// to evacuate a failure domain, and entries of searchers after an outage, come like that.
func TestObjectWrittenAgainReachesOtherInstances(t *testing.T) {
	leader, follower := newRestoreMirror(nil), newRestoreMirror(nil)
	listing := platform.Listing{Revision: 10, Objects: []platform.StoredObject{object("a", `1`, 5)}}
	leader.ApplyListing(listing)
	follower.ApplyListing(listing)
	leader.ApplyEvents([]platform.Event{deletion("a", 11), {Object: object("a", `2`, 12)}}, 14)
	follower.Merge(leader.Since(follower.Position()))
	qt.Assert(t, follower.contents, qt.DeepEquals, map[string]string{"a": "2"})
	qt.Assert(t, leader.contents, qt.DeepEquals, map[string]string{"a": "2"})
}

// TestRemovalOfOlderBuildDoesNotReplaceNextState guards against the same with an instance of a
// build that states the revision of the whole answer as that of the removal.
func TestRemovalOfOlderBuildDoesNotReplaceNextState(t *testing.T) {
	follower := newRestoreMirror(nil)
	follower.ApplyListing(platform.Listing{Revision: 10, Objects: []platform.StoredObject{object("a", `1`, 5)}})
	follower.Merge(Delta{Objects: []platform.StoredObject{object("a", `2`, 12)}, Removed: []removal{{Name: "a", Revision: 14}}, Revision: 14, NewestChange: 14})
	qt.Assert(t, follower.contents, qt.DeepEquals, map[string]string{"a": "2"})
}

// history is the model of a store: all changes of its objects, in the order of their revisions.
type history struct {
	changes  []platform.Event
	contents map[string]string
	// lastState says that the event of a removal has the revision of the object's last state,
	// in place of one of its own.
	lastState bool
	states    map[string]int64
}

// change writes an object or, if it is there and remove is set, removes it.
func (h *history) change(name string, remove bool) {
	revision := int64(len(h.changes) + 1)
	if _, ok := h.contents[name]; ok && remove {
		e := deletion(name, revision)
		if h.lastState {
			e.Object.Revision = h.states[name]
		}
		h.changes = append(h.changes, e)
		delete(h.contents, name)
		return
	}
	content := fmt.Sprint(revision)
	h.changes = append(h.changes, platform.Event{Object: object(name, content, revision)})
	h.contents[name], h.states[name] = content, revision
}

// watch applies to a mirror all changes since its revision.
func (h *history) watch(m *restoreMirror) {
	m.ApplyEvents(h.changes[m.Revision():], int64(len(h.changes)))
}

// list applies to a mirror all objects as they are now.
func (h *history) list(m *restoreMirror) {
	l := platform.Listing{Revision: int64(len(h.changes))}
	for name, content := range h.contents {
		l.Objects = append(l.Objects, object(name, content, h.states[name]))
	}
	m.ApplyListing(l)
}

// TestMirrorsAgreeModel guards against mirrors that differ after they have exchanged all
// changes, whatever was changed and in whatever portions they learned it.
func TestMirrorsAgreeModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{contents: make(map[string]string), states: make(map[string]int64), lastState: rapid.Bool().Draw(t, "lastState")}
		h.change("a", false)
		mirrors := make([]*restoreMirror, 4)
		for i := range mirrors {
			mirrors[i] = newRestoreMirror(nil)
			mirrors[i].ApplyListing(platform.Listing{Revision: 1, Objects: []platform.StoredObject{h.changes[0].Object}})
		}
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			switch rapid.SampledFrom([]string{"change", "change", "watch", "list", "merge"}).Draw(t, "step") {
			case "change":
				h.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "remove"))
			case "watch": // by one of two that follow the store
				h.watch(mirrors[rapid.IntRange(0, 1).Draw(t, "leader")])
			case "list":
				h.list(mirrors[rapid.IntRange(0, 1).Draw(t, "lister")])
			case "merge":
				from, to := rapid.IntRange(0, 3).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "to")
				mirrors[to].Merge(mirrors[from].Since(mirrors[to].Position()))
			}
		}
		h.watch(mirrors[0])
		for i, m := range mirrors {
			m.Merge(mirrors[0].Since(m.Position()))
			if !maps.Equal(m.contents, h.contents) {
				t.Fatalf("mirror %d holds %v, the store %v", i, m.contents, h.contents)
			}
		}
	})
}
