// Package balance chooses the searcher for a request from the latencies and failures that
// this instance has observed. It also limits the concurrent requests at a searcher, orders
// queued requests and sheds load. It does no I/O. All times are readings of the boot
// clock. The types are not safe for concurrent use.
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
	// failureHalfLife is the time in which a failure rate halves when no new outcome
	// arrives, so that a searcher that is no longer used is tried again.
	failureHalfLife = 2 * time.Second
	// maxFailureRate is the highest failure rate that is used in a cost. It keeps the cost
	// of a searcher that always fails finite.
	maxFailureRate = 0.98

	// A searcher counts as stalled when its oldest outstanding request has waited for
	// more than stallFactor times the searcher's latency, and for more than minStall.
	stallFactor = 3
	minStall    = 20 * time.Millisecond

	// A searcher in another failure domain has a longer network path and causes traffic
	// between domains. Its cost is multiplied by crossDomainFactor, then
	// crossDomainPenalty is added.
	crossDomainFactor  = 1.5
	crossDomainPenalty = 3 * time.Millisecond
	// dialPenalty is the assumed time to open a connection.
	dialPenalty = 6 * time.Millisecond
	// outsideSubsetPenalty keeps requests at the searchers of the instance's subset
	// unless those are slow or fail.
	outsideSubsetPenalty = 20 * time.Millisecond
	// coldFactor is the assumed latency of a cold searcher relative to a warm one. It is
	// used until the searcher's own latency has been measured.
	coldFactor = 1.6

	// A searcher that can't be reached is blocked for minBlock, then for twice as long
	// after each further failed trial, up to maxBlock.
	minBlock = 300 * time.Millisecond
	maxBlock = 4 * time.Second

	// initialLatency is the assumed latency of a service that has not replied yet.
	initialLatency = 20 * time.Millisecond
)

// Stats holds the latency and failure statistics of one searcher. The zero value is ready
// for use.
type Stats struct {
	// latency is a moving average, valid if measured is set.
	latency  time.Duration
	measured bool
	// lastFailureRate is the moving average of failures at the time of the last outcome,
	// which is lastOutcome. It decays from then on.
	lastFailureRate float64
	lastOutcome     time.Duration
	// lastReply is when this instance last received a reply from the searcher itself, as
	// opposed to a report of another instance.
	lastReply time.Duration
	// blockedUntil is when the current or last block ends, blockDuration how long it
	// lasts. Both are zero unless the searcher could not be reached, or gave no answers, since
	// its last reply.
	blockedUntil  time.Duration
	blockDuration time.Duration
}

// ObserveReply records a reply and lifts a block. success is false if the searcher replied
// with a failure; the latency is then not used.
func (s *Stats) ObserveReply(now, latency time.Duration, success bool) {
	s.observeReply(now, success)
	if success {
		s.updateLatency(latency)
	}
}

// ObserveUntimedReply records a successful reply whose latency is not known, and lifts a block.
func (s *Stats) ObserveUntimedReply(now time.Duration) { s.observeReply(now, true) }

func (s *Stats) observeReply(now time.Duration, success bool) {
	s.updateFailureRate(now, !success)
	s.lastReply = now
	s.blockDuration = 0
	s.blockedUntil = 0
}

func (s *Stats) updateLatency(latency time.Duration) {
	if !s.measured {
		s.latency, s.measured = latency, true
		return
	}
	s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
}

// ObserveGivenUp records that a request was given up when it had waited this long without
// a reply. The latency would have been at least waited, so waited counts as a latency if it
// is above the average. It is ignored if it is not, or if no latency was measured yet.
func (s *Stats) ObserveGivenUp(waited time.Duration) {
	if s.measured && waited > s.latency {
		s.latency += time.Duration(latencyWeight * float64(waited-s.latency))
	}
}

// ObserveBadReply records that a request got no answer. A searcher that replies without end is
// blocked at once, since each such reply takes memory and bandwidth.
func (s *Stats) ObserveBadReply(now time.Duration, kind BadReply) {
	if kind == Endless {
		s.MarkUnreachable(now)
		return
	}
	s.updateFailureRate(now, true)
}

