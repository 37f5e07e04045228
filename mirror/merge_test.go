package mirror

import (
	"fmt"
	"maps"
	"slices"
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

// removalForm is how a store states the revision of a removal in its events.
type removalForm int

const (
	ownRevision removalForm = iota
	lastStateRevision
	noRevision
)

// message is an answer or a delta that is under way to a mirror.
type message struct {
	to      *restoreMirror
	deliver func()
}

// removalEvents returns the changes after a revision, with the removals in a form.
func (h *history) removalEvents(after int64, form removalForm) []platform.Event {
	events := slices.Clone(h.changes[after:])
	states := make(map[string]int64)
	for i, e := range h.changes {
		if !e.Deleted {
			states[e.Object.Name] = e.Object.Revision
			continue
		}
		if int64(i) >= after {
			switch form {
			case lastStateRevision:
				events[int64(i)-after].Object.Revision = states[e.Object.Name]
			case noRevision:
				events[int64(i)-after].Object.Revision = 0
			}
		}
	}
	return events
}

// contentAt returns the content of an object at a revision, empty if there is none.
func (h *history) contentAt(name string, revision int64) string {
	for i := revision - 1; i >= 0; i-- {
		if c := h.changes[i]; c.Object.Name == name {
			if c.Deleted {
				return ""
			}
			return string(c.Object.Spec)
		}
	}
	return ""
}

// outdated returns the name of an object that a mirror holds in none of the states since its revision, if there is one.
func (h *history) outdated(m *restoreMirror) string {
	for _, name := range []string{"a", "b", "c"} {
		current := false
		for r := m.Revision(); r <= int64(len(h.changes)); r++ {
			current = current || h.contentAt(name, r) == m.contents[name]
		}
		if !current {
			return name
		}
	}
	return ""
}

// TestLateMessagesModel guards against a mirror that goes back to an older state of an object, such as one before its
// removal, because an answer of the store or a delta of another mirror comes late, for any order of messages.
func TestLateMessagesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{contents: make(map[string]string), states: make(map[string]int64)}
		form := rapid.SampledFrom([]removalForm{ownRevision, lastStateRevision, noRevision}).Draw(t, "removals")
		h.change("a", false)
		mirrors := make([]*restoreMirror, 3)
		for i := range mirrors {
			mirrors[i] = newRestoreMirror(nil)
			mirrors[i].ApplyListing(platform.Listing{Revision: 1, Objects: []platform.StoredObject{h.changes[0].Object}})
		}
		var underWay []message
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m := mirrors[rapid.IntRange(0, 2).Draw(t, "mirror")]
			switch rapid.SampledFrom([]string{"change", "watch", "list", "delta", "full", "deliver", "deliver", "deliver"}).Draw(t, "step") {
			case "change":
				h.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "remove"))
			case "watch":
				from := m.Position()
				c := platform.Changes{Revision: int64(len(h.changes)), Events: h.removalEvents(from.Revision, form)}
				underWay = append(underWay, message{m, func() {
					if !m.applyWatch(c, from) {
						h.list(m)
					}
				}})
			case "list":
				l := platform.Listing{Revision: int64(len(h.changes))}
				for name, content := range h.contents {
					l.Objects = append(l.Objects, object(name, content, h.states[name]))
				}
				underWay = append(underWay, message{m, func() { m.ApplyListing(l) }})
			case "delta", "full":
				from, position := mirrors[rapid.IntRange(0, 2).Draw(t, "from")], m.Position()
				if rapid.Bool().Draw(t, "full") {
					position = Position{}
				}
				d := from.Since(position)
				underWay = append(underWay, message{m, func() { m.Merge(d) }})
			case "deliver":
				if len(underWay) > 0 {
					i := rapid.IntRange(0, len(underWay)-1).Draw(t, "message")
					underWay[i].deliver()
					if rapid.Bool().Draw(t, "once") {
						underWay = slices.Delete(underWay, i, i+1)
					}
				}
			}
			for i, m := range mirrors {
				if name := h.outdated(m); name != "" {
					t.Fatalf("mirror %d is complete up to revision %d and holds %q as %q", i, m.Revision(), name, m.contents[name])
				}
			}
		}
	})
}

