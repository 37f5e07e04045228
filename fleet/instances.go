package fleet

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"
)

// Instance is an instance of the query tier as its entry in the store describes it.
type Instance struct {
	Name          string
	FailureDomain string
	// CallerAddress is where the instance serves callers, ReadyAddress where it answers
	// readiness checks, InternalAddress where it serves other instances.
	CallerAddress   string
	ReadyAddress    string
	InternalAddress string
	// StartUnixMs is the start of the instance as a Unix time in milliseconds.
	StartUnixMs int64
	// Cores is the processor time that the instance can use, in cores. Zero means that it
	// is not known.
	Cores float64
}

const (
	// maxHeartbeatAge is the age of the last heartbeat above which callers are no longer
	// sent to an instance. See also maxRelayedHeartbeatAge.
	maxHeartbeatAge = 2500 * time.Millisecond
	// sharerTimeout is how long an instance that is silent, or whose entry was removed,
	// still counts as one of those that share the budgets and connections.
	sharerTimeout = 12 * time.Second
	// expiryTimeout is how long the entry of a silent instance is kept.
	expiryTimeout = 60 * time.Second
)

// Instances is the set of known instances, this one included. It is safe for concurrent
// use.
type Instances struct {
	mu sync.Mutex
	// self is the name of this instance, domain its failure domain.
	self   string
	domain string
	// known holds the instances by name.
	known map[string]*knownInstance
	// removedAt holds, by name, when an instance was removed that may still use its share
	// of the budgets and connections.
	removedAt map[string]time.Duration
	// connectionParts is the state of ConnectionShare.
	connectionParts connectionParts
	// recentLoads holds the load of each failure domain.
	recentLoads map[string]*recentLoad
}

// knownInstance is an instance with what its last heartbeat said.
type knownInstance struct {
	instance Instance
	// lastHeartbeat is when the last heartbeat was received, or when the entry was first
	// seen if there was no heartbeat. ready is the Ready of the last heartbeat.
	lastHeartbeat time.Duration
	ready         bool
	// storeReachable is the StoreReachable of the last heartbeat, false before the first.
	storeReachable bool
	// load is the Load of the last heartbeat.
	load float64

	// servedAt is when it last served, as far as this instance knows; served says that it
	// ever did.
	servedAt time.Duration
	served   bool

	// key is the digestKey of the instance.
	key uint64
	// direct is the last heartbeat that the instance itself sent. lastHeartbeat and the
	// fields after it may also come from a digest of a relay.
	direct directHeartbeat
	// subscribedUntil is when this instance stops sending digests to the instance.
	subscribedUntil time.Duration
	// relaySince is since when the instance is used as a relay, zero if it is not.
	// lastDigest is when its last digest was received.
	relaySince time.Duration
	lastDigest time.Duration
}

// directHeartbeat is a heartbeat that came from the instance itself.
type directHeartbeat struct {
	received bool
	at       time.Duration
	status   HeartbeatStatus
}

// NewInstances returns a set that holds only this instance.
func NewInstances(self Instance) *Instances {
	return &Instances{
		self: self.Name, domain: self.FailureDomain, known: map[string]*knownInstance{self.Name: {instance: self}},
		removedAt: make(map[string]time.Duration), recentLoads: make(map[string]*recentLoad),
	}
}

// Put adds or updates an instance from its entry in the store. An entry of another start of
// the instance replaces the known one, which then counts as not ready until a heartbeat is
// received. This instance's own entry is not used: it may be from an earlier start.
func (s *Instances) Put(i Instance, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[i.Name]
	delete(s.removedAt, i.Name)
	if i.Name == s.self {
		return
	}
	if k == nil || k.instance.StartUnixMs != i.StartUnixMs {
		s.known[i.Name] = &knownInstance{instance: i, lastHeartbeat: now, key: digestKey(i)}
		return
	}
	k.instance = i
}

// Remove removes an instance whose entry was deleted. CountBudgetSharers still counts the
// instance for sharerTimeout, since it goes on serving during a planned stop. This instance
// itself is never removed.
func (s *Instances) Remove(name string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != s.self && s.known[name] != nil {
		delete(s.known, name)
		s.removedAt[name] = now
	}
}

