package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Key identifies an order: the object's creation and the target version. An object whose target
// version is changed is another order.
type Key struct {
	Service string
	Created int64
	Target  string
}

// Key returns the key of the order.
func (o Order) Key() Key { return Key{Service: o.Service, Created: o.Created, Target: o.TargetVersion} }

// maxFirstAge is the age of a running order up to which an instance that sees it first takes it for
// new. Its clock may differ from that of the instance that saw the order first.
const maxFirstAge = 2500 * time.Millisecond

// entry is an order with what this instance knows of it.
type entry struct {
	order Order
	// start is when the order began. witnessed says that this instance saw it begin, so that
	// start doesn't depend on the time of day.
	start     time.Duration
	witnessed bool
	// waited says that another order of the service was in force since it was first seen.
	waited bool
	// bad says why the new version is bad, empty if no instance has found that.
	bad string
	// promotedAt is when this instance learned of the phase Promote, zero if it has not.
	promotedAt time.Duration
	// behind says that the stored status is older than the known one.
	behind bool
}

// state returns the state as this instance knows it.
func (e *entry) state() State {
	if e.bad != "" && e.order.Status.State != Completed {
		return RolledBack
	}
	return e.order.Status.State
}

// ended reports whether the order was completed or rolled back.
func (e *entry) ended() bool { return e.state() == Completed || e.state() == RolledBack }

// Book holds the orders that an instance knows. It is not safe for concurrent use.
type Book struct {
	entries map[string]*entry
	// completed holds the last completed order by service. It outlives its object.
	completed map[string]Key
}

// NewBook returns a book without orders.
func NewBook() *Book {
	return &Book{entries: make(map[string]*entry), completed: make(map[string]Key)}
}

// Put records an order as the store holds it under a name. An ended order that returns as running,
// from an older copy of the store, stays ended. unix is the time of day.
func (b *Book) Put(name string, o Order, now time.Duration, unix time.Time) {
	defer b.updateWaiting(now)
	before := b.entries[name]
	if o.Status.State == Completed {
		b.completed[o.Service] = Key{Service: o.Service, Created: o.Created, Target: o.Status.TargetVersion}
	}
	if o.Status.TargetVersion != o.TargetVersion {
		o.Status = Status{} // it is that of an earlier order in the same object
	}
	if before == nil || before.order.Key() != o.Key() {
		e := &entry{order: o, start: now, witnessed: true}
		if age := time.Duration(unix.UnixMilli()-o.Status.StartUnixMs) * time.Millisecond; o.Status.StartUnixMs > 0 && age > maxFirstAge {
			e.start, e.witnessed = now-age, false
		}
		e.observePromotion(now)
		b.entries[name] = e
		return
	}
	known := before.order.Status
	before.order = o
	ended := known.State == Completed || known.State == RolledBack
	if before.behind = ended && o.Status.State != Completed && o.Status.State != RolledBack; before.behind {
		before.order.Status = known
	}
	before.observePromotion(now)
}

// observePromotion notes when the phase Promote was first seen, and forgets it in other phases.
func (e *entry) observePromotion(now time.Duration) {
	if e.order.Status.State == Running && e.order.Status.Phase == Promote {
		if e.promotedAt == 0 {
			e.promotedAt = now
		}
		return
	}
	e.promotedAt = 0
}

// updateWaiting restarts the time of each order that waited for another one and is now in force.
func (b *Book) updateWaiting(now time.Duration) {
	for name, e := range b.entries {
		if e.state() != None {
			continue
		}
		inForce, _ := b.current(e.order.Service)
		if inForce == name && e.waited {
			e.start, e.witnessed = now, true
		}
		e.waited = inForce != name
	}
}

// Remove forgets the order of an object.
func (b *Book) Remove(name string, now time.Duration) {
	delete(b.entries, name)
	b.updateWaiting(now)
}

// ServiceOf returns the service of the order under a name, empty if there is none.
func (b *Book) ServiceOf(name string) string {
	if e := b.entries[name]; e != nil {
		return e.order.Service
	}
	return ""
}

// MarkBad records that an instance has found the new version of an order bad, and reports whether
// that is new.
func (b *Book) MarkBad(k Key, reason string, now time.Duration) bool {
	for _, e := range b.entries {
		if e.order.Key() == k && !e.ended() {
			e.bad = reason
			b.updateWaiting(now)
			return true
		}
	}
	return false
}

// AdoptStart sets the start of an order, as seen by an instance that witnessed it, unless this instance
// witnessed it too.
func (b *Book) AdoptStart(k Key, start time.Duration) {
	for _, e := range b.entries {
		if e.order.Key() == k && !e.witnessed {
			e.start = start
		}
	}
}

// View is what the choice of a searcher needs to know of the orders of a service.
type View struct {
	// Completed is the last completed order, zero if none is known.
	Completed Key
	// Barred holds the targets of all orders that are not completed.
	Barred []string
	// Active says that an order runs, with the fields below.
	Active   bool
	Order    Key
	Phase    Phase
	Start    time.Duration
	Duration time.Duration
}

// View returns the view of a service.
func (b *Book) View(service string) View {
	v := View{Completed: b.completed[service]}
	for _, e := range b.entries {
		if e.order.Service == service && e.state() != Completed {
			v.Barred = append(v.Barred, e.order.TargetVersion)
		}
	}
	if _, e := b.current(service); e != nil && e.state() == Running {
		v.Active, v.Order, v.Phase, v.Start, v.Duration = true, e.order.Key(), e.order.Status.Phase, e.start, e.order.Duration
		if v.Phase == Ramp && e.order.Status.Share < rampShare {
			v.Phase = Canary // the ramp has ended early
		}
	}
	return v
}

// current returns the order of a service that is in force, with its name: the running one, else
// the first that has not begun.
func (b *Book) current(service string) (string, *entry) {
	var names []string
	for name, e := range b.entries {
		if e.order.Service == service && (e.state() == Running || e.state() == None) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "", nil
	}
	first := slices.MinFunc(names, func(x, y string) int {
		ex, ey := b.entries[x], b.entries[y]
		if running := ex.state() == Running; running != (ey.state() == Running) {
			if running {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(ex.order.Created, ey.order.Created), cmp.Compare(x, y))
	})
	return first, b.entries[first]
}

// Current is an order that is in force, or whose status has to be written.
type Current struct {
	Name        string
	Order       Order
	Start       time.Duration
	Witnessed   bool
	PromotedFor time.Duration
	// Bad says why the new version is bad, empty if it is not known to be.
	Bad string
	// Rewrite says that the store has an older status than Order.
	Rewrite bool
}

// Current returns the orders in force and those whose status the store lacks, sorted by name.
func (b *Book) Current(now time.Duration) []Current {
	var all []Current
	for name, e := range b.entries {
		inForce, _ := b.current(e.order.Service)
		unwritten := e.bad != "" && e.order.Status.State != Completed && e.order.Status.State != RolledBack
		if inForce != name && !e.behind && !unwritten {
			continue
		}
		c := Current{Name: name, Order: e.order, Start: e.start, Witnessed: e.witnessed, Bad: e.bad, Rewrite: e.behind}
		if e.promotedAt > 0 {
			c.PromotedFor = now - e.promotedAt
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(x, y Current) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

// Waiting returns the names of the orders that wait until another order of their service has ended.
func (b *Book) Waiting() []string {
	var names []string
	for name, e := range b.entries {
		if inForce, _ := b.current(e.order.Service); e.state() == None && inForce != name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
