package mirror

import (
	"slices"

	"github.com/wisteriawharf/wisteriawharf/platform"
)

// applyWatch applies the changes that a watch from a position has returned. It applies none and returns
// false if they can't be ordered among what the mirror has learned from other mirrors meanwhile: the
// mirror has moved to another epoch, or has passed the position and a removal states no revision.
func (m *Mirror) applyWatch(c platform.Changes, from Position) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if from.Epoch != m.epoch || from.Revision < m.revision && hasUndatedRemoval(c.Events) {
		return false
	}
	return m.applyChanges(c)
}

// hasUndatedRemoval reports whether one of the events is a removal without a revision.
func hasUndatedRemoval(events []platform.Event) bool {
	return slices.ContainsFunc(events, func(e platform.Event) bool { return e.Deleted && e.Object.Revision == 0 })
}

// applyChanges applies the changes that a watch has returned. It applies none and returns
// false if the epoch is not that of the mirror: the watch was then from a revision of another
// history. The caller holds the lock.
func (m *Mirror) applyChanges(c platform.Changes) bool {
	if m.epoch == 0 {
		m.epoch = c.Epoch // the mirror has its listing from an instance that knows no epoch
	}
	if c.Epoch != 0 && c.Epoch != m.epoch {
		return false
	}
	m.applyEvents(c.Events, c.Revision)
	return true
}

// ApplyEvents applies the changes that lead up to a revision. Changes that the mirror has passed
// already are ignored.
func (m *Mirror) ApplyEvents(events []platform.Event, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyEvents(events, revision)
}

// applyEvents is ApplyEvents for a caller that holds the lock. A removal without a revision comes after the
// event before it.
func (m *Mirror) applyEvents(events []platform.Event, revision int64) {
	before := m.revision
	for _, e := range events {
		if e.Deleted {
			if e.Object.Revision == 0 {
				e.Object.Revision = before
			}
			m.applyRemoval(e.Object.Name, e.Object.Revision, revision)
		} else {
			m.put(e.Object)
		}
		before = max(before, e.Object.Revision)
	}
	m.advance(revision)
}

// applyRemoval removes an object whose states up to a revision are gone, unless the store
// has written it again since. knownAt is the revision up to which the mirror is complete then. A removal
// without a revision, which mirrors of older builds pass on, applies to the states up to knownAt. The caller
// holds the lock.
func (m *Mirror) applyRemoval(name string, revision, knownAt int64) {
	if revision == 0 {
		revision = knownAt
	}
	if held, ok := m.heldRevision(name); ok && held > revision {
		return
	}
	held, inForce := m.objects[name]
	m.confirm(name)
	r := removal{Name: name, Revision: max(revision, held.Revision), KnownAt: knownAt}
	if inForce {
		m.remove(held, r)
		return
	}
	// Another instance may still hold the object.
	m.recordRemoval(r)
}

// advance raises the revision of the mirror. The caller holds the lock.
func (m *Mirror) advance(revision int64) { m.revision = max(m.revision, revision) }

// put stores an object unless the mirror holds the same or a newer revision of it, or is complete up to the
// object's revision and does not hold it: then the object was removed since. The caller holds the lock.
func (m *Mirror) put(o platform.StoredObject) {
	held, ok := m.heldRevision(o.Name)
	if !ok {
		held = m.revision
	}
	if o.Revision > held {
		m.store(o)
	}
}

// putListed stores an object of a listing that is not older than the mirror, unless the mirror holds the same
// or a newer revision of it. The caller holds the lock.
func (m *Mirror) putListed(o platform.StoredObject) {
	if held, ok := m.heldRevision(o.Name); !ok || o.Revision > held {
		m.store(o)
	}
}

// store stores an object. The caller holds the lock.
func (m *Mirror) store(o platform.StoredObject) {
	m.confirm(o.Name)
	m.objects[o.Name] = o
	m.newestChange = max(m.newestChange, o.Revision)
	m.config.OnChange(platform.Event{Object: o})
}

// remove removes an object and remembers its removal. The caller holds the lock.
func (m *Mirror) remove(o platform.StoredObject, r removal) {
	delete(m.objects, o.Name)
	m.recordRemoval(r)
	m.config.OnChange(platform.Event{Object: o, Deleted: true})
}

// recordRemoval remembers a removal. The caller holds the lock.
func (m *Mirror) recordRemoval(r removal) {
	m.newestChange = max(m.newestChange, r.knownAt())
	m.removals = append(m.removals, r)
	if excess := len(m.removals) - maxRemovals; excess > 0 {
		m.removalsCompleteAfter = max(m.removalsCompleteAfter, m.removals[excess-1].knownAt())
		m.removals = append([]removal(nil), m.removals[excess:]...)
	}
}

// recordSkipped remembers a span of revisions that the mirror has skipped by a listing, its own
// or that of another mirror. The caller holds the lock.
func (m *Mirror) recordSkipped(s revisionSpan) {
	if s.From >= s.To || slices.Contains(m.skipped, s) {
		return
	}
	if len(m.skipped) == maxSkipped {
		m.removalsCompleteAfter = max(m.removalsCompleteAfter, m.skipped[0].To)
		m.skipped = slices.Delete(m.skipped, 0, 1)
	}
	m.skipped = append(m.skipped, s)
}
