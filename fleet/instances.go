package fleet

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

// Instance is one instance of this system.
type Instance struct {
	Name          string
	FailureDomain string
	// CallerAddress is where it serves callers, InternalAddress where it serves
	// other instances.
	CallerAddress   string
	ReadyAddress    string
	InternalAddress string
	// StartUnixMs is the Unix millisecond of its start.
	StartUnixMs int64
	// Revision is that of its entry in the store.
	Revision int64
}

const (
	// silentAfter is how long an instance may be silent before callers are no
	// longer sent to it.
	silentAfter = 2500 * time.Millisecond
	// countedFor is how long a silent instance still counts as one that may use
	// its part of the shared budgets.
	countedFor = 12 * time.Second
	// forgottenAfter is how long a silent instance's entry is kept.
	forgottenAfter = 60 * time.Second
)

// Instances is the set of instances. It is safe for concurrent use.
type Instances struct {
	mu      sync.Mutex
	self    string
	domain  string
	members map[string]*member
	// left holds when instances left that may still use their part of the budgets.
	left map[string]time.Duration
}

type member struct {
	instance Instance
	// heard is when its last heartbeat came, at first when its entry was seen;
	// ready is what it said of itself then.
	heard time.Duration
	ready bool
	// follows says that it reaches the store, or would if it were to.
	follows bool
}

// NewInstances returns a set that holds only the instance itself.
func NewInstances(self Instance) *Instances {
	return &Instances{self: self.Name, domain: self.FailureDomain, members: map[string]*member{self.Name: {instance: self}}, left: make(map[string]time.Duration)}
}

// Put takes an entry of the store.
func (s *Instances) Put(i Instance, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[i.Name]
	delete(s.left, i.Name)
	if i.Name == s.self {
		// The instance knows itself better than an entry of an earlier start.
		m.instance.Revision = i.Revision
		return
	}
	if m == nil || m.instance.StartUnixMs != i.StartUnixMs {
		s.members[i.Name] = &member{instance: i, heard: now}
		return
	}
	m.instance = i
}

// Remove takes an instance off the set because its entry is gone. It counts among
// the sharers for some time: a planned stop goes on serving.
func (s *Instances) Remove(name string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != s.self && s.members[name] != nil {
		delete(s.members, name)
		s.left[name] = now
	}
}

// RecordHeartbeat notes a heartbeat. It returns the instance, and false if it is not known
// or the heartbeat is of another start than its entry.
func (s *Instances) RecordHeartbeat(name string, started int64, now time.Duration, says HeartbeatStatus) (Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[name]
	if m == nil || name == s.self || m.instance.StartUnixMs != started {
		return Instance{}, false
	}
	m.heard = now
	m.ready = says.Ready
	m.follows = says.StoreReachable
	return m.instance, true
}

// HeartbeatStatus is what an instance says of itself in a heartbeat.
type HeartbeatStatus struct {
	// Ready says that it serves callers, Follows that it does not find the store
	// unreachable.
	Ready   bool
	StoreReachable bool
}

// randomTargets is how many instances of another failure domain get a heartbeat
// beside the first ones.
const randomTargets = 1

// HeartbeatTargets returns the instances that get a heartbeat: all of the own failure
// domain, and from an instance that leads the first ones of the others, and some
// drawn at random in case those are gone.
func (s *Instances) HeartbeatTargets(leads bool) []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var targets []Instance
	far := make(map[string][]Instance)
	for name, m := range s.members {
		switch i := m.instance; {
		case name == s.self:
		case i.FailureDomain == s.domain:
			targets = append(targets, i)
		case leads:
			far[i.FailureDomain] = append(far[i.FailureDomain], i)
		}
	}
	for _, all := range far {
		sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
		first := min(len(all), firstTargets)
		targets = append(targets, all[:first]...)
		if rest := all[first:]; len(rest) > 0 {
			for range randomTargets {
				targets = append(targets, rest[rand.IntN(len(rest))])
			}
		}
	}
	return targets
}

// firstTargets is how many of another failure domain's instances always get a
// heartbeat.
const firstTargets = 2

// Expired returns the instances of the own failure domain that have been silent
// for so long that their entries can be removed.
func (s *Instances) Expired(now time.Duration) []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent []Instance
	for name, m := range s.members {
		if name != s.self && m.instance.FailureDomain == s.domain && now-m.heard > forgottenAfter {
			silent = append(silent, m.instance)
		}
	}
	return silent
}

// CountBudgetSharers returns how many instances divide the shared budgets among them: all
// that are entered, but those of the own failure domain that have been silent for
// some time. Others are not all heard from, and count until their entries go.
func (s *Instances) CountBudgetSharers(now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, m := range s.members {
		if name == s.self || m.instance.FailureDomain != s.domain || now-m.heard <= countedFor {
			n++
		}
	}
	for name, at := range s.left {
		if now-at <= countedFor {
			n++
		} else {
			delete(s.left, name)
		}
	}
	return n
}

// minAddresses is how many addresses callers get at least, if there are as many:
// with one address alone they have nowhere to go when it fails.
const minAddresses = 2

// maxAddresses bounds an answer.
const maxAddresses = 64

// CallerAddresses returns the addresses that callers in a failure domain should use:
// the ready instances there, and others if these are too few. The instance
// itself is among them only if selfReady.
func (s *Instances) CallerAddresses(domain string, now time.Duration, selfReady bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var near, far []string
	for name, m := range s.members {
		usable := m.usable(now)
		if name == s.self {
			usable = selfReady
		}
		if !usable {
			continue
		}
		if m.instance.FailureDomain == domain {
			near = append(near, m.instance.CallerAddress)
		} else {
			far = append(far, m.instance.CallerAddress)
		}
	}
	sort.Strings(near)
	sort.Strings(far)
	if len(near) < minAddresses {
		near = append(near, far...)
	}
	return near[:min(len(near), maxAddresses)]
}

func (m *member) usable(now time.Duration) bool { return m.ready && now-m.heard <= silentAfter }

// minLeaders is how many instances lead at least, if there are as many.
const minLeaders = 2

// IsLeader reports whether this instance is one of the few that ask the store for
// news, on behalf of all: the first one of each failure domain that is ready and
// reaches the store, and the first two of a domain that is the only one. It needs no
// agreement: when views differ, more of them lead.
func (s *Instances) IsLeader(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	beforeInDomain, otherDomains := 0, false
	for name, m := range s.members {
		switch {
		case name == s.self || !m.usable(now) || !m.follows:
		case m.instance.FailureDomain != s.domain:
			otherDomains = true
		case name < s.self:
			beforeInDomain++
		}
	}
	return beforeInDomain == 0 || !otherDomains && beforeInDomain < minLeaders
}