// MarkUnreachable records that the searcher can't be reached, no longer replies or gives no
// answers, and blocks it unless it is blocked already.
func (s *Stats) MarkUnreachable(now time.Duration) {
	s.updateFailureRate(now, true)
	if now < s.blockedUntil {
		return
	}
	s.blockDuration = min(max(s.blockDuration*2, minBlock), maxBlock)
	s.blockedUntil = now + s.blockDuration
}

// Blocked reports whether the searcher must not get requests now because it could not be
// reached.
func (s *Stats) Blocked(now time.Duration) bool { return now < s.blockedUntil }

// BlockedFor returns the time until the searcher may get requests again, zero if it may now.
func (s *Stats) BlockedFor(now time.Duration) time.Duration { return max(s.blockedUntil-now, 0) }

// Healthy reports whether the failure rate of the searcher is at most
// maxHealthyFailureRate.
func (s *Stats) Healthy(now time.Duration) bool { return s.failureRate(now) <= maxHealthyFailureRate }

// maxHealthyFailureRate is the highest failure rate of a searcher that counts as healthy.
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

// Candidate describes the current state of a searcher that could take a request.
type Candidate struct {
	Stats *Stats
	// Outstanding is the number of requests of this instance that the searcher has not
	// answered. OldestWait is how long the oldest of them has waited.
	Outstanding int
	OldestWait  time.Duration
	// Slots is the number of requests that the searcher runs at once.
	Slots int
	// SameDomain says that the searcher is in the failure domain of this instance.
	SameDomain bool
	// Connected says that an idle connection to the searcher is available.
	Connected bool
	// Cold says that the searcher is still warming up.
	Cold bool
	// OutsideSubset says that the searcher is not in the subset of this instance, so that
	// its connections are not kept after a request.
	OutsideSubset bool
	// Expected is the time until a reply that is expected for this request, and OldestExpected
	// that which was expected for the oldest outstanding one, where the costs of requests are
	// known. Zero stands for unknown: then the usual latency of the searcher is used.
	Expected       time.Duration
	OldestExpected time.Duration
}

// Choose returns the index of the candidate with the lowest cost, or -1 if no candidate may
// get a request. A blocked candidate may not get one. When a block has ended, the candidate
// may get one trial request at a time until it replies. serviceLatency is the usual latency
// of the service, zero if it is not known. It is used for candidates whose own latency has
// not been measured.
func Choose(now time.Duration, candidates []Candidate, serviceLatency time.Duration) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if !c.MayGet(now) {
			continue
		}
		// A small random factor keeps the instances from all choosing the same searcher.
		cost := c.Cost(now, serviceLatency) * (1 + 0.05*rand.Float64())
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// MayGet reports whether the candidate may get a request: it is not blocked, and no trial request after a
// block is outstanding.
func (c *Candidate) MayGet(now time.Duration) bool {
	return !c.Stats.Blocked(now) && (c.Stats.blockDuration == 0 || c.Outstanding == 0)
}

// Cost returns the cost of sending a request to the candidate, without the random factor of Choose. It is
// the expected time until a reply in nanoseconds, increased by the penalties and by the failure rate.
func (c *Candidate) Cost(now, serviceLatency time.Duration) float64 {
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
	if c.Expected > 0 {
		cost = float64(c.Expected)
		if c.OldestExpected > 0 {
			latency = c.OldestExpected
		}
		if c.Cold && !c.Stats.measured {
			cost *= coldFactor
		}
	}
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
	// A failure costs more than the time of a second attempt, since it may leave a whole
	// query without an answer. So the cost is divided by the fourth power of the success
	// rate. The first power would only cover the time of further attempts.
	successRate := 1 - min(c.Stats.failureRate(now), maxFailureRate)
	return cost / (successRate * successRate * successRate * successRate)
}
