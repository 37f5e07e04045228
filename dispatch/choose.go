package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/cost"
)

// certainlyLate is the share of the expected time until an answer that must be left, else the
// request is not queued. Times vary around the expected one, and about one request in twenty takes less
// than half of it.
const certainlyLate = 0.5

// choose returns the index of the searcher that is to get a request, or -1 if none may get one. The
// expected cost decides if the service's requests or searchers differ enough, else the latency.
// targets are the searchers with room.
func (d *Dispatcher) choose(s *service, r *Request, targets []*target, now time.Duration) int {
	if !d.compare(s, r, targets, now) {
		d.metrics.placedByLatency.Inc()
		latency, _ := s.latency.Quantile(0.5)
		return balance.Choose(now, d.candidates, latency)
	}
	d.metrics.placedByCost.Inc()
	return cost.Choose(d.options, rand.Float64())
}

// compare describes searchers for the choice, in d.candidates, and reports whether the expected cost decides.
// If it does, d.options holds what it decides by.
func (d *Dispatcher) compare(s *service, r *Request, targets []*target, now time.Duration) bool {
	d.candidates = d.candidates[:0]
	for _, t := range targets {
		d.candidates = append(d.candidates, t.candidate(now, d.config.FailureDomain))
	}
	if !s.choosesByCost(now) {
		return false
	}
	latency, _ := s.latency.Quantile(0.5)
	estimate := s.costs.Estimate(now, r.CostKind)
	d.options = d.options[:0]
	for i, t := range targets {
		c := &d.candidates[i]
		var slowness float64
		c.Expected, slowness = estimate.Completion(&t.cost, t.Slots)
		if len(t.running) > 0 {
			c.OldestExpected = time.Duration(slowness * float64(t.running[0].work.Cost))
		}
		option := cost.Option{Cost: math.Inf(1), Capacity: float64(max(t.Slots, 1)) / slowness}
		if c.MayGet(now) {
			option.Cost = c.Cost(now, latency) * cost.Lateness(c.Expected, r.DueBy-now)
		}
		d.options = append(d.options, option)
	}
	return true
}

// choosesByCost reports whether the expected cost decides where requests of the service go: if they or its
// searchers differ enough, and none of these fails. Costs are learned from answers. While answers are
// missing they say too little, and searchers that fail have to be avoided first.
func (s *service) choosesByCost(now time.Duration) bool {
	return s.costs.Active(now) && !slices.ContainsFunc(s.targets, func(t *target) bool { return !t.stats.Healthy(now) })
}

// certainlyLate reports whether a first request, for which no searcher has room, is certain to be
// answered too late. queued says that it is in the queue already. Otherwise the queued requests with
// a lower or the same rank go before it. Nothing is certain unless the expected cost decides.
func (s *service) certainlyLate(r *Request, eligible []*target, queued bool, now time.Duration) bool {
	if r.Kind != First || !s.choosesByCost(now) {
		return false
	}
	// Room comes when one of the running requests ends, and is shared by those before this one.
	var firstEnd, fastest, before time.Duration
	running := 0
	estimate := s.costs.Estimate(now, r.CostKind)
	for i, t := range eligible {
		if own := t.cost.Alone(now, estimate.Cost); i == 0 || own < fastest {
			fastest = own
		}
		for _, a := range t.running {
			if left := t.cost.LeftOf(now, a.work); running == 0 || left < firstEnd {
				firstEnd = left
			}
			running++
		}
	}
	if running == 0 {
		return false
	}
	for _, a := range s.queue {
		if !queued && a.Rank <= r.Rank {
			before += s.costs.Expected(now, a.CostKind)
		}
	}
	done := max(firstEnd, before/time.Duration(running)) + fastest
	return time.Duration(certainlyLate*float64(done)) > r.DueBy-now
}

// observeCost records the latency of an answered attempt. The time in which a connection was opened for
// it does not count.
func (a *Attempt) observeCost(now, latency time.Duration) {
	a.service.costs.ObserveReply(now, &a.target.cost, a.work, max(latency-a.dialTook, 0))
}

// comparableLatency returns a latency as it is reported to other instances. Where the costs of the
// service's requests differ, it is scaled to a request of the median latency, so that a searcher is
// not reported as slow because it got an expensive request.
func (a *Attempt) comparableLatency(now, latency, median time.Duration) time.Duration {
	if !a.service.costs.Active(now) || a.work.Cost <= 0 || median <= 0 {
		return latency
	}
	return time.Duration(float64(latency) * float64(median) / float64(a.work.Cost))
}