// Sender is an instance that has sent a heartbeat.
type Sender struct {
	Instance
	// StatusChanged says that its last heartbeat had another status.
	StatusChanged bool
	// Late says that a later heartbeat came before this one, of which nothing was recorded.
	Late bool
}

// RecordHeartbeat records a heartbeat and returns the instance that sent it. startUnixMs is
// the sender's start as a Unix time in milliseconds. RecordHeartbeat returns false, and
// records nothing, if the instance is not known or is this one, or if the heartbeat is from
// another start than its entry.
func (s *Instances) RecordHeartbeat(name string, startUnixMs int64, now time.Duration, status HeartbeatStatus) (Sender, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[name]
	if k == nil || name == s.self || k.instance.StartUnixMs != startUnixMs {
		return Sender{}, false
	}
	if k.direct.received && status.precedes(k.direct.status) {
		return Sender{Instance: k.instance, Late: true}, true
	}
	sender := Sender{Instance: k.instance, StatusChanged: k.direct.received && k.direct.status.differs(status)}
	k.lastHeartbeat = now
	k.ready = status.Ready
	k.storeReachable = status.StoreReachable
	k.load = status.Load
	k.direct = directHeartbeat{received: true, at: now, status: status}
	return sender, true
}

// HeartbeatStatus is the state of an instance as stated in its heartbeat.
type HeartbeatStatus struct {
	// Sequence counts the heartbeats of a start of the instance. It is zero if that is not known.
	Sequence uint64
	// Ready says that the instance serves callers.
	Ready bool
	// StoreReachable says that the store is not known to be unreachable from there. An
	// instance that does not call the store states true.
	StoreReachable bool
	// Load is the processor time that the instance uses, in cores.
	Load float64
}

// precedes reports whether the status was stated before another one of the same start.
func (h HeartbeatStatus) precedes(other HeartbeatStatus) bool {
	return h.Sequence != 0 && h.Sequence < other.Sequence
}

// differs reports whether the status differs in more than the load.
func (h HeartbeatStatus) differs(other HeartbeatStatus) bool {
	return h.Ready != other.Ready || h.StoreReachable != other.StoreReachable
}

// randomTargetsPerDomain is how many randomly drawn instances of each other failure domain
// get a heartbeat in addition to the first ones.
const randomTargetsPerDomain = 1

// HeartbeatTargets returns the instances to send a heartbeat to. In the own failure domain
// these are all others, or the relays and those that have asked for digests. A leader also
// sends heartbeats to the other domains: in each to the first instances by name, and to
// randomly drawn ones in case the first have failed.
func (s *Instances) HeartbeatTargets(now time.Duration, leader bool) []HeartbeatTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.domainTargets(now)
	if !leader {
		return targets
	}
	byDomain := make(map[string][]Instance)
	for _, k := range s.known {
		if i := k.instance; i.FailureDomain != s.domain {
			byDomain[i.FailureDomain] = append(byDomain[i.FailureDomain], i)
		}
	}
	for _, candidates := range byDomain {
		sort.Slice(candidates, func(i, j int) bool { return candidates[i].Name < candidates[j].Name })
		fixed := min(len(candidates), firstTargetsPerDomain)
		for _, i := range candidates[:fixed] {
			targets = append(targets, HeartbeatTarget{Instance: i})
		}
		if others := candidates[fixed:]; len(others) > 0 {
			for range randomTargetsPerDomain {
				targets = append(targets, HeartbeatTarget{Instance: others[rand.IntN(len(others))]})
			}
		}
	}
	return targets
}

// firstTargetsPerDomain is how many instances of each other failure domain, the first ones
// by name, get all heartbeats of a leader.
const firstTargetsPerDomain = 2

// Resumed records that this instance was stalled for a time and could not hear the others. Their
// silence in that time does not count.
func (s *Instances) Resumed(stall time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.known {
		k.lastHeartbeat += stall
	}
}

// Expired returns the other instances of the own failure domain that have been silent for
// more than expiryTimeout, so that their entries can be removed.
func (s *Instances) Expired(now time.Duration) []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent []Instance
	for name, k := range s.known {
		if name != s.self && k.instance.FailureDomain == s.domain && now-k.lastHeartbeat > expiryTimeout {
			silent = append(silent, k.instance)
		}
	}
	return silent
}

