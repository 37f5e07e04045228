package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// In a small failure domain each instance sends its heartbeats to all others. In a larger
// one that would cost each instance more with every instance added. There each instance
// sends them to a few relays only: those that answer of the instances to which callers would be
// sent last, because what a relay sends to others would delay the requests of its callers. A
// relay sends a digest of all heartbeats that it receives to those that ask for it. Instances
// ask for it in a small domain too, because others may know of more instances and use relays.
const (
	// maxMeshSize is the number of instances up to which a failure domain has no relays.
	maxMeshSize = 8
	// relayCount is the number of relays that each instance uses, so that the loss of two
	// of them is not noticed.
	relayCount = 3
	// relayTimeout is how long a relay may send no digest before it is passed over, a
	// little more than two heartbeat intervals.
	relayTimeout = 1200 * time.Millisecond
	// relayRetryDelay is how long after its last digest such a relay is tried again.
	relayRetryDelay = 10 * time.Second
	// subscriptionTimeout is how long a relay sends digests to an instance that no longer
	// asks for them.
	subscriptionTimeout = 2 * time.Second
	// maxRelayedHeartbeatAge takes the place of maxHeartbeatAge in a failure domain with
	// relays. It covers the loss of all relays: two heartbeat intervals until the last
	// digest, relayTimeout, and two intervals until the first digest of new relays.
	maxRelayedHeartbeatAge = 3500 * time.Millisecond
)

// HeartbeatTarget is an instance that gets a heartbeat, and what the heartbeat contains.
type HeartbeatTarget struct {
	Instance
	// Subscribe asks the target for digests. It is set for relays.
	Subscribe bool
	// Digest says that the target has asked for digests.
	Digest bool
	// Reports says that the target gets reports about searchers. Forward asks it to pass
	// them on.
	Reports bool
	Forward bool
}

// DigestEntry is what a relay says of an instance whose heartbeats it receives.
type DigestEntry struct {
	// Key identifies a start of an instance, see digestKey.
	Key uint64
	// Age is the time since the relay received the last heartbeat.
	Age    time.Duration
	Status HeartbeatStatus
}

// digestKey returns a short identifier of a start of an instance.
func digestKey(i Instance) uint64 {
	return xxhash.Sum64String(i.Name) + uint64(i.StartUnixMs)
}

// domainTargets returns the targets in the own failure domain. The caller holds the lock.
func (s *Instances) domainTargets(now time.Duration) []HeartbeatTarget {
	relays := s.chooseRelays(now)
	mesh := s.isMesh()
	sendsToAll := mesh || s.hasSubscribers(now)
	var targets []HeartbeatTarget
	for name, k := range s.known {
		if name == s.self || k.instance.FailureDomain != s.domain {
			continue
		}
		position := slices.Index(relays, name)
		t := HeartbeatTarget{Instance: k.instance, Subscribe: position >= 0, Digest: k.subscribed(now)}
		t.Forward = !sendsToAll && position == s.reportRelay(len(relays))
		t.Reports = sendsToAll || t.Forward
		if mesh || t.Subscribe || t.Digest {
			targets = append(targets, t)
		}
	}
	return targets
}

// reportRelay returns which of n relays passes on the reports of this instance. Instances
// use different ones, and each only one, so that no report is counted twice.
func (s *Instances) reportRelay(n int) int {
	if n == 0 {
		return 0
	}
	return int(xxhash.Sum64String(s.self) % uint64(n))
}

// isMesh reports whether the instances of the own failure domain send heartbeats to each
// other without relays. The caller holds the lock.
func (s *Instances) isMesh() bool {
	n := 0
	for _, k := range s.known {
		if k.instance.FailureDomain == s.domain {
			n++
		}
	}
	return n <= maxMeshSize
}

// heartbeatTimeout returns the age of the last heartbeat above which an instance counts as
// silent. The caller holds the lock.
func (s *Instances) heartbeatTimeout() time.Duration {
	if s.isMesh() {
		return maxHeartbeatAge
	}
	return maxRelayedHeartbeatAge
}

