package member

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/publish"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// Prefixes of the platform's objects.
const (
	prefixDomains   = "domains/"
	prefixRevisions = "revisions/"
	prefixOrders    = "orders/"
)

// RevisionName returns the name of the object that holds a settings revision.
func RevisionName(number uint64) string { return fmt.Sprintf("%s%012d", prefixRevisions, number) }

// contact remembers whether the platform answered. After an outage each kind of
// work starts again only once a random delay has passed, so that the platform
// is not met by all processes at once.
type contact struct {
	mu     sync.Mutex
	known  bool
	ok     bool
	at     time.Duration
	resume time.Duration
}

func (c *contact) note(ok bool, now, spread time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok && c.known && !c.ok && spread > 0 {
		c.resume = now + rand.N(spread)
	}
	c.known, c.ok, c.at = true, ok, now
}

// open reports whether work on the platform may be started.
func (c *contact) open(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now >= c.resume
}

func (c *contact) fresh(now, age time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && now < c.at+age
}

func (c *contact) reachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ok
}

// answered reports whether the error is an answer of the platform.
func answered(err error) bool {
	return err == nil || errors.Is(err, objectstore.ErrNotFound) || errors.Is(err, objectstore.ErrConflict)
}

func (m *Member) noteCall(call string, err error) {
	m.metrics.platform.WithLabelValues(call, outcome(err)).Inc()
	m.contact.note(answered(err), m.config.Clock.Boottime(), m.config.Timing.OutageSpread)
}

func (m *Member) get(ctx context.Context, name string) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timing.PlatformCall)
	defer cancel()
	object, err := m.config.Store.Get(ctx, name)
	m.noteCall("get", err)
	return object, err
}

func (m *Member) create(ctx context.Context, name string, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timing.PlatformCall)
	defer cancel()
	version, err := m.config.Store.Create(ctx, name, value)
	m.noteCall("create", err)
	return version, err
}

func (m *Member) update(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timing.PlatformCall)
	defer cancel()
	written, err := m.config.Store.Update(ctx, name, version, value)
	m.noteCall("update", err)
	return written, err
}

func (m *Member) list(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timing.PlatformCall)
	defer cancel()
	objects, err := m.config.Store.List(ctx, prefix)
	m.noteCall("list", err)
	return objects, err
}

// readRecord reads the record. A reading older than
// the known state changes nothing.
func (m *membership) readRecord(ctx context.Context) error {
	object, err := m.get(ctx, prefixDomains+m.domain)
	if err != nil {
		return err
	}
	m.offerObject(object)
	return nil
}

func (m *membership) offerRecord(domain string, version, epoch uint64, value []byte) {
	m.offer([]control.Item{{Name: control.PrefixDomain + domain, Major: epoch, Minor: version, Value: value}})
	m.observe()
}

// offerObject takes an object of the platform into the control state.
func (m *Member) offerObject(object objectstore.Object) {
	item, err := itemOf(object)
	if err != nil {
		m.config.Log.Warn("object does not parse, the last good one is kept", "object", object.Name, "error", err)
		return
	}
	m.offer([]control.Item{item})
	if strings.HasPrefix(object.Name, prefixDomains) {
		m.observe()
	}
}

func itemOf(object objectstore.Object) (control.Item, error) {
	item := control.Item{Minor: object.Version, Value: object.Value}
	switch {
	case strings.HasPrefix(object.Name, prefixDomains):
		var record control.Record
		err := json.Unmarshal(object.Value, &record)
		item.Name, item.Major = control.PrefixDomain+strings.TrimPrefix(object.Name, prefixDomains), record.Epoch
		return item, err
	case strings.HasPrefix(object.Name, prefixRevisions):
		revision, err := settings.DecodeRevision(object.Value)
		if err != nil {
			return item, err
		}
		item.Name, item.Major, item.Minor = control.ItemSettings, revision.Number, 0
		return item, nil
	case strings.HasPrefix(object.Name, prefixOrders):
		var order control.RecordedOrder
		err := json.Unmarshal(object.Value, &order)
		item.Name, item.Major = control.PrefixOrder+strings.TrimPrefix(object.Name, prefixOrders), order.Sequence
		return item, err
	default:
		return item, errors.NotSupportedf("object %q", object.Name)
	}
}

