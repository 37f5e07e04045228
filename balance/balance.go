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
	// stalledAt times its usual latency, at least minStall.
	stalledAt = 3
	minStall  = 20 * time.Millisecond

	// Searchers in other failure domains cost the way there and traffic between
	// domains, so they must be faster by farFactor and farPenalty.
	farFactor  = 1.5
	farPenalty = 3 * time.Millisecond
	// dialPenalty is the time that a new connection takes.
	dialPenalty = 6 * time.Millisecond
	// guestPenalty keeps requests with the searchers that have a connection for them,
	// unless those are slow or fail.
	guestPenalty = 20 * time.Millisecond
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
	latency  time.Duration
	measured bool
	failures float64
	noted    time.Duration
	// used is when this instance last had a reply of its own.
	used time.Duration
	// blockedUntil and block are set while the searcher can't be reached.
	blockedUntil time.Duration
	block        time.Duration
}

// ObserveReply notes a reply after a latency. Good says that it was no failure.
func (r *Stats) ObserveReply(now, latency time.Duration, good bool) {
	r.note(now, !good)
	r.used = now
	r.block = 0
	r.blockedUntil = 0
	if good {
		r.learn(latency)
	}
}

func (r *Stats) learn(latency time.Duration) {
	if !r.measured {
		r.latency, r.measured = latency, true
		return
	}
	r.latency += time.Duration(latencyWeight * float64(latency-r.latency))
}

// ObserveGivenUp notes that a request got no reply within a time and was given up. The
// searcher is at least that slow.
func (r *Stats) ObserveGivenUp(waited time.Duration) {
	if r.measured && waited > r.latency {
		r.latency += time.Duration(latencyWeight * float64(waited-r.latency))
	}
}

// ObserveBrokenExchange notes an exchange that broke off without a reply.
func (r *Stats) ObserveBrokenExchange(now time.Duration) { r.note(now, true) }

// MarkUnreachable notes that the searcher can't be reached or has fallen silent. It
// gets no requests for some time.
func (r *Stats) MarkUnreachable(now time.Duration) {
	r.note(now, true)
	if now < r.blockedUntil {
		return
	}
	r.block = min(max(r.block*2, minBlock), maxBlock)
	r.blockedUntil = now + r.block
}

// Blocked reports whether the searcher is left alone for now.
func (r *Stats) Blocked(now time.Duration) bool { return now < r.blockedUntil }

// Healthy reports whether the searcher answers most of what it gets.
func (r *Stats) Healthy(now time.Duration) bool { return r.failureRate(now) <= soundFailures }

// soundFailures is the failure rate above which a searcher is no longer sound.
const soundFailures = 0.25

func (r *Stats) note(now time.Duration, failed bool) {
	rate := r.failureRate(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	r.failures = rate + failureWeight*(outcome-rate)
	r.noted = now
}

func (r *Stats) failureRate(now time.Duration) float64 {
	return r.failures * math.Exp2(-float64(now-r.noted)/float64(failureHalfLife))
}

// Candidate is a searcher that could take a request, as it is now.
type Candidate struct {
	Stats *Stats
	// Outstanding is the number of requests of this instance that it has not
	// answered, and Oldest how long the first of them has waited.
	Outstanding int
	OldestWait      time.Duration
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
	if c.Outstanding > 0 && c.OldestWait > max(stalledAt*latency, minStall) {
		cost += float64(c.OldestWait)
	}
	if !c.SameDomain {
		cost = cost*farFactor + float64(farPenalty)
	}
	if c.OutsideSubset {
		cost += float64(guestPenalty)
	}
	if !c.Connected {
		cost += float64(dialPenalty)
	}
	// A failure costs more than another try: it may leave a whole query without an
	// answer.
	works := 1 - min(c.Stats.failureRate(now), maxFailureRate)
	return cost / (works * works * works * works)
}
