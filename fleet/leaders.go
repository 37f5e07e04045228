package fleet

import (
	"cmp"
	"slices"
	"time"
)

// LeaderCandidates returns the instances that are leaders or would be next: of the own failure
// domain the first ones by name that are ready and reach the store, this one included if it is
// among them, and of each other domain the first ones by name. Those of other domains may be silent,
// since most instances hear nothing of them.
func (s *Instances) LeaderCandidates(now time.Duration) (own, others []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	timeout := s.heartbeatTimeout()
	byDomain := make(map[string][]Instance)
	for name, k := range s.known {
		domain := k.instance.FailureDomain
		if domain != s.domain || name == s.self || k.aliveAndReady(now, timeout) && k.storeReachable {
			byDomain[domain] = append(byDomain[domain], k.instance)
		}
	}
	for domain, candidates := range byDomain {
		slices.SortFunc(candidates, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
		candidates = candidates[:min(len(candidates), firstTargetsPerDomain)]
		if domain == s.domain {
			own = candidates
		} else {
			others = append(others, candidates...)
		}
	}
	return own, others
}

// InDomain returns the other instances of the own failure domain.
func (s *Instances) InDomain() []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Instance
	for name, k := range s.known {
		if name != s.self && k.instance.FailureDomain == s.domain {
			all = append(all, k.instance)
		}
	}
	return all
}
