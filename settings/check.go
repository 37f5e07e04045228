package settings

import (
	"fmt"
)

// checkService reports what is wrong between the fields of one service.
func checkService(s *section, v *Service) {
	r := s.r
	if v.SoftDeadline > 0 && v.Deadline > 0 && v.SoftDeadline > v.Deadline {
		r.report(s.position("soft_deadline"), "soft_deadline", "at most the deadline ("+v.Deadline.String()+")",
			"%s is above the deadline", v.SoftDeadline)
	}
	checkKind(s, v.Kind)
	switch v.Kind {
	case KindSearch:
		checkIndexes(s, v)
	case KindBooking:
		if _, wrong := s.keys["indexes"]; !wrong && len(s.list("searchers")) == 0 {
			r.report(s.position("searchers"), "searchers", "at least one searcher", "a booking has no searchers")
		}
	}
}

func checkLimits(limits, cold *section, l Limits) {
	if l.Slots > 0 && l.Connections > 0 && l.Slots > l.Connections {
		limits.r.report(limits.position("slots"), "limits.slots", fmt.Sprintf("at most connections (%d)", l.Connections),
			"%d is above connections", l.Slots)
	}
	if l.Slots > 0 && l.Cold.Allowance > l.Slots {
		cold.r.report(cold.position("allowance"), "limits.cold.allowance", fmt.Sprintf("at most slots (%d)", l.Slots),
			"%d is above slots", l.Cold.Allowance)
	}
}

// checkKind reports fields that the kind of service does not take.
func checkKind(s *section, kind Kind) {
	if kind == "" {
		return
	}
	for _, f := range s.r.fields {
		at, present := s.keys[f.Key]
		if present && f.Only != "" && f.Only != kind {
			s.r.report(at, f.Key, "this key in services of kind "+string(f.Only), "does not belong to a %s", kind)
		}
	}
}

// checkIndexes reports indexes that do not have the shards 0 to n-1.
func checkIndexes(s *section, v *Service) {
	elements := s.list("indexes")
	if len(elements) == 0 {
		s.r.report(s.position("indexes"), "indexes", "at least one index", "a search has no indexes")
		return
	}
	if len(v.Indexes) != len(elements) {
		return // An element that is no mapping was reported.
	}
	names, shards := make(map[string]int), make(map[uint32]int)
	allowed := fmt.Sprintf("each of the shards 0 to %d once", len(elements)-1)
	for i, index := range v.Indexes {
		at, label := nodePosition(elements[i]), fmt.Sprintf("indexes[%d].", i)
		if len(index.Searchers) == 0 {
			s.r.report(at, label+"searchers", "at least one searcher", "the index has no searchers")
		}
		if first, ok := names[index.Name]; ok && index.Name != "" {
			s.r.report(at, label+"name", "each name once", "%q is the name of indexes[%d] already", index.Name, first)
		} else {
			names[index.Name] = i
		}
		if first, ok := shards[index.Shard]; ok {
			s.r.report(at, label+"shard", allowed, "%d is the shard of indexes[%d] already", index.Shard, first)
		} else if int(index.Shard) >= len(elements) {
			s.r.report(at, label+"shard", allowed, "%d leaves a gap", index.Shard)
		} else {
			shards[index.Shard] = i
		}
	}
}

// checkSearchers reports searchers that stand twice in one service.
func (p *parsedService) checkSearchers(s *section) {
	ids, addresses := make(map[string]int), make(map[string]string)
	for _, u := range p.searchers {
		if line, ok := ids[u.ID]; ok && u.ID != "" {
			s.r.report(u.at, u.key, "each id once in a service", "%q stands in line %d already", u.ID, line)
			continue
		}
		ids[u.ID] = u.at.line
		if other, ok := addresses[u.Address]; ok && u.Address != "" {
			s.r.report(u.at, u.key, "one id for each address", "%q has the address of %q", u.ID, other)
		}
		addresses[u.Address] = u.ID
	}
}

// checkTogether reports what is wrong between the services of a revision. Two
// services may share a searcher only if they agree on everything that its owner
// has to keep, because one owner keeps one set of limits.
func checkTogether(all []parsedService) []Problem {
	c := together{services: make(map[string]parsedService), ids: make(map[string]shared), addresses: make(map[string]shared)}
	for _, p := range all {
		c.add(p)
	}
	return c.problems
}

// shared is a searcher with the service that named it first.
type shared struct {
	placedSearcher
	owner parsedService
}

type together struct {
	services  map[string]parsedService
	ids       map[string]shared
	addresses map[string]shared
	problems  []Problem
}

func (c *together) report(path string, at position, key, allowed, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Path: path, Line: at.line, Column: at.column, Key: key,
		Text: fmt.Sprintf(format, args...), Allowed: allowed,
	})
}

func (c *together) add(p parsedService) {
	if p.service.Name != "" {
		if first, ok := c.services[p.service.Name]; ok {
			c.report(p.path, p.at, "service", "each service in one file", "%q is defined in %s already", p.service.Name, first.path)
		} else {
			c.services[p.service.Name] = p
		}
	}
	for _, u := range p.searchers {
		if u.ID != "" && u.Address != "" {
			c.addSearcher(p, u)
		}
	}
}

func (c *together) addSearcher(p parsedService, u placedSearcher) {
	if other, ok := c.addresses[u.Address]; ok && other.ID != u.ID && other.owner.path != p.path {
		c.report(p.path, u.at, u.key, "one id for each address", "%q has the address of %q in %s:%d", u.ID, other.ID, other.owner.path, other.at.line)
	} else if !ok {
		c.addresses[u.Address] = shared{u, p}
	}
	first, ok := c.ids[u.ID]
	if !ok {
		c.ids[u.ID] = shared{u, p}
		return
	}
	if first.owner.path == p.path {
		return // Reported with the service.
	}
	where := fmt.Sprintf("%s:%d", first.owner.path, first.at.line)
	if first.Address != u.Address || first.FailureDomain != u.FailureDomain {
		c.report(p.path, u.at, u.key, "the same address and failure domain for one id",
			"%q has another address or failure domain in %s", u.ID, where)
	}
	if first.owner.service.Limits != p.service.Limits {
		c.report(p.path, u.at, u.key, "the same limits in all services that share a searcher",
			"%q has other limits in %s", u.ID, where)
	}
}
