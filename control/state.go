package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/settings"
)

// Names of items. Those that end in a slash are prefixes, followed by the name
// of a failure domain, or by kind and name of an order.
const (
	ItemSettings = "settings"
	PrefixDomain = "domain/"
	PrefixRoster = "roster/"
	PrefixOrder  = "order/"
	PrefixDirect = "direct/"
)

// Item is one piece of control state. Of two items with one name the one with
// the greater Major, then Minor, is newer.
type Item struct {
	Name  string
	Major uint64
	Minor uint64
	Value []byte
	// Change takes the place of Minor between processes, if it is not zero. A
	// record has a new Minor with each renewal of its leases, which no other
	// process needs.
	Change uint64
}

func (i Item) newer(other Item) bool {
	if i.Major != other.Major {
		return i.Major > other.Major
	}
	return i.Minor > other.Minor
}

// changed reports whether the item is newer in something that other processes
// need.
func (i Item) changed(other Item) bool {
	if i.Major != other.Major || i.Change == 0 || other.Change == 0 {
		return i.newer(other)
	}
	return i.Change > other.Change
}

// View is an immutable reading of the control state.
type View struct {
	// Revision is the number of the settings in force; zero if none are known.
	Revision uint64
	Settings *settings.Set
	Records  map[string]*Record
	Rosters  map[string]*Roster
	Recorded map[string]*RecordedOrder
	Direct   []Order
}

// State is the control state of one process. It is safe for concurrent use.
// An item never replaces a newer one, and one that does not parse replaces
// nothing. A direct order is dropped once the recorded order holds it, and is
// not taken again, so that the summaries of exchanges do not grow.
type State struct {
	mu      sync.Mutex
	items   map[string]Item
	view    atomic.Pointer[View]
	changed []chan struct{}
	// digest is that of the items, or zero after a change.
	digest   uint64
	settings revisions
}

// NewState returns a state that knows nothing.
func NewState() *State {
	s := &State{items: make(map[string]Item), settings: newRevisions()}
	s.view.Store(&View{
		Records:  make(map[string]*Record),
		Rosters:  make(map[string]*Roster),
		Recorded: make(map[string]*RecordedOrder),
	})
	return s
}

// View returns the present view. It must not be changed.
func (s *State) View() *View { return s.view.Load() }

// Subscribe returns a channel that receives after changes. Several changes may
// be reported once.
func (s *State) Subscribe() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(chan struct{}, 1)
	s.changed = append(s.changed, c)
	return c
}

// Offer takes item if it is newer than what is known, and reports whether it
// was taken. A value that does not parse is an error and changes nothing.
// Settings are in force when Offer returns, if all their parts are held.
func (s *State) Offer(item Item) (bool, error) {
	if item.Name == ItemSettings {
		if taken, err := s.TakeSettings(item); err != nil || !taken {
			return false, err
		}
		err := s.Settle()
		return err == nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.items[item.Name]; ok && !item.newer(known) || s.view.Load().reconciled(item.Name) {
		return false, nil
	}
	next := s.view.Load().clone()
	if err := next.apply(item); err != nil {
		return false, errors.Annotatef(err, "item %q", item.Name)
	}
	next.dropReconciled()
	if domain, ok := strings.CutPrefix(item.Name, PrefixDomain); ok {
		item.Change = next.Records[domain].Change
	}
	s.items[item.Name] = item
	s.digest = 0
	for name := range s.items {
		if next.reconciled(name) {
			delete(s.items, name)
		}
	}
	s.view.Store(next)
	s.notify()
	return true, nil
}

// notify tells subscribers of a change; the caller holds the lock.
func (s *State) notify() {
	for _, c := range s.changed {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Summary returns all items without their values, sorted by name.
func (s *State) Summary() []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	summary := make([]Item, 0, len(s.items))
	for _, item := range s.items {
		item.Value = nil
		summary = append(summary, item)
	}
	sort.Slice(summary, func(i, j int) bool { return summary[i].Name < summary[j].Name })
	return summary
}

// Digest returns the same number for states that hold the same, renewals of
// leases apart.
func (s *State) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digest == 0 {
		s.digest = digestOf(s.items)
	}
	return s.digest
}

func digestOf(items map[string]Item) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, name := range slices.Sorted(maps.Keys(items)) {
		item := items[name]
		order := item.Minor
		if item.Change > 0 {
			order = item.Change
		}
		_, _ = fmt.Fprintf(&digest, "%s %d %d\n", name, item.Major, order)
	}
	return digest.Sum64()
}

// Compare returns the items that are newer here than in the summary of another
// process, and the names of those that are newer there.
func (s *State) Compare(summary []Item) (newer []Item, wanted []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	theirs := make(map[string]Item, len(summary))
	for _, item := range summary {
		theirs[item.Name] = item
		if s.view.Load().reconciled(item.Name) {
			// The other drops it once it receives the recorded order.
			continue
		}
		if item.Name == ItemSettings && s.settings.seen(item.Major) {
			continue
		}
		if ours, ok := s.items[item.Name]; !ok || item.changed(ours) {
			wanted = append(wanted, item.Name)
		}
	}
	for name, item := range s.items {
		if other, ok := theirs[name]; !ok || item.changed(other) {
			newer = append(newer, item)
		}
	}
	return newer, wanted
}

