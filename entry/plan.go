package entry

import (
	"maps"
	"reflect"
	"slices"
	"sync"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/settings"
	"github.com/wisteriawharf/wisteriawharf/snapshot"
)

// plan is the layouts of one service. It holds until something that it was made
// from changes: the settings of the service, the members of a record of its
// searchers, any order or suspicion, or what brokers report of its searchers.
type plan struct {
	// view is the newest view under which the plan was found to hold.
	view      *control.View
	general   uint64
	members   map[string]uint64
	searchers map[string]bool
	// stale is set once a report altered one of its searchers.
	stale    bool
	replicas []replica
	layouts  []*snapshot.Layout
}

// basis is what plans need of the newest view. Its numbers rise with each change
// of what they stand for. The maps are replaced, never changed.
type basis struct {
	view *control.View
	// members counts the changes of the members of each domain's record.
	members map[string]uint64
	// general counts the changes of orders and suspicions.
	general   uint64
	suspected map[string]bool
}

// follow returns the basis under a newer view. Most views differ by a renewal or a roster, so that little is compared.
func (b basis) follow(view *control.View) basis {
	next := basis{view: view, members: b.members, general: b.general, suspected: b.suspected}
	if b.view == nil {
		b.view = &control.View{}
	}
	if changed := changedRecords(b.view.Records, view.Records); len(changed) > 0 {
		next.members = maps.Clone(b.members)
		if next.members == nil {
			next.members = make(map[string]uint64)
		}
		for _, domain := range changed {
			next.members[domain]++
		}
	}
	if !maps.Equal(b.view.Rosters, view.Rosters) {
		next.suspected = view.Suspected()
	}
	if !maps.Equal(b.suspected, next.suspected) || !maps.Equal(b.view.Recorded, view.Recorded) ||
		(len(b.view.Direct) > 0 || len(view.Direct) > 0) && !reflect.DeepEqual(b.view.Direct, view.Direct) {
		next.general++
	}
	return next
}

// changedRecords returns the failure domains whose searchers may have other
// owners.
func changedRecords(old, next map[string]*control.Record) []string {
	var changed []string
	for domain, r := range next {
		if o := old[domain]; o != r && (o == nil || !assign.SameOwners(o.Members, r.Members)) {
			changed = append(changed, domain)
		}
	}
	for domain := range old {
		if next[domain] == nil {
			changed = append(changed, domain)
		}
	}
	return changed
}

// plan returns the layouts of a service under the newest view, newest first.
func (t *table) plan(s *settings.Service) *plan {
	t.mu.Lock()
	p := t.current(s)
	t.mu.Unlock()
	if p == nil {
		p = t.build(s)
	}
	return p
}

// current returns the plan of a service if it still holds, or nil. The caller
// holds the lock.
func (t *table) current(s *settings.Service) *plan {
	t.follow()
	p := t.plans[s]
	if p == nil || p.stale {
		return nil
	}
	if p.view != t.basis.view {
		if p.general != t.basis.general {
			return nil
		}
		for domain, changes := range p.members {
			if t.basis.members[domain] != changes {
				return nil
			}
		}
		p.view = t.basis.view
	}
	return p
}

// follow takes the newest view. The plans of services that are no longer in the
// settings are dropped; a query that began under older settings makes one of its
// own. The caller holds the lock.
func (t *table) follow() {
	view := t.view()
	if view == t.basis.view {
		return
	}
	former := t.basis.view
	t.basis = t.basis.follow(view)
	if view.Settings != nil && (former == nil || former.Settings != view.Settings) {
		maps.DeleteFunc(t.plans, func(s *settings.Service, _ *plan) bool { return view.Settings.Services[s.Name] != s })
		maps.DeleteFunc(t.builders, func(name string, _ *builder) bool { return view.Settings.Services[name] == nil })
	}
}

// build makes the plan of a service. Queries of other services do not wait for
// it: the table is locked only while the reports are read, not while owners and
// layouts are computed.
func (t *table) build(s *settings.Service) *plan {
	t.mu.Lock()
	b := t.builders[s.Name]
	if b == nil {
		b = &builder{}
		t.builders[s.Name] = b
	}
	t.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	t.mu.Lock()
	if p := t.current(s); p != nil {
		// Another query made it meanwhile.
		t.mu.Unlock()
		return p
	}
	basis := t.basis
	t.mu.Unlock()

	places := b.places(s, basis)
	p := &plan{view: basis.view, general: basis.general, members: b.members, searchers: make(map[string]bool, len(places))}
	for _, place := range places {
		p.searchers[place.searcher.ID] = true
	}
	t.mu.Lock()
	version := t.version
	held := t.gather(p, s, places, basis.suspected)
	t.mu.Unlock()
	p.layouts = snapshot.Layouts(held)
	t.mu.Lock()
	p.stale = version != t.version
	t.plans[s] = p
	t.mu.Unlock()
	return p
}

// builder makes the plans of one service, one at a time. It keeps the owners of
// the service's searchers, which are costly to compute.
type builder struct {
	mu      sync.Mutex
	indexes []settings.Index
	owners  []string
	// members are the changes of records for which the owners were computed.
	members map[string]uint64
}

// place is a searcher with its owner, empty if it has none, and whether an order
// keeps work from it.
type place struct {
	searcher               settings.Searcher
	owner                  string
	domainOut, searcherOut bool
}

// places returns the searchers of the service, and computes the owners of those
// in records whose members changed.
func (b *builder) places(s *settings.Service, basis basis) []place {
	if !slices.EqualFunc(b.indexes, s.Indexes, sameIndex) {
		b.owners, b.members = nil, nil
	}
	b.indexes = s.Indexes
	var places []place
	members := make(map[string]uint64)
	out := make(map[string]bool)
	for _, index := range s.Indexes {
		for _, u := range index.Searchers {
			domain := u.FailureDomain
			if _, seen := members[domain]; !seen {
				members[domain] = basis.members[domain]
				out[domain] = basis.view.Out(control.OrderDomain, domain)
			}
			p := place{searcher: u, domainOut: out[domain], searcherOut: basis.view.Out(control.OrderUpstream, u.ID)}
			if b.owners != nil && b.members[domain] == members[domain] {
				p.owner = b.owners[len(places)]
			} else if owner, ok := assign.OwnerByRecord(basis.view.Records, domain, u.ID); ok {
				p.owner = owner.ID
			}
			places = append(places, p)
		}
	}
	b.owners = make([]string, len(places))
	for i := range places {
		b.owners[i] = places[i].owner
	}
	b.members = members
	return places
}

func sameIndex(a, b settings.Index) bool {
	return a.Name == b.Name && slices.Equal(a.Searchers, b.Searchers)
}
