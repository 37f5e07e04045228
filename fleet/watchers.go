package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// askersPerSource is how many instances of a failure domain ask the same one, which gets 53
	// questions a second of them.
	askersPerSource = 16
	// otherSourceDomains is how many other failure domains are asked in turn.
	otherSourceDomains = 3
	// sourcesPerDomain is how many instances of each of them are asked.
	sourcesPerDomain = 2
)

// FreshnessSources returns the instances that this one asks whether its configuration is current, the
// best one first. The first instances by name of the failure domain ask its leader. The others ask one
// of these, so that a leader is not asked by all. Then follow the leader, and the instances of other
// failure domains that are probably leaders there, for when the first one does not answer.
func (s *Instances) FreshnessSources(now time.Duration) []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeout := s.heartbeatTimeout()
	var near, silent []Instance
	byDomain := make(map[string][]Instance)
	for name, k := range s.known {
		switch {
		case name == s.self:
		case k.instance.FailureDomain != s.domain:
			byDomain[k.instance.FailureDomain] = append(byDomain[k.instance.FailureDomain], k.instance)
		case k.aliveAndReady(now, timeout) && k.storeReachable:
			near = append(near, k.instance)
		default:
			silent = append(silent, k.instance)
		}
	}
	byName := func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(near, byName)
	slices.SortFunc(silent, byName)
	hash := xxhash.Sum64String(s.self)
	var sources []Instance
	add := func(candidates []Instance, n int) {
		for _, i := range candidates[:min(n, len(candidates))] {
			if !slices.ContainsFunc(sources, func(have Instance) bool { return have.Name == i.Name }) {
				sources = append(sources, i)
			}
		}
	}
	first := len(near)/askersPerSource + 1
	if first > 1 && near[first-1].Name < s.self {
		add(near[1+hash%uint64(first-1):], 1)
	}
	add(near, 1)
	others := s.otherDomains(s.domain)
	slices.Sort(others)
	for i := range min(len(others), otherSourceDomains) {
		domain := byDomain[others[(uint64(i)+hash)%uint64(len(others))]]
		slices.SortFunc(domain, byName)
		add(domain, sourcesPerDomain)
	}
	add(near, sourcesPerDomain)
	add(silent, sourcesPerDomain)
	return sources
}
