package fleet

import (
	"math"
	"slices"
	"time"
)

const (
	// settleTime is how long after its start, and after it began to serve, an instance uses an equal part
	// of the connections. By then all that are reachable know of each other: it is twice maxHeartbeatAge.
	settleTime = 5 * time.Second
	// raiseDelay is how long an instance waits before it uses a larger part of the connections. Those that
	// lose it learn of the same change later, or have to wait for the requests that run on them.
	raiseDelay = sharerTimeout
)

// ConnectionShare is the part of an instance of the connections that a searcher accepts.
type ConnectionShare struct {
	// Instances is by how many the connections are divided to get the part.
	Instances int
	// Standby says that callers are not sent to this instance, so that it keeps no connections for later
	// requests. The parts of all that stand by are less than one connection each.
	Standby bool
}

// connectionParts is what the share of the connections depends on besides the known instances. The zero
// value is ready for use.
type connectionParts struct {
	// startedAt is when the share was first asked for, servingSince since when this instance serves, zero if
	// it does not. Both are stored 1 ns later, so that zero means never.
	startedAt    time.Duration
	servingSince time.Duration
	// recent holds the divisors of the last raiseDelay that no later one exceeds, in order of their times.
	recent []divisor
}

// divisor is a number of instances that the connections were divided by at a time.
type divisor struct {
	at time.Duration
	n  int
}

// ConnectionShare returns the part of this instance of the connections that a searcher accepts. It is to
// be called often, after SharedBy. It falls at once and rises late, since instances learn of a change one
// after the other, and one that is cut off holds its connections.
func (s *Instances) ConnectionShare(now time.Duration) ConnectionShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.connectionParts
	if p.startedAt == 0 {
		p.startedAt = now + 1
	}
	total := s.connectionHolders(now)
	var serving []string
	inDomain := 0
	for name, k := range s.known {
		if k.instance.FailureDomain != s.domain {
			continue
		}
		inDomain++
		if s.mayServe(name, k, now) {
			serving = append(serving, name)
		}
	}
	// All instances of the domain together have inDomain of total parts.
	divide := func(group int, share float64) int {
		return int(math.Ceil(float64(group) / share * float64(total) / float64(inDomain)))
	}
	allServe := len(serving) == 0 || len(serving) == inDomain
	serves := allServe || slices.Contains(serving, s.self)
	if !serves {
		p.servingSince, p.recent = 0, nil
		return ConnectionShare{Instances: divide(inDomain-len(serving), standbyShare), Standby: true}
	}
	if p.servingSince == 0 {
		p.servingSince = now + 1
	}
	n := total
	if !allServe {
		n = divide(len(serving), 1-standbyShare)
	}
	if now-p.startedAt < settleTime || now-p.servingSince < settleTime {
		n = max(n, total)
	}
	return ConnectionShare{Instances: p.maxRecent(now, n)}
}

// mayServe reports whether callers may be sent to an instance. One that fell silent while it served may go on: it
// counts until its entry is removed. The caller holds the lock.
func (s *Instances) mayServe(name string, k *knownInstance, now time.Duration) bool {
	if !k.served {
		return false
	}
	silent := name != s.self && k.lastHeartbeat <= k.servedAt
	return silent || now-k.servedAt <= sharerTimeout
}

// connectionHolders returns the number of instances that may hold connections: all that have an entry, since one that
// is cut off may use its connections again at once when it is back, and those whose entries were removed within sharerTimeout. The
// caller holds the lock.
func (s *Instances) connectionHolders(now time.Duration) int {
	n := len(s.known)
	for _, removed := range s.removedAt {
		if now-removed <= sharerTimeout {
			n++
		}
	}
	return n
}

// maxRecent adds a divisor and returns the largest one of the last raiseDelay.
func (p *connectionParts) maxRecent(now time.Duration, n int) int {
	last := len(p.recent)
	for last > 0 && p.recent[last-1].n <= n {
		last--
	}
	p.recent = append(p.recent[:last], divisor{at: now, n: n})
	for now-p.recent[0].at > raiseDelay {
		p.recent = slices.Delete(p.recent, 0, 1)
	}
	return p.recent[0].n
}