// TestLateAnswersDoNotBringObjectsBack guards against a searcher that gets requests again, or a failure domain that goes
// out of service again, for good, because an answer or a delta from before the removal of its entry comes late.
func TestLateAnswersDoNotBringObjectsBack(t *testing.T) {
	for name, late := range map[string]func(m, other *restoreMirror) func(){
		"watch": func(m, _ *restoreMirror) func() {
			from := m.Position()
			return func() {
				m.applyWatch(platform.Changes{Revision: 11, Events: []platform.Event{{Object: object("a", `2`, 11)}}}, from)
			}
		},
		"delta": func(m, other *restoreMirror) func() {
			d := other.Since(m.Position())
			return func() { m.Merge(d) }
		},
		"full delta": func(m, other *restoreMirror) func() {
			d := other.Since(Position{})
			return func() { m.Merge(d) }
		},
		"listing": func(m, _ *restoreMirror) func() {
			return func() {
				m.ApplyListing(platform.Listing{Revision: 11, Objects: []platform.StoredObject{object("a", `2`, 11)}})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			m, other := newRestoreMirror(nil), newRestoreMirror(nil)
			for _, m := range []*restoreMirror{m, other} {
				m.ApplyListing(platform.Listing{Revision: 10, Objects: []platform.StoredObject{object("a", `1`, 5)}})
			}
			other.ApplyEvents([]platform.Event{{Object: object("a", `2`, 11)}}, 11)
			deliver := late(m, other)
			other.ApplyEvents([]platform.Event{deletion("a", 12)}, 12)
			m.Merge(other.Since(m.Position()))
			deliver()
			qt.Assert(t, m.contents, qt.HasLen, 0)
			// An object that is written again is used again.
			m.ApplyEvents([]platform.Event{{Object: object("a", `3`, 13)}}, 13)
			qt.Assert(t, m.contents, qt.DeepEquals, map[string]string{"a": "3"})
		})
	}
}

// TestLateRemovalsLeaveNewerObjects guards against an object that disappears for good because its removal, from before it was
// written again, comes late, with or without a revision.
func TestLateRemovalsLeaveNewerObjects(t *testing.T) {
	for _, revision := range []int64{11, 0} {
		m := newRestoreMirror(nil)
		m.ApplyListing(platform.Listing{Revision: 10, Objects: []platform.StoredObject{object("a", `1`, 5)}})
		from := m.Position()
		m.Merge(Delta{Objects: []platform.StoredObject{object("a", `2`, 12)}, Revision: 12, NewestChange: 12})
		applied := m.applyWatch(platform.Changes{Revision: 12, Events: []platform.Event{deletion("a", revision), {Object: object("a", `2`, 12)}}}, from)
		qt.Check(t, applied, qt.Equals, revision != 0)
		qt.Check(t, m.contents, qt.DeepEquals, map[string]string{"a": "2"})
	}
}

// TestWatchOfFormerEpochIsNotApplied guards against a mirror that counts as complete up to a revision of a former epoch, and
// then misses what the store writes, because the epoch changed while a watch waited.
func TestWatchOfFormerEpochIsNotApplied(t *testing.T) {
	m := newKnownMirror(nil)
	from := m.Position()
	m.ApplyListing(oldCopy())
	qt.Assert(t, m.applyWatch(platform.Changes{Epoch: 2, Revision: from.Revision}, from), qt.IsFalse)
	qt.Assert(t, m.Position(), qt.Equals, Position{Epoch: 2, Revision: 11})
}

// TestObjectOfSkippedSpanIsRemoved guards against an object that stays for good because a listing skipped its whole life, and the
// delta that says so was asked for before this mirror learned of the object.
func TestObjectOfSkippedSpanIsRemoved(t *testing.T) {
	m, other := newRestoreMirror(nil), newRestoreMirror(nil)
	for _, m := range []*restoreMirror{m, other} {
		m.ApplyListing(platform.Listing{Revision: 1, Objects: []platform.StoredObject{object("a", `1`, 1)}})
	}
	other.ApplyListing(platform.Listing{Revision: 3, Objects: []platform.StoredObject{object("a", `1`, 1)}})
	d := other.Since(m.Position())
	m.ApplyEvents([]platform.Event{{Object: object("b", `2`, 2)}}, 2)
	m.Merge(d)
	qt.Assert(t, m.contents, qt.DeepEquals, map[string]string{"a": "1"})
}