// Items returns the named items, as far as they are known.
func (s *State) Items(names []string) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	for _, name := range names {
		if item, ok := s.items[name]; ok {
			items = append(items, item)
		}
	}
	return items
}

// Item returns the named item.
func (s *State) Item(name string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[name]
	return item, ok
}

func (v *View) clone() *View {
	next := *v
	next.Records = cloneMap(v.Records)
	next.Rosters = cloneMap(v.Rosters)
	next.Recorded = cloneMap(v.Recorded)
	next.Direct = append([]Order(nil), v.Direct...)
	return &next
}

func cloneMap[V any](m map[string]V) map[string]V {
	c := make(map[string]V, len(m)+1)
	for k, v := range m {
		c[k] = v
	}
	return c
}

func (v *View) apply(item Item) error {
	switch {
	case strings.HasPrefix(item.Name, PrefixDomain):
		return applyJSON(v.Records, strings.TrimPrefix(item.Name, PrefixDomain), item.Value)
	case strings.HasPrefix(item.Name, PrefixRoster):
		return applyJSON(v.Rosters, strings.TrimPrefix(item.Name, PrefixRoster), item.Value)
	case strings.HasPrefix(item.Name, PrefixOrder):
		return applyJSON(v.Recorded, strings.TrimPrefix(item.Name, PrefixOrder), item.Value)
	case strings.HasPrefix(item.Name, PrefixDirect):
		return v.applyDirect(item)
	default:
		return errors.Errorf("name is not known")
	}
}

func (v *View) applyDirect(item Item) error {
	var order Order
	if err := json.Unmarshal(item.Value, &order); err != nil {
		return errors.Trace(err)
	}
	if item.Name != DirectName(order) {
		return errors.Errorf("holds the order %q", DirectName(order))
	}
	for i, known := range v.Direct {
		if DirectName(known) == item.Name {
			v.Direct[i] = order
			return nil
		}
	}
	v.Direct = append(v.Direct, order)
	return nil
}

func applyJSON[V any](m map[string]*V, name string, value []byte) error {
	var v V
	if err := json.Unmarshal(value, &v); err != nil {
		return errors.Trace(err)
	}
	m[name] = &v
	return nil
}

// OrderName returns the item name of the recorded order about one failure
// domain or upstream.
func OrderName(kind OrderKind, name string) string {
	return PrefixOrder + string(kind) + "/" + name
}

// DirectName returns the item name of an order that was given directly.
func DirectName(o Order) string {
	return PrefixDirect + string(o.Kind) + "/" + o.Name + "/" + o.ChangeID
}

// reconciled reports whether the item is a direct order that the platform's
// record holds.
func (v *View) reconciled(name string) bool {
	rest, direct := strings.CutPrefix(name, PrefixDirect)
	i := strings.LastIndexByte(rest, '/')
	if !direct || i < 0 {
		return false
	}
	r := v.Recorded[rest[:i]]
	return r != nil && r.Holds(rest[i+1:])
}

// dropReconciled removes direct orders that the platform's record holds.
func (v *View) dropReconciled() {
	kept := v.Direct[:0]
	for _, o := range v.Direct {
		if r := v.Recorded[string(o.Kind)+"/"+o.Name]; r == nil || !r.Holds(o.ChangeID) {
			kept = append(kept, o)
		}
	}
	v.Direct = kept
}

// Suspected returns the identifiers of the processes that rosters list as
// suspected.
func (v *View) Suspected() map[string]bool {
	suspected := make(map[string]bool)
	for _, roster := range v.Rosters {
		for _, i := range roster.Instances {
			if i.State == Suspected {
				suspected[i.ID] = true
			}
		}
	}
	return suspected
}

// Out reports whether an order takes the named failure domain or upstream out
// of service, or states that the process has ended. A recorded "out" holds until a recorded "back" replaces it; a
// direct "out" holds until it is recorded or a direct "back" that knew it
// supersedes it. So "out" wins wherever the two kinds of order disagree.
func (v *View) Out(kind OrderKind, name string) bool {
	if r := v.Recorded[string(kind)+"/"+name]; r != nil && r.Order.Out {
		return true
	}
	superseded := make(map[string]bool)
	for _, o := range v.Direct {
		if o.Kind == kind && o.Name == name && !o.Out {
			for _, id := range o.Supersedes {
				superseded[id] = true
			}
		}
	}
	for _, o := range v.Direct {
		if o.Kind == kind && o.Name == name && o.Out && !superseded[o.ChangeID] {
			return true
		}
	}
	return false
}
