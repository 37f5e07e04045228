package mirror

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/wisteriawharf/wisteriawharf/platform"
)

// Position is a place in the store's history of changes. Revisions can only be compared within
// an epoch: when the store comes back from a copy, the epoch rises and revisions are given out
// again. An epoch of zero is not known and counts as that of the other position.
type Position struct {
	Epoch    int64
	Revision int64
}

// Before reports whether the position is before another one.
func (p Position) Before(other Position) bool {
	if p.Epoch != other.Epoch && p.Epoch != 0 && other.Epoch != 0 {
		return p.Epoch < other.Epoch
	}
	return p.Revision < other.Revision
}

// settlePeriod is how long after a restoration the mirror keeps what it knows, where the store
// has an older state. In this time the operator, the searchers and the instances write again
// what the copy lacks.
const settlePeriod = 2500 * time.Millisecond

// restoration is what a mirror knows from the time before the store came back from a copy, and
// what the store has not confirmed since. The zero value stands for no restoration.
type restoration struct {
	// settledAt is when the state of the store applies in any case.
	settledAt time.Time
	// unconfirmed holds the names of the objects that the store lacks.
	unconfirmed map[string]bool
	// deferred holds the objects of the store that are not applied yet, since the mirror
	// knows a newer state or knows that they were removed.
	deferred map[string]platform.StoredObject
	// removedBefore holds the revisions of removals in former epochs.
	removedBefore map[string]int64
}

// RestoredFunc reports whether a restored object is to be applied at once, although the mirror
// knows one with a higher revision of a former epoch. It decides by the content.
type RestoredFunc func(known, restored platform.StoredObject) bool

// restore applies the first listing of a new epoch. The store is then in the state of its copy,
// with what was written since. An object in that state that the mirror knows newer, because it
// has a higher revision or was removed at one, is deferred. One that the listing lacks is kept.
// The caller holds the lock.
func (m *Mirror) restore(l platform.Listing) {
	m.config.Log.Warn("store came back from a copy", "kind", m.config.Kind, "epoch", l.Epoch, "revision", l.Revision,
		"epoch_before", m.epoch, "revision_before", m.revision)
	if m.config.OnRestore != nil {
		m.config.OnRestore()
	}
	m.restored = restoration{
		settledAt: time.Now().Add(settlePeriod), unconfirmed: make(map[string]bool),
		deferred: make(map[string]platform.StoredObject), removedBefore: m.removedNames(),
	}
	for name := range m.objects {
		m.restored.unconfirmed[name] = true
	}
	m.epoch, m.revision, m.newestChange = l.Epoch, l.Revision, l.Revision
	m.removals, m.skipped, m.removalsCompleteAfter = nil, nil, l.Revision
	for _, o := range l.Objects {
		m.restoreObject(o)
	}
}

// removedNames returns the names of the objects that were removed, with the revisions of the
// removals. The caller holds the lock.
func (m *Mirror) removedNames() map[string]int64 {
	names := make(map[string]int64)
	for name := range m.restored.deferred {
		if _, ok := m.objects[name]; !ok {
			names[name] = m.restored.removedBefore[name]
		}
	}
	for _, r := range m.removals {
		names[r.Name] = r.Revision
	}
	return names
}

// restoreObject applies or defers an object of the first listing of an epoch.
func (m *Mirror) restoreObject(o platform.StoredObject) {
	known, ok := m.objects[o.Name]
	removedAt, removed := m.restored.removedBefore[o.Name]
	delete(m.restored.unconfirmed, o.Name)
	switch {
	case ok && sameContent(known.Spec, o.Spec) && sameContent(known.Status, o.Status):
		m.objects[o.Name] = o
	case ok && o.Revision <= known.Revision && !m.appliesRestored(known, o), !ok && removed && o.Revision <= removedAt:
		m.restored.deferred[o.Name] = o
	default:
		m.objects[o.Name] = o
		m.config.OnChange(platform.Event{Object: o})
	}
}

func (m *Mirror) appliesRestored(known, restored platform.StoredObject) bool {
	return m.config.AppliesRestored != nil && m.config.AppliesRestored(known, restored)
}

// sameContent reports whether two contents are the same JSON text, apart from spaces.
func sameContent(a, b json.RawMessage) bool {
	var compactA, compactB bytes.Buffer
	if json.Compact(&compactA, a) != nil || json.Compact(&compactB, b) != nil {
		return bytes.Equal(a, b)
	}
	return bytes.Equal(compactA.Bytes(), compactB.Bytes())
}

// Settle ends the time in which the mirror keeps what it knows from before a restoration, if
// that time is over: objects that the store still lacks are removed, and deferred ones are
// applied. It is to be called periodically.
func (m *Mirror) Settle(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.restored.settledAt.IsZero() || now.Before(m.restored.settledAt) {
		return
	}
	settled := m.restored
	m.restored = restoration{}
	for name := range settled.unconfirmed {
		m.remove(m.objects[name], removal{Name: name, Revision: m.revision, KnownAt: m.revision})
	}
	for name, o := range settled.deferred {
		m.objects[name] = o
		m.config.OnChange(platform.Event{Object: o})
	}
}

// heldRevision returns the revision of the store's state of an object as far as the mirror
// knows it, and whether it knows one. The caller holds the lock.
func (m *Mirror) heldRevision(name string) (int64, bool) {
	if o, ok := m.restored.deferred[name]; ok {
		return o.Revision, true
	}
	o, ok := m.objects[name]
	return o.Revision, ok && !m.restored.unconfirmed[name]
}

// confirm records that the store has written or removed an object since the restoration.
func (m *Mirror) confirm(name string) {
	delete(m.restored.unconfirmed, name)
	delete(m.restored.deferred, name)
}

// Confirmed returns an object if the store is known to hold it in this state.
func (m *Mirror) Confirmed(name string) (platform.StoredObject, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	_, deferred := m.restored.deferred[name]
	return o, ok && !deferred && !m.restored.unconfirmed[name]
}

// storeObjects returns the objects as the store holds them. The caller holds the lock.
func (m *Mirror) storeObjects() []platform.StoredObject {
	var objects []platform.StoredObject
	for name, o := range m.objects {
		if _, deferred := m.restored.deferred[name]; !deferred && !m.restored.unconfirmed[name] {
			objects = append(objects, o)
		}
	}
	for _, o := range m.restored.deferred {
		objects = append(objects, o)
	}
	return objects
}
