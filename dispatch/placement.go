package dispatch

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/placement"
)

// Reasons why a searcher does not get a request now.
const (
	excludedRemoved     = "its entry was removed"
	excludedDraining    = "it drains"
	excludedLeaving     = "it leaves"
	excludedReused      = "another searcher answers at its address"
	excludedDomainOut   = "its failure domain is out of service"
	excludedMissing     = "its entry is missing"
	excludedRegion      = "it is in another region"
	excludedCold        = "its limit of cold requests is reached"
	excludedUnreachable = "it could not be reached"
	excludedAvoided     = "it may not get this request"
	excludedRateLimit   = "it is at its rate limit"
	excludedPause       = "it has asked for a pause, or takes one request at a time after one"
	excludedConcurrency = "as many requests as it answers in time are outstanding"
	excludedConnections = "no connection is free"
	excludedRejecting   = "it rejects connections"
	excludedTrial       = "a trial request is outstanding"
	excludedVersion     = "its version gets no requests without an order, or all of them go to another"
)

// Explain describes where a request would go now. It starts nothing and changes no state but the marks of the
// searchers outside of the subset, which each choice computes anew. The reasons are those of the choice itself.
func (d *Dispatcher) Explain(r Request) placement.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Boottime()
	s := d.services[r.Service]
	if s == nil {
		return placement.Service{Name: r.Service, NotSent: ErrNoSearcher.Error()}
	}
	eligible := d.eligible(s, r, now)
	class, restricted := d.allowedClasses(s, r.Regions, now)
	latency, _ := s.latency.Quantile(0.5)
	answer := placement.Service{Name: r.Service, Queued: len(s.queue), ConnectionLimit: d.connectionLimit(s)}
	answer.ByCost = d.compare(s, &r, s.targets, now)
	lowest, hasRoom := 0.0, false
	for i, t := range s.targets {
		c := &d.candidates[i]
		cost := c.Cost(now, latency)
		if answer.ByCost && c.MayGet(now) {
			cost = d.options[i].Cost
		}
		excluded := d.exclusion(t, r, now)
		if excluded == "" && restricted && t.class != class {
			excluded = excludedVersion
		}
		isEligible := excluded == ""
		if excluded == "" {
			excluded = d.roomExclusion(t, now)
			hasRoom = hasRoom || excluded == ""
		}
		if excluded == "" && !c.MayGet(now) {
			excluded = excludedTrial
		}
		if excluded == "" && (answer.Chosen == "" || cost < lowest) {
			answer.Chosen, lowest = t.ID, cost
		}
		answer.Searchers = append(answer.Searchers, placement.Searcher{
			ID: t.ID, FailureDomain: t.FailureDomain, Version: t.Version, ExpectedCostMs: cost / float64(time.Millisecond),
			OutstandingMs: float64(t.cost.Left(now)) / float64(time.Millisecond), Outstanding: c.Outstanding, Slots: t.Slots, Connections: t.open, Idle: len(t.idle), Eligible: isEligible,
			Excluded: excluded, Cold: c.Cold, OutsideSubset: t.outsideSubset,
		})
	}
	switch {
	case answer.Chosen != "":
	case len(eligible) == 0:
		answer.NotSent = s.noSearcherError().Error()
	case hasRoom:
		answer.NotSent = ErrNoSearcher.Error()
	default:
		err := s.mayQueue(r, d.placeWait(eligible, now), len(s.queue), now)
		answer.Waits, answer.NotSent = err == nil, "all searchers are busy"
		if err != nil {
			answer.NotSent = err.Error()
		}
	}
	return answer
}
