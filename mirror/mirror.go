// Package mirror keeps copies of the platform's objects of a kind and follows
// their changes, from the store itself or from another instance's mirror.
package mirror

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/platform"
)

// Source is the part of the store that a mirror reads.
type Source interface {
	List(ctx context.Context, kind string) (platform.Listing, error)
	Watch(ctx context.Context, kind string, revision int64, wait time.Duration) ([]platform.Event, int64, error)
}

// Config describes a mirror.
type Config struct {
	Kind   string
	Source Source
	// WatchTimeout returns how long the next watch waits. A watch that has silently come
	// to nothing is noticed after it.
	WatchTimeout func() time.Duration
	// WatchesStore says whether this instance is to ask the store. Otherwise it hears of
	// changes from others, once it holds a listing.
	WatchesStore func() bool
	// BatchDelay is the pause after changes, so that one call brings several.
	BatchDelay time.Duration
	// OnChange is called for each change, one at a time.
	OnChange func(platform.Event)
	// OnFailure is called when a call fails: what vanishes for some time after it may
	// have lapsed with the store.
	OnFailure func()
	// Outage is shared by the mirrors of one store.
	Outage *OutageTracker
	Log    *slog.Logger
}

// Mirror is the copy of one kind.
type Mirror struct {
	config Config

	mu       sync.Mutex
	objects  map[string]platform.StoredObject
	revision int64
	// removed holds the latest removals, the oldest first, and removedSince the
	// revision after which they are complete.
	removed      []removal
	removedSince int64
	// newest is the highest revision of a change that was taken.
	newest int64
	// stop ends the present call, so that the next one is made at once.
	stop context.CancelFunc
	// began is when that call was made.
	began time.Time
}

// New returns an empty mirror.
func New(config Config) *Mirror {
	return &Mirror{config: config, objects: make(map[string]platform.StoredObject)}
}

// Revision returns the store's revision that the mirror has reached, zero before
// the first listing.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// NewestChange returns the highest revision of a change that the mirror has taken.
func (m *Mirror) NewestChange() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// Listing returns all objects.
func (m *Mirror) Listing() platform.Listing {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := platform.Listing{Revision: m.revision}
	for _, o := range m.objects {
		l.Objects = append(l.Objects, o)
	}
	return l
}

// ApplyListing takes a whole listing, unless it is older than what the mirror holds.
func (m *Mirror) ApplyListing(l platform.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.Revision < m.revision || l.Revision == 0 {
		return
	}
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Name] = true
		m.put(o)
	}
	for name, o := range m.objects {
		if !listed[name] && o.Revision <= l.Revision {
			m.remove(o, l.Revision)
		}
	}
	if m.revision == 0 {
		m.removedSince = l.Revision
	}
	m.reach(l.Revision)
}

// ApplyEvents takes changes that lead up to a revision.
func (m *Mirror) ApplyEvents(events []platform.Event, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if !e.Deleted {
			m.put(e.Object)
			continue
		}
		held, ok := m.objects[e.Object.Name]
		if ok && (e.Object.Revision == 0 || held.Revision <= e.Object.Revision) {
			m.remove(held, revision)
		}
	}
	m.reach(revision)
}

func (m *Mirror) reach(revision int64) { m.revision = max(m.revision, revision) }

func (m *Mirror) put(o platform.StoredObject) {
	if held, ok := m.objects[o.Name]; ok && held.Revision >= o.Revision {
		return
	}
	m.objects[o.Name] = o
	m.newest = max(m.newest, o.Revision)
	m.config.OnChange(platform.Event{Object: o})
}

// remove takes off an object that was gone at the revision.
func (m *Mirror) remove(o platform.StoredObject, revision int64) {
	delete(m.objects, o.Name)
	m.newest = max(m.newest, revision)
	m.removed = append(m.removed, removal{Name: o.Name, Revision: revision})
	if excess := len(m.removed) - maxRemoved; excess > 0 {
		m.removedSince = m.removed[excess-1].Revision
		m.removed = append([]removal(nil), m.removed[excess:]...)
	}
	m.config.OnChange(platform.Event{Object: o, Deleted: true})
}