// establish reads the record of the own domain, the orders and the newest
// settings, in this order, until settings are known: a process that is ready
// then knows the orders too. All else comes by exchange.
func (m *Member) establish(ctx context.Context) {
	if m.config.State.View().Revision > 0 || !m.contact.open(m.config.Clock.Boottime()) {
		return
	}
	if err := m.home.readRecord(ctx); !answered(err) {
		m.config.Log.Debug("record not read", "error", err)
		return
	}
	for _, prefix := range []string{prefixOrders, prefixRevisions} {
		if _, err := m.read(ctx, prefix); err != nil {
			m.config.Log.Debug("platform not read", "prefix", prefix, "error", err)
			return
		}
	}
}

// read takes all objects with the prefix that may be newer than the known
// state; of the settings only the newest revision. It returns the greatest
// version listed.
func (m *Member) read(ctx context.Context, prefix string) (uint64, error) {
	objects, err := m.listNewer(ctx, prefix)
	if err != nil {
		return 0, err
	}
	var newest uint64
	for _, object := range objects {
		newest = max(newest, object.Version)
	}
	if prefix == prefixRevisions {
		objects = newestRevision(objects)
	}
	for _, object := range objects {
		full, err := m.get(ctx, object.Name)
		if errors.Is(err, objectstore.ErrNotFound) {
			continue
		}
		if err != nil {
			return 0, err
		}
		m.offerObject(full)
	}
	if prefix == prefixRevisions {
		return newest, m.readParts(ctx)
	}
	return newest, nil
}

// listNewer lists the objects with the prefix; of the revisions only the last
// ones.
func (m *Member) listNewer(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	if prefix == prefixRevisions {
		return publish.Newest(ctx, reader{m}, m.config.State.View().Revision)
	}
	return m.list(ctx, prefix)
}

// reader reads from the platform with the member's timeouts and counters.
type reader struct{ member *Member }

// Get returns the object.
func (r reader) Get(ctx context.Context, name string) (objectstore.Object, error) {
	return r.member.get(ctx, name)
}

// List returns the objects whose names start with prefix, without values.
func (r reader) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	return r.member.list(ctx, prefix)
}

// newestRevision returns the object with the greatest name, as revision numbers
// have a fixed width.
func newestRevision(objects []objectstore.Object) []objectstore.Object {
	if len(objects) == 0 {
		return nil
	}
	newest := objects[0]
	for _, object := range objects {
		if object.Name > newest.Name {
			newest = object
		}
	}
	return []objectstore.Object{newest}
}

// watcher returns a step that watches one prefix while this process
// coordinates. A watch that was silent for WatchCheck is checked by a read,
// because it may have lost its connection.
func (m *Member) watcher(prefix string) func(context.Context) {
	var after uint64
	current := false
	return func(ctx context.Context) {
		if !m.home.isCoordinating() {
			current = false
			return
		}
		if !m.contact.open(m.config.Clock.Boottime()) {
			return
		}
		if !current {
			// A watch from the listed version on does not repeat old revisions.
			newest, err := m.read(ctx, prefix)
			after, current = max(after, newest), err == nil
			return
		}
		watch, cancel := context.WithTimeout(ctx, m.config.Timing.WatchCheck)
		objects, err := m.config.Store.Watch(watch, prefix, after)
		silent := watch.Err() != nil
		cancel()
		if err != nil || len(objects) == 0 {
			if err != nil && !silent {
				m.noteCall("watch", err)
			}
			current = false
			return
		}
		m.noteCall("watch", nil)
		for _, object := range objects {
			after = max(after, object.Version)
			m.offerObject(object)
		}
		if prefix == prefixRevisions && m.readParts(ctx) != nil {
			current = false
		}
	}
}
