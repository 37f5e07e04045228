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
	// activePause is how often a mirror that does not ask the store looks whether it
	// is to.
	activePause = 200 * time.Millisecond
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
	// Active says whether this instance is to ask the store. Otherwise it hears of
	// changes from others, once it holds a listing.
	Active func() bool
	// Settle is the pause after changes, so that one call brings several.
	Settle time.Duration
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
	Newest   int64                   `json:"newest"`
}

// Since returns what has changed since a revision, as far as the mirror knows.
func (m *Mirror) Since(revision int64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{Full: revision < m.removedSince || revision == 0, Revision: m.revision, Newest: m.newest}
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
		m.Reset(platform.Listing{Objects: d.Objects, Revision: d.Revision})
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
	m.newest = max(m.newest, d.Newest)
	m.reach(d.Revision)
}

// Reset takes a whole listing, unless it is older than what the mirror holds.
func (m *Mirror) Reset(l platform.Listing) {
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

// Apply takes changes that lead up to a revision.
func (m *Mirror) Apply(events []platform.Event, revision int64) {
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
	m.config.Changed(platform.Event{Object: o})
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
	m.config.Changed(platform.Event{Object: o, Deleted: true})
}

// Refresh makes the mirror ask the store anew, because its present watch may have
// come to nothing.
func (m *Mirror) Refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stop == nil || time.Since(m.began) < refreshPause {
		return
	}
	m.config.Log.Info("store is asked anew", "kind", m.config.Kind, "revision", m.revision)
	m.stop()
}

// refreshPause is how long a call may take before it is given up for another one.
const refreshPause = 400 * time.Millisecond

func (m *Mirror) setStop(stop context.CancelFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stop = stop
	m.began = time.Now()
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := minPause
	failures := 0
	for listed := false; ctx.Err() == nil; {
		if !m.mayAsk(ctx) {
			listed = listed || m.Revision() > 0
			continue
		}
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
		if refreshed {
			continue
		}
		m.config.Returned()
		failures++
		m.config.Outage.began(m.config.Kind)
		if failures == 1 {
			// One failure may be that of a connection which had fallen silent.
			continue
		}
		if failures == 2 {
			m.config.Log.Warn("store is not followed", "kind", m.config.Kind, "revision", m.Revision(), "error", err.Error())
		}
		// The error of Pause is that of ctx, which the loop checks.
		_ = clock.Pause(ctx, pause/2+rand.N(pause))
		pause = min(pause*2, maxPause)
		m.config.Returned()
	}
}

// mayAsk waits until this mirror may call the store. It reports false when it
// should be asked again.
func (m *Mirror) mayAsk(ctx context.Context) bool {
	m.config.Outage.wait(ctx, m.config.Kind)
	if m.Revision() == 0 || m.config.Active() {
		return ctx.Err() == nil
	}
	// What this instance does not ask it knows nothing bad of.
	m.config.Outage.over()
	_ = clock.Pause(ctx, activePause) // the error is that of ctx, which the loop checks
	return false
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
	if len(events) > 0 && m.config.Settle > 0 {
		_ = clock.Pause(ctx, m.config.Settle) // the error is that of ctx, which the next call returns
	}
	return nil
}
