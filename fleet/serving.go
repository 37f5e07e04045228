package fleet

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Callers are sent to the serving instances of a failure domain only, the ones with the most
// processor time. The others stand by. Each serving instance then gets enough requests to keep
// its connections open, to know the latencies of the searchers, and to use its share of the
// budgets, which hundreds of instances with a request every few seconds do not. The set grows
// with the load, and when instances are lost others take their place.
const (
	// minServing is the smallest number of serving instances. A caller may leave out each
	// address at which a request of its own has failed, whoever was at fault.
	minServing = 4
	// minServingShare is the smallest share of the processor time of a failure domain's
	// instances that its serving ones have.
	minServingShare = 1.0 / 6
	// loadHeadroom is how many times the recent load the serving instances can carry.
	loadHeadroom = 3
	// loadHalfLife is the time in which a load that has ended counts half, so that the set
	// does not shrink in each short pause.
	loadHalfLife = 10 * time.Second
	// unknownCores is the assumed processor time of an instance whose entry states none.
	unknownCores = 1.0
)

// cores returns the processor time that the instance can use, in cores.
func (i Instance) cores() float64 {
	if i.Cores > 0 {
		return i.Cores
	}
	return unknownCores
}

// servingCandidate is an instance that is alive and ready, with its load in cores.
type servingCandidate struct {
	instance Instance
	load     float64
}

// recentLoad is the load of a failure domain, in cores, which falls slowly. The zero value is
// ready for use.
type recentLoad struct {
	value float64
	at    time.Duration
}

// update returns the load that counts, given the present one.
func (l *recentLoad) update(now time.Duration, present float64) float64 {
	past := l.value * math.Exp2(-float64(now-l.at)/float64(loadHalfLife))
	l.value, l.at = max(past, present), now
	return l.value
}

// sortByCores sorts the candidates: those with more processor time first.
func sortByCores(candidates []servingCandidate) {
	slices.SortFunc(candidates, func(a, b servingCandidate) int { return compareByCores(a.instance, b.instance) })
}

// compareByCores compares instances by the order in which callers are sent to them.
func compareByCores(a, b Instance) int {
	switch {
	case a.cores() > b.cores():
		return -1
	case a.cores() < b.cores():
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

// fetchSpacing is the time between the fetches of two instances that stand by, on average. Each fetches
// tens of kilobytes after a change of the configuration, more after many changes of searchers.
const fetchSpacing = 20 * time.Millisecond

// FetchSpread returns the time over which this instance and others like it should spread their
// fetches of changes, so that these don't fill the links of the instances that know them. It is zero
// in a small failure domain, and for instances that serve callers or are relays.
func (s *Instances) FetchSpread(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isMesh() || s.hasSubscribers(now) {
		return 0
	}
	serving, standby := s.domainSharers(now)
	if slices.Contains(serving, s.self) {
		return 0
	}
	return time.Duration(len(standby)) * fetchSpacing
}

// Serves reports whether callers are sent to this instance, or may still use its address.
func (s *Instances) Serves(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[s.self]
	return k.served && now-k.servedAt <= sharerTimeout
}

// countNeeded returns how many of the sorted candidates have to serve, given the load of all.
func countNeeded(sorted []servingCandidate, load float64) int {
	total := 0.0
	for _, c := range sorted {
		total += c.instance.cores()
	}
	required := max(total*minServingShare, load*loadHeadroom)
	capacity := 0.0
	for i, c := range sorted {
		if i >= minServing && capacity >= required {
			return i
		}
		capacity += c.instance.cores()
	}
	return len(sorted)
}

// serving returns the serving instances of a failure domain, those with the most processor
// time first. The caller holds the lock.
func (s *Instances) serving(domain string, now time.Duration, selfReady bool) []Instance {
	var candidates []servingCandidate
	load := 0.0
	timeout := s.heartbeatTimeout()
	for name, k := range s.known {
		usable := k.aliveAndReady(now, timeout)
		if name == s.self {
			usable = selfReady
		}
		if usable && k.instance.FailureDomain == domain {
			candidates = append(candidates, servingCandidate{instance: k.instance, load: k.load})
			load += k.load
		}
	}
	if s.recentLoads[domain] == nil {
		s.recentLoads[domain] = &recentLoad{}
	}
	sortByCores(candidates)
	needed := countNeeded(candidates, s.recentLoads[domain].update(now, load))
	var serving []Instance
	for _, c := range candidates[:needed] {
		serving = append(serving, c.instance)
	}
	return serving
}

// standbyShare is the share of the budgets of a failure domain that the instances standing by
// have together. Callers may still use their addresses for a time.
const standbyShare = 0.1

// SharedBy returns by how many the budgets of the services, and the connections that the
// searchers accept, have to be divided to get the part of this instance. Where all instances
// serve, it is CountBudgetSharers. In a failure domain with instances that stand by, those that
// served within sharerTimeout share most of what the domain has.
func (s *Instances) SharedBy(now time.Duration, selfReady bool) int {
	total := s.CountBudgetSharers(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.serving(s.domain, now, selfReady) {
		k := s.known[i.Name]
		k.served, k.servedAt = true, now
	}
	serving, standby := s.domainSharers(now)
	if len(serving) == 0 || len(standby) == 0 {
		return total
	}
	group, share := serving, 1-standbyShare
	if !slices.Contains(serving, s.self) {
		group, share = standby, standbyShare
	}
	// All instances of the domain together have inDomain of total parts.
	inDomain := len(serving) + len(standby)
	return int(math.Ceil(float64(len(group)) / share * float64(total) / float64(inDomain)))
}

// domainSharers returns the sorted names of the instances of the own failure domain: those
// that served within sharerTimeout, and the others. The caller holds the lock.
func (s *Instances) domainSharers(now time.Duration) (serving, standby []string) {
	for name, k := range s.known {
		switch {
		case k.instance.FailureDomain != s.domain:
		case k.served && now-k.servedAt <= sharerTimeout:
			serving = append(serving, name)
		default:
			standby = append(standby, name)
		}
	}
	slices.Sort(serving)
	slices.Sort(standby)
	return serving, standby
}

// Position returns the place of this instance in the order of all instances that share the
// budgets, from 0 to below 1. The order is that of the failure domains, and in each of them
// the serving instances come first. The positions are spread as the budgets are: instances
// with equal parts have equal distances.
func (s *Instances) Position(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := 0
	for _, k := range s.known {
		if k.instance.FailureDomain < s.domain {
			before++
		}
	}
	serving, standby := s.domainSharers(now)
	group, start, width := serving, 0.0, 1-standbyShare
	i, serves := slices.BinarySearch(serving, s.self)
	if !serves {
		i, _ = slices.BinarySearch(standby, s.self)
		group, start, width = standby, 1-standbyShare, standbyShare
	}
	if len(serving) == 0 || len(standby) == 0 {
		start, width = 0, 1
	}
	inDomain := float64(len(serving) + len(standby))
	offset := (start + width*float64(i)/float64(len(group))) * inDomain
	return (float64(before) + offset) / float64(len(s.known))
}

// SetLoad sets the load of this instance, in cores.
func (s *Instances) SetLoad(load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[s.self].load = load
}

// Load returns the load of this instance, in cores.
func (s *Instances) Load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[s.self].load
}
