package mirror

import (
	"slices"

	"github.com/wisteriawharf/wisteriawharf/platform"
)

// removal records which object was removed.
type removal struct {
	Name string `json:"name"`
	// Revision is the highest revision of the object's states that are gone. The object may
	// have been written again at a higher one.
	Revision int64 `json:"revision"`
	// KnownAt is the revision of the store at which the mirror learned of the removal. The
	// removal itself is not later than that. Zero stands for Revision.
	KnownAt int64 `json:"known_at,omitempty"`
}

// knownAt returns the revision of the store at which the removal was known.
func (r removal) knownAt() int64 { return max(r.KnownAt, r.Revision) }

// maxRemovals and maxSkipped are how many removals and skipped spans a mirror remembers.
const (
	maxRemovals = 2000
	maxSkipped  = 8
)

// revisionSpan is the revisions after From and before To.
type revisionSpan struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// contains reports whether a revision lies within the span.
func (s revisionSpan) contains(revision int64) bool { return s.From < revision && revision < s.To }

// Delta holds the changes of a mirror since a revision.
type Delta struct {
	// Full says that Objects holds all objects of the mirror, so that an object that is not
	// in it no longer exists. Removed is empty then.
	Full    bool                    `json:"full"`
	Objects []platform.StoredObject `json:"objects"`
	Removed []removal               `json:"removed"`
	// Skipped holds spans of revisions, from which Removed lacks objects that came and went.
	Skipped []revisionSpan `json:"skipped,omitempty"`
	// Epoch, Revision and NewestChange are those of the mirror that the delta comes from.
	Epoch        int64 `json:"epoch,omitempty"`
	Revision     int64 `json:"revision"`
	NewestChange int64 `json:"newest"`
}

// Since returns the changes that the mirror knows since a position. The delta is full if
// the position is of another epoch, if its revision is zero, or if the mirror may not know all
// removals since then, because it is too old or within a span that a listing has skipped.
func (m *Mirror) Since(p Position) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	revision := p.Revision
	otherEpoch := p.Epoch != m.epoch && p.Epoch != 0
	full := otherEpoch || revision < m.removalsCompleteAfter || revision == 0 ||
		slices.ContainsFunc(m.skipped, func(s revisionSpan) bool { return s.contains(revision) })
	d := Delta{Full: full, Epoch: m.epoch, Revision: m.revision, NewestChange: m.newestChange}
	for _, o := range m.storeObjects() {
		if d.Full || o.Revision > revision {
			d.Objects = append(d.Objects, o)
		}
	}
	for _, r := range m.removals {
		if !d.Full && r.knownAt() > revision {
			d.Removed = append(d.Removed, r)
		}
	}
	for _, s := range m.skipped {
		if !d.Full && s.To > revision {
			d.Skipped = append(d.Skipped, s)
		}
	}
	return d
}

// Merge applies a delta of another mirror. The delta must be full, or Since must have been
// called with a position of this mirror, which it may have passed since. An object that this mirror holds
// at the same or a newer revision is not replaced, one that it holds at a newer revision is not removed, and
// one that is gone at the revision of this mirror does not come back.
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
	exists := make(map[string]bool, len(d.Objects))
	for _, o := range d.Objects {
		exists[o.Name] = true
		m.put(o)
	}
	for _, r := range d.Removed {
		// An object that the other mirror holds was written again after its removal.
		if !exists[r.Name] {
			m.applyRemoval(r.Name, r.Revision, r.knownAt())
		}
	}
	m.removeSkipped(d.Skipped, exists, d.Revision)
	for _, s := range d.Skipped {
		m.recordSkipped(s)
	}
	m.newestChange = max(m.newestChange, d.NewestChange)
	m.advance(d.Revision)
}

// removeSkipped removes the objects whose state is from a span that the other mirror has skipped, and that it does
// not hold: they came and went within the span, so that their removal is not in the delta. This mirror learned of
// them after it had asked for the delta. The caller holds the lock.
func (m *Mirror) removeSkipped(skipped []revisionSpan, exists map[string]bool, revision int64) {
	if len(skipped) == 0 {
		return
	}
	for name := range m.objects {
		held, ok := m.heldRevision(name)
		within := slices.ContainsFunc(skipped, func(s revisionSpan) bool { return s.contains(held) })
		if ok && within && !exists[name] {
			m.applyRemoval(name, held, revision)
		}
	}
}