// chooseRelays returns the names of the relays of this instance: the first candidates that are
// alive, without those that have sent no digest for relayTimeout. If these are too few, instances
// drawn at random are added, so that an instance that has heard of nobody for a time finds the
// others again. The caller holds the lock.
func (s *Instances) chooseRelays(now time.Duration) []string {
	var relays, others []string
	for _, k := range s.relayCandidates() {
		name := k.instance.Name
		if len(relays) == relayCount || now-k.lastHeartbeat > maxRelayedHeartbeatAge {
			k.relaySince = 0
			others = append(others, name)
			continue
		}
		silent := now - max(k.relaySince, k.lastDigest)
		if k.relaySince == 0 || silent > relayRetryDelay {
			k.relaySince, silent = now, 0
		}
		if silent <= relayTimeout {
			relays = append(relays, name)
		} else {
			others = append(others, name)
		}
	}
	for len(relays) < relayCount && len(others) > 0 {
		i := rand.IntN(len(others))
		relays = append(relays, others[i])
		others = slices.Delete(others, i, i+1)
	}
	return relays
}

// relayCandidates returns the other instances of the own failure domain, in the reverse order of
// sortByCores. The caller holds the lock.
func (s *Instances) relayCandidates() []*knownInstance {
	var candidates []*knownInstance
	for name, k := range s.known {
		if name != s.self && k.instance.FailureDomain == s.domain {
			candidates = append(candidates, k)
		}
	}
	slices.SortFunc(candidates, func(a, b *knownInstance) int { return compareByCores(b.instance, a.instance) })
	return candidates
}

// hasSubscribers reports whether others have asked this instance for digests. The caller holds
// the lock.
func (s *Instances) hasSubscribers(now time.Duration) bool {
	for _, k := range s.known {
		if k.subscribed(now) {
			return true
		}
	}
	return false
}

// IsRelay reports whether this instance is a relay of others. In a small failure domain there
// are none.
func (s *Instances) IsRelay(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isMesh() && s.hasSubscribers(now)
}

// subscribed reports whether the instance has asked this one for digests.
func (k *knownInstance) subscribed(now time.Duration) bool { return now < k.subscribedUntil }

// Subscribe records that an instance asks for digests. Unknown instances are ignored.
func (s *Instances) Subscribe(name string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.known[name]; k != nil && name != s.self {
		k.subscribedUntil = now + subscriptionTimeout
	}
}

// Digest returns what this instance says as a relay: of each instance of the own failure
// domain, the last heartbeat that it received from the instance itself. What other relays say
// is not passed on, so that a heartbeat can't be kept alive by relays that repeat it.
func (s *Instances) Digest(now time.Duration) []DigestEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []DigestEntry
	for name, k := range s.known {
		age := now - k.direct.at
		if name == s.self || k.instance.FailureDomain != s.domain || !k.direct.received || age > maxRelayedHeartbeatAge {
			continue
		}
		entries = append(entries, DigestEntry{Key: k.key, Age: age, Status: k.direct.status})
	}
	return entries
}

// ApplyDigest records a digest of the relay with the given name. It uses the entries that are
// newer than what this instance knows, and ignores those of unknown instances.
func (s *Instances) ApplyDigest(relay string, entries []DigestEntry, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.known[relay]; k != nil {
		k.lastDigest = now
	}
	byKey := make(map[uint64]*knownInstance, len(s.known))
	for name, k := range s.known {
		if name != s.self {
			byKey[k.key] = k
		}
	}
	for _, e := range entries {
		k := byKey[e.Key]
		if k == nil || now-e.Age <= k.lastHeartbeat {
			continue
		}
		k.lastHeartbeat = now - e.Age
		k.ready = e.Status.Ready
		k.storeReachable = e.Status.StoreReachable
		k.load = e.Status.Load
	}
}