// CountBudgetSharers returns the number of instances that share the budgets of the services
// and the connections that the searchers accept, this one included. Instances of the own
// failure domain do not count if they have been silent for more than sharerTimeout.
// Instances of other failure domains do not all send heartbeats here, so they count until
// their entries are removed. Removed instances count for sharerTimeout.
func (s *Instances) CountBudgetSharers(now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, k := range s.known {
		if name == s.self || k.instance.FailureDomain != s.domain || now-k.lastHeartbeat <= sharerTimeout {
			n++
		}
	}
	for name, removed := range s.removedAt {
		if now-removed <= sharerTimeout {
			n++
		} else {
			delete(s.removedAt, name)
		}
	}
	return n
}

// minAddresses is the number of ready instances in a failure domain below which its callers
// also get addresses in other domains. With a single address a caller has no alternative
// when that instance fails.
const minAddresses = 2

// maxAddresses is the largest number of addresses that CallerAddresses returns.
const maxAddresses = 64

// CallerAddresses returns the addresses that callers in a failure domain should use: those
// of the serving instances there, followed by those of the serving instances of other domains
// if there are fewer than minAddresses. Both groups are sorted, and at most maxAddresses
// addresses are returned. Silent instances do not count as ready. selfReady says whether this
// instance is ready.
func (s *Instances) CallerAddresses(domain string, now time.Duration, selfReady bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := s.servingAddresses(domain, now, selfReady)
	if len(addresses) < minAddresses {
		var fallback []string
		for _, other := range s.otherDomains(domain) {
			fallback = append(fallback, s.servingAddresses(other, now, selfReady)...)
		}
		sort.Strings(fallback)
		addresses = append(addresses, fallback...)
	}
	return addresses[:min(len(addresses), maxAddresses)]
}

// servingAddresses returns the sorted addresses of the serving instances of a failure domain,
// the most powerful maxAddresses of them. The caller holds the lock.
func (s *Instances) servingAddresses(domain string, now time.Duration, selfReady bool) []string {
	serving := s.serving(domain, now, selfReady)
	var addresses []string
	for _, i := range serving[:min(len(serving), maxAddresses)] {
		addresses = append(addresses, i.CallerAddress)
	}
	sort.Strings(addresses)
	return addresses
}

// otherDomains returns the failure domains of the known instances except the given one. The
// caller holds the lock.
func (s *Instances) otherDomains(domain string) []string {
	var others []string
	for _, k := range s.known {
		if d := k.instance.FailureDomain; d != domain && !slices.Contains(others, d) {
			others = append(others, d)
		}
	}
	return others
}

// aliveAndReady reports whether the last heartbeat is not older than timeout and stated that
// the instance is ready.
func (k *knownInstance) aliveAndReady(now, timeout time.Duration) bool {
	return k.ready && now-k.lastHeartbeat <= timeout
}

// singleDomainLeaders is the number of leaders in a failure domain that receives no
// heartbeats from instances of other domains that are ready and reach the store. If the
// domain has fewer instances, all of them are leaders.
const singleDomainLeaders = 2

// IsLeader reports whether this instance is a leader, one of the few that watch the store
// for changes on behalf of all. The leader of a failure domain is the first instance by name
// that is ready and reaches the store, according to its heartbeats. This instance counts
// whether or not it is ready. If no heartbeats of such instances arrive from other failure
// domains, the first two are leaders. Leaders are chosen without consensus: if the views of
// instances differ, there may be more leaders.
func (s *Instances) IsLeader(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	beforeInDomain, otherDomains := 0, false
	timeout := s.heartbeatTimeout()
	for name, k := range s.known {
		switch {
		case name == s.self || !k.aliveAndReady(now, timeout) || !k.storeReachable:
		case k.instance.FailureDomain != s.domain:
			otherDomains = true
		case name < s.self:
			beforeInDomain++
		}
	}
	return beforeInDomain == 0 || !otherDomains && beforeInDomain < singleDomainLeaders
}
