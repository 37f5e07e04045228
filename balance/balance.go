// Package balance chooses the searcher for a request from what this instance
// has seen of each. It does no I/O; time is that of the boot clock.
package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.15
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.2
	// failureHalfLife is the time in which an old failure rate halves, so that a
	// searcher that is no longer used is tried again.
	failureHalfLife = 2 * time.Second
	// maxFailureRate keeps a searcher that always fails comparable.
	maxFailureRate = 0.98

	// A searcher is taken for stalled when its oldest request has waited for
	// stallFactor times its usual latency, at least minStall.
	stallFactor = 3
	minStall    = 20 * time.Millisecond

	// Searchers in other failure domains cost the way there and traffic between
	// domains, so they must be faster by crossDomainFactor and farPenalty.
	crossDomainFactor  = 1.5
	crossDomainPenalty = 3 * time.Millisecond
	// dialPenalty is the time that a new connection takes.
	dialPenalty = 6 * time.Millisecond
	// outsideSubsetPenalty keeps requests with the searchers that have a connection for them,
	// unless those are slow or fail.
	outsideSubsetPenalty = 20 * time.Millisecond
	// coldFactor is how much slower a cold searcher is taken to be.
	coldFactor = 1.6

	// A searcher that can't be reached is left alone for minBlock, twice as long
	// each further time, at most maxBlock.
	minBlock = 300 * time.Millisecond
	maxBlock = 4 * time.Second

	// initialLatency is assumed before the first reply of a service.
	initialLatency = 20 * time.Millisecond
)

// Stats is what is known of one searcher.
type Stats struct {
	latency         time.Duration
	measured        bool
	lastFailureRate float64
	lastOutcome     time.Duration
	// lastReply is when this instance last had a reply of its own.
	lastReply time.Duration
	// blockedUntil and block are set while the searcher can't be reached.
	blockedUntil time.Duration
	block        time.Duration
}

// ObserveReply notes a reply after a latency. Good says that it was no failure.
func (s *Stats) ObserveReply(now, latency time.Duration, success bool) {
	s.updateFailureRate(now, !success)
	s.lastReply = now
	s.block = 0
	s.blockedUntil = 0
	if success {
		s.updateLatency(latency)
	}
}

func (s *Stats) updateLatency(latency time.Duration) {
	if !s.measured {
		s.latency, s.measured = latency, true
		return
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
}

// ObserveGivenUp notes that a request got no reply within a time and was given up. The
// searcher is at least that slow.
func (s *Stats) ObserveGivenUp(waited time.Duration) {
	if s.measured && waited > s.latency {
		s.latency += time.Duration(latencyWeight * float64(waited-s.latency))
	}
}

// ObserveBrokenExchange notes an exchange that broke off without a reply.
func (s *Stats) ObserveBrokenExchange(now time.Duration) { s.updateFailureRate(now, true) }

// MarkUnreachable notes that the searcher can't be reached or has fallen silent. It
// gets no requests for some time.
func (s *Stats) MarkUnreachable(now time.Duration) {
	s.updateFailureRate(now, true)
	if now < s.blockedUntil {
		return
	}
	s.block = min(max(s.block*2, minBlock), maxBlock)
	s.blockedUntil = now + s.block
}

// Blocked reports whether the searcher is left alone for now.
func (s *Stats) Blocked(now time.Duration) bool { return now < s.blockedUntil }

// Healthy reports whether the searcher answers most of what it gets.
func (s *Stats) Healthy(now time.Duration) bool { return s.failureRate(now) <= maxHealthyFailureRate }

// maxHealthyFailureRate is the failure rate above which a searcher is no longer sound.
const maxHealthyFailureRate = 0.25

func (s *Stats) updateFailureRate(now time.Duration, failed bool) {
	rate := s.failureRate(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.lastFailureRate = rate + failureWeight*(outcome-rate)
	s.lastOutcome = now
}

func (s *Stats) failureRate(now time.Duration) float64 {
	return s.lastFailureRate * math.Exp2(-float64(now-s.lastOutcome)/float64(failureHalfLife))
}

// Candidate is a searcher that could take a request, as it is now.
type Candidate struct {
	Stats *Stats
	// Outstanding is the number of requests of this instance that it has not
	// answered, and Oldest how long the first of them has waited.
	Outstanding int
	OldestWait  time.Duration
	Slots       int
	SameDomain  bool
	Connected   bool
	Cold        bool
	// OutsideSubset says that a connection would be opened for this request alone.
	OutsideSubset bool
}

// Choose returns the index of the best candidate, or -1 if there is none or all
// are blocked. The latency is that of the service, for searchers that have not
// been measured.
func Choose(now time.Duration, candidates []Candidate, latency time.Duration) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if c.Stats.Blocked(now) || (c.Stats.block > 0 && c.Outstanding > 0) {
			continue
		}
		// A little chance keeps instances from choosing alike.
		cost := c.cost(now, latency) * (1 + 0.05*rand.Float64())
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// cost is the time, in nanoseconds, until a useful reply is to be expected.
func (c *Candidate) cost(now, serviceLatency time.Duration) float64 {
	latency := c.Stats.latency
	if !c.Stats.measured {
		latency = serviceLatency
		if latency == 0 {
			latency = initialLatency
		}
		if c.Cold {
			latency = time.Duration(coldFactor * float64(latency))
		}
	}
	cost := float64(latency) * (1 + float64(c.Outstanding)/float64(max(c.Slots, 1)))
	if c.Outstanding > 0 && c.OldestWait > max(stallFactor*latency, minStall) {
		cost += float64(c.OldestWait)
	}
	if !c.SameDomain {
		cost = cost*crossDomainFactor + float64(crossDomainPenalty)
	}
	if c.OutsideSubset {
		cost += float64(outsideSubsetPenalty)
	}
	if !c.Connected {
		cost += float64(dialPenalty)
	}
	// A failure costs more than another try: it may leave a whole query without an
	// answer.
	successRate := 1 - min(c.Stats.failureRate(now), maxFailureRate)
	return cost / (successRate * successRate * successRate * successRate)
}
