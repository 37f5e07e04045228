package mirror

import "github.com/wisteriawharf/wisteriawharf/platform"

// removal records which object was removed, and at which revision of the store.
type removal struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

// maxRemovals is how many removals a mirror remembers.
const maxRemovals = 2000

// Delta holds the changes of a mirror since a revision.
type Delta struct {
	// Full says that Objects holds all objects of the mirror, so that an object that is not
	// in it no longer exists. Removed is empty then.
	Full    bool                    `json:"full"`
	Objects []platform.StoredObject `json:"objects"`
	Removed []removal               `json:"removed"`
	// Epoch, Revision and NewestChange are those of the mirror that the delta comes from.
	Epoch        int64 `json:"epoch,omitempty"`
	Revision     int64 `json:"revision"`
	NewestChange int64 `json:"newest"`
}

// Since returns the changes that the mirror knows since a position. The delta is full if
// the position is of another epoch, if its revision is zero, or if it is so old that the mirror
// may no longer remember all removals since then.
func (m *Mirror) Since(p Position) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	revision := p.Revision
	otherEpoch := p.Epoch != m.epoch && p.Epoch != 0
	d := Delta{Full: otherEpoch || revision < m.removalsCompleteAfter || revision == 0, Epoch: m.epoch, Revision: m.revision, NewestChange: m.newestChange}
	for _, o := range m.storeObjects() {
		if d.Full || o.Revision > revision {
			d.Objects = append(d.Objects, o)
		}
	}
	for _, r := range m.removals {
		if !d.Full && r.Revision > revision {
			d.Removed = append(d.Removed, r)
		}
	}
	return d
}

// Merge applies a delta of another mirror. The delta must be full, or Since must have been
// called with the position of this mirror. An object that this mirror holds at the same or a
// newer revision is not replaced, and one that it holds at a newer revision is not removed.
// A delta without a revision or of another epoch is ignored, but a full one of a later epoch
// applies.
func (m *Mirror) Merge(d Delta) {
	if d.Full {
		m.ApplyListing(platform.Listing{Objects: d.Objects, Revision: d.Revision, Epoch: d.Epoch})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Revision == 0 || (d.Epoch != m.epoch && d.Epoch != 0) {
		return // the other mirror has no listing yet, or one of another epoch
	}
	for _, o := range d.Objects {
		m.put(o)
	}
	for _, r := range d.Removed {
		m.applyRemoval(r.Name, r.Revision, r.Revision)
	}
	m.newestChange = max(m.newestChange, d.NewestChange)
	m.advance(d.Revision)
}
