// Package mirror keeps copies of the platform's objects of a kind and follows
// their changes, from the store itself or from another instance's mirror.
package mirror

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

const (
	// Pauses after failed calls grow from minPause to maxPause.
	minPause = 200 * time.Millisecond
	maxPause = 900 * time.Millisecond
	// trialWait is how long a watch waits after a failed call.
	trialWait = 1 * time.Millisecond
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
	// Wait returns how long the next watch waits. A watch that has silently come
	// to nothing is noticed after it.
	Wait func() time.Duration
	// Changed is called for each change, one at a time.
	Changed func(platform.Event)
	// Returned is called when the store answers again after calls that failed, before
	// the changes since then.
	Returned func()
	// Outage is shared by the mirrors of one store.
	Outage *Outage
	Log    *slog.Logger
}

// Mirror is the copy of one kind.
type Mirror struct {
	config Config

	mu       sync.Mutex
	objects  map[string]platform.StoredObject
	revision int64
	// newest is the highest revision of a change that was taken.
	newest int64
	filled chan struct{}
	// stop ends the present call, so that the next one is made at once.
	stop context.CancelFunc
}

// New returns an empty mirror.
func New(config Config) *Mirror {
	return &Mirror{config: config, objects: make(map[string]platform.StoredObject), filled: make(chan struct{})}
}

// Filled is closed once the mirror holds a listing.
func (m *Mirror) Filled() <-chan struct{} { return m.filled }

// Revision returns the store's revision that the mirror has reached, zero before
// the first listing.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Newest returns the highest revision of a change that the mirror has taken.
func (m *Mirror) Newest() int64 {
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

// Reset takes a whole listing, unless it is older than what the mirror holds.
func (m *Mirror) Reset(l platform.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.Revision < m.revision {
		return
	}
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Name] = true
		m.put(o)
	}
	for name, o := range m.objects {
		if !listed[name] && o.Revision <= l.Revision {
			m.remove(o)
		}
	}
	m.reach(l.Revision)
}

// Apply takes changes that lead up to a revision.
func (m *Mirror) Apply(events []platform.Event, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			m.removeEvent(e.Object)
		} else {
			m.put(e.Object)
		}
	}
	m.reach(revision)
}

func (m *Mirror) reach(revision int64) {
	m.revision = max(m.revision, revision)
	select {
	case <-m.filled:
	default:
		close(m.filled)
	}
}

func (m *Mirror) put(o platform.StoredObject) {
	if held, ok := m.objects[o.Name]; ok && held.Revision >= o.Revision {
		return
	}
	m.objects[o.Name] = o
	m.newest = max(m.newest, o.Revision)
	m.config.Changed(platform.Event{Object: o})
}

// removeEvent removes an object unless a newer one with its name is held.
func (m *Mirror) removeEvent(o platform.StoredObject) {
	m.newest = max(m.newest, o.Revision)
	held, ok := m.objects[o.Name]
	if !ok || (o.Revision != 0 && held.Revision > o.Revision) {
		return
	}
	m.remove(held)
}

func (m *Mirror) remove(o platform.StoredObject) {
	delete(m.objects, o.Name)
	m.config.Changed(platform.Event{Object: o, Deleted: true})
}

// Refresh makes the mirror ask the store anew, because its present watch may have
// come to nothing.
func (m *Mirror) Refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stop != nil {
		m.config.Log.Info("store is asked anew", "kind", m.config.Kind, "revision", m.revision)
		m.stop()
	}
}

func (m *Mirror) setStop(stop context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stop = stop
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := minPause
	failures := 0
	for listed := false; ctx.Err() == nil; {
		m.config.Outage.wait(ctx, m.config.Kind)
		call, stop := context.WithCancel(ctx)
		m.setStop(stop)
		err := m.step(call, &listed, failures > 0)
		refreshed := call.Err() != nil
		stop()
		if err == nil {
			pause, failures = minPause, 0
			m.config.Outage.over()
			continue
		}
		m.config.Returned()
		failures++
		if refreshed || failures == 1 {
			// One failure may be that of a connection which had fallen silent.
			continue
		}
		if failures == 2 {
			m.config.Log.Warn("store is not followed", "kind", m.config.Kind, "revision", m.Revision(), "error", err.Error())
		}
		m.config.Outage.began(m.config.Kind)
		// The error of Pause is that of ctx, which the loop checks.
		_ = clock.Pause(ctx, pause/2+rand.N(pause))
		pause = min(pause*2, maxPause)
		m.config.Returned()
	}
}

// step makes one call: a listing first and after an end of history, else a
// watch. A trial returns soon, so that it shows whether the store answers.
func (m *Mirror) step(ctx context.Context, listed *bool, trial bool) error {
	if !*listed {
		l, err := m.config.Source.List(ctx, m.config.Kind)
		if err != nil {
			return err
		}
		m.Reset(l)
		*listed = true
		return nil
	}
	wait := m.config.Wait()
	if trial {
		wait = trialWait
	}
	events, revision, err := m.config.Source.Watch(ctx, m.config.Kind, m.Revision(), wait)
	if errors.Is(err, platform.ErrHistoryGone) {
		m.config.Log.Info("history is gone, listing anew", "kind", m.config.Kind, "revision", m.Revision())
		*listed = false
		return nil
	}
	if err != nil {
		return err
	}
	m.Apply(events, revision)
	return nil
}
