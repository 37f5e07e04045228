package settings

import "maps"

// index is a Set with what is needed to tell whether a changed service agrees
// with the others.
type index struct {
	set *Set
	// addresses holds the searcher's identifier by address.
	addresses map[string]string
	// shared holds the searchers of more than one service. It is not changed once
	// the index is built.
	shared map[string]bool
}

// newIndex returns the index of services that are valid each of itself, or nil
// if checkTogether finds a problem in them.
func newIndex(services []*Service) *index {
	x := &index{set: NewSet(nil), addresses: make(map[string]string), shared: make(map[string]bool)}
	for _, s := range services {
		if !x.add(s) {
			return nil
		}
	}
	return x
}

// change returns an index with other services, or nil if only newIndex can tell
// what it is: a searcher is or was shared, or the services may not agree. Its cost
// besides a copy of the maps is that of the services that change.
func (x *index) change(removed, added []*Service) *index {
	next := &index{
		set:       &Set{Services: maps.Clone(x.set.Services), Searchers: maps.Clone(x.set.Searchers)},
		addresses: maps.Clone(x.addresses),
		shared:    x.shared,
	}
	for _, s := range removed {
		delete(next.set.Services, s.Name)
		for _, u := range s.AllSearchers() {
			if x.shared[u.ID] {
				return nil
			}
			delete(next.set.Searchers, u.ID)
			delete(next.addresses, u.Address)
		}
	}
	for _, s := range added {
		for _, u := range s.AllSearchers() {
			if _, ok := next.set.Searchers[u.ID]; ok {
				return nil
			}
		}
		if !next.add(s) {
			return nil
		}
	}
	return next
}

// add takes one more service, and reports whether it agrees with the others.
func (x *index) add(s *Service) bool {
	if x.set.Services[s.Name] != nil {
		return false
	}
	x.set.Services[s.Name] = s
	return s.place(func(p Placement) bool {
		if id, ok := x.addresses[p.Address]; ok && id != p.ID {
			return false
		}
		if first, ok := x.set.Searchers[p.ID]; ok {
			if first.Searcher != p.Searcher || first.Service.Limits != s.Limits {
				return false
			}
			x.shared[p.ID] = true
		}
		x.addresses[p.Address] = p.ID
		x.set.Searchers[p.ID] = p
		return true
	})
}
