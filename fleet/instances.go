package fleet

import (
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
