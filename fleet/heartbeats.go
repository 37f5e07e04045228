package fleet

import (
	"math/rand/v2"
	"sort"
	"time"
)

// directHeartbeat is a heartbeat that came from the instance itself.
type directHeartbeat struct {
	received bool
	at       time.Duration
	status   HeartbeatStatus
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

// aliveAndReady reports whether the last heartbeat is not older than timeout and stated that
// the instance is ready.
func (k *knownInstance) aliveAndReady(now, timeout time.Duration) bool {
	return k.ready && now-k.lastHeartbeat <= timeout
}
