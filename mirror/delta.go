package mirror

import "github.com/wisteriawharf/wisteriawharf/platform"

// removal is the removal of an object at a revision.
type removal struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

// maxRemoved bounds the removals that are remembered.
const maxRemoved = 2000

// Delta is what has changed since a revision.
type Delta struct {
	// Full says that Objects holds all objects, and that others are gone.
	Full     bool                    `json:"full"`
	Objects  []platform.StoredObject `json:"objects"`
	Removed  []removal               `json:"removed"`
	Revision int64                   `json:"revision"`
	NewestChange   int64                   `json:"newest"`
}

// Since returns what has changed since a revision, as far as the mirror knows.
func (m *Mirror) Since(revision int64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Full: revision < m.removedSince || revision == 0, Revision: m.revision, NewestChange: m.newest}
	for _, o := range m.objects {
		if d.Full || o.Revision > revision {
			d.Objects = append(d.Objects, o)
		}
	}
	for _, r := range m.removed {
		if !d.Full && r.Revision > revision {
			d.Removed = append(d.Removed, r)
		}
	}
	return d
}

// Merge takes what another mirror knows since the revision of this one.
func (m *Mirror) Merge(d Delta) {
	if d.Full {
		m.ApplyListing(platform.Listing{Objects: d.Objects, Revision: d.Revision})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Revision == 0 {
		return // the other one knows nothing itself
	}
	for _, o := range d.Objects {
		m.put(o)
	}
	for _, r := range d.Removed {
		if held, ok := m.objects[r.Name]; ok && held.Revision <= r.Revision {
			m.remove(held, r.Revision)
		}
	}
	m.newest = max(m.newest, d.NewestChange)
	m.reach(d.Revision)
}
