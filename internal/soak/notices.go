package main

import (
	"context"
	"time"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const (
	// pauseSlack is how long after a refusal requests may still reach a searcher that has asked for a
	// pause, and maxInPause how many may after that.
	pauseSlack = 500 * time.Millisecond
	maxInPause = 2
	// leavingWatch is how long a searcher that leaves is watched beyond the drain bound.
	leavingWatch = 2 * time.Second
)

// pauses are the pauses, in seconds, that refusals of a searcher in trouble ask for.
var pauses = []string{"0.7", "1.25", "3"}

// checkPauses checks that each process leaves a searcher alone for as long as the searcher has asked
// for, unless the process was disturbed or started since. It is to be called when no more requests are
// sent.
func (s *soak) checkPauses() {
	type arrival struct{ searcher, process string }
	reached := make(map[arrival][]time.Time)
	add := func(id, searcher string, at time.Time) {
		if p := s.processOf(id); p != nil {
			key := arrival{searcher, p.node.Name}
			reached[key] = append(reached[key], at)
		}
	}
	for _, r := range s.ledger.Runs() {
		add(r.RequestID, r.Searcher, r.Reached)
	}
	refusals := s.ledger.Refusals()
	for _, r := range refusals {
		add(r.RequestID, r.Searcher, r.Reached)
	}
	for _, r := range refusals {
		p := s.processOf(r.RequestID)
		if p == nil || !p.sound(r.Reached) || !p.startedBefore(r.Reached) {
			continue
		}
		n := 0
		for _, at := range reached[arrival{r.Searcher, p.node.Name}] {
			if at.After(r.Reached.Add(pauseSlack)) && at.Before(r.Until) {
				n++
			}
		}
		if n > maxInPause {
			s.report.violate("PAUSE: %d requests of %s reached %s in the pause that it asked for with %s", n, p.node.Name, r.Searcher, r.RequestID)
		}
	}
}

// sayLeaving has a searcher say in all its replies that it leaves, while its entry says that it
// takes requests. A process that has got such a reply sends it none later than the drain bound,
// unless it was disturbed or started since.
func (s *soak) sayLeaving(ctx context.Context, _ time.Duration) {
	one := s.takeSearcher()
	defer one.Stop()
	if err := s.addSearcher(one.Service, one.Domain); err != nil {
		s.report.violate("harness: %v", err)
		return
	}
	since := time.Now()
	one.SetFaults(site.SearcherFaults{Leaving: true})
	hold(ctx, drain+leavingWatch)
	s.store.Remove("servers", one.ID)
	s.checkLeft(one, since)
}

// checkLeft checks that each process sends a searcher no request later than the drain bound after
// the first one that the searcher ran since it says that it leaves.
func (s *soak) checkLeft(one *site.Searcher, since time.Time) {
	told := make(map[*process]time.Time)
	for _, r := range s.ledger.Runs() {
		p := s.processOf(r.RequestID)
		if r.Searcher != one.ID || r.At.Before(since) || p == nil {
			continue
		}
		first, ok := told[p]
		if !ok {
			told[p] = r.At
			continue
		}
		if late := r.At.Sub(first) - s.size.searcher(one.Service).work; late > drain && p.sound(first) && p.startedBefore(first) {
			s.report.violate("DRAIN: %s ran %s of %s, %s after it told the process that it leaves", one.ID, r.RequestID, p.node.Name, late)
		}
	}
}

// processOf returns the process to which a request was sent, nil if that is not known.
func (s *soak) processOf(id string) *process {
	address := s.report.sentTo(id)
	for _, p := range s.gateway {
		if p.node.Callers == address {
			return p
		}
	}
	return nil
}

// startedBefore reports whether the process was started last before a moment.
func (p *process) startedBefore(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.started.Before(at)
}
