package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const (
	// canaryShare, canarySlack and rollbackLimit are the bounds of roll-outs in the settings file.
	canaryShare, canarySlack = 0.1, 50
	rollbackLimit            = 5 * time.Second
	// rolloutTime is the time limit of an order, which is made prepareTime after the start of the new
	// searchers. They drain drainDelay after a roll-back.
	rolloutTime = 12 * time.Second
	prepareTime = 1500 * time.Millisecond
	drainDelay  = 2 * time.Second
	// slowWork makes a request, which takes 8 ms, eight times slower.
	slowWork = 56 * time.Millisecond
	// lateOnset is when versions become bad that are good at first.
	lateOnset = 4 * time.Second

	completed, rolledBack = "completed", "rolled_back"
)

// badVersions are how the searchers of bad versions misbehave, from at once or from lateOnset after the
// order on.
var badVersions = []site.SearcherFaults{{Fail: 1}, {Fail: 0.4}, {Work: slowWork}}

// order is one roll-out. bad is nil if the version is good; else it was bad from badSince until
// badUntil, zero if to the end.
type order struct {
	service, version string
	searchers        []*site.Searcher
	bad              *site.SearcherFaults
	onset            time.Duration
	at               time.Time
	badSince         time.Time
	badUntil         time.Time
	state            string
}

// rollOut orders one roll-out after the other until ctx ends.
func (s *soak) rollOut(ctx context.Context) {
	for i := 2; ctx.Err() == nil; i++ {
		o := &order{service: bookings, version: fmt.Sprintf("v%d", i)}
		if k := s.draw(2 * len(badVersions)); k < len(badVersions) {
			o.bad, o.onset = &badVersions[k], time.Duration(s.draw(2))*lateOnset
		} else if s.draw(2) == 0 {
			o.service = s.size.shards[0]
		}
		if err := s.prepare(o); err != nil {
			s.report.violate("harness: %v", err)
			return
		}
		if clock.Pause(ctx, prepareTime) == nil {
			s.restoring.Lock()
			o.at = time.Now()
			s.store.Put(site.KindRollouts, o.service, site.RolloutOrder(o.service, o.version, rolloutTime))
			s.restoring.Unlock()
			s.follow(ctx, o)
		}
		s.finish(ctx, o)
	}
}

// prepare starts the searchers of the new version, and ends the faults of the old ones.
func (s *soak) prepare(o *order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rolling = o.service
	s.orders = append(s.orders, o)
	for _, one := range s.searchers {
		if one.Service == o.service {
			one.SetFaults(site.SearcherFaults{})
		}
	}
	for _, domain := range domains {
		one, err := s.startSearcher(o.service, domain, o.version)
		if err != nil {
			return err
		}
		o.searchers = append(o.searchers, one)
	}
	return nil
}

// follow makes a bad version bad and waits for the end of the roll-out and of its time limit. The
// state must then be the right one, if neither a process nor the store was disturbed.
func (s *soak) follow(ctx context.Context, o *order) {
	right := completed
	if o.bad != nil {
		right = rolledBack
	}
	var overdue bool
	for clock.Pause(ctx, 20*time.Millisecond) == nil && o.state != completed && o.state != rolledBack {
		age := time.Since(o.at)
		if o.bad != nil && o.badSince.IsZero() && age >= o.onset {
			for _, one := range o.searchers {
				one.SetFaults(*o.bad)
			}
			o.badSince = time.Now()
		}
		if state, target := site.RolloutState(s.store.Status(site.KindRollouts, o.service)); target == o.version {
			o.state = state
		}
		ended := o.state == completed || o.state == rolledBack
		if late := age > rolloutTime; (ended || late) && !overdue && o.state != right && s.calm(o.at) {
			s.report.violate("ROLLOUT: %s %s after the order: %s", o, age, s.store.Status(site.KindRollouts, o.service))
			overdue = true
		}
	}
}

// finish makes the new searchers those of the service if the roll-out is completed, and ends the old
// ones at once. Else it ends the new ones, which drain before.
func (s *soak) finish(ctx context.Context, o *order) {
	if o.state != completed {
		hold(ctx, drainDelay)
		for _, one := range o.searchers {
			s.store.Put("servers", one.ID, one.Entry("draining"))
		}
		hold(ctx, drain)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := o.searchers
	if o.state == completed {
		ended, s.versions[o.service], o.badUntil = nil, o.version, time.Now()
		for _, one := range o.searchers {
			one.SetFaults(site.SearcherFaults{})
		}
		s.searchers = slices.DeleteFunc(s.searchers, func(one *site.Searcher) bool {
			if one.Service == o.service {
				ended = append(ended, one)
			}
			return one.Service == o.service
		})
		s.searchers = append(s.searchers, o.searchers...)
	}
	for _, one := range ended {
		one.Stop()
		s.store.Remove("servers", one.ID)
	}
}

// checkOrders checks what ran on bad versions. It is to be called when no more requests are sent.
func (s *soak) checkOrders() {
	for _, o := range s.orders {
		s.report.orders += o.String()
		if o.badSince.IsZero() {
			continue
		}
		limit := o.at.Add(rolloutTime)
		all, share := 0, 0
		var bad []time.Time
		for _, r := range s.ledger.Runs() {
			isNew := slices.ContainsFunc(o.searchers, func(one *site.Searcher) bool { return one.ID == r.Searcher })
			if strings.HasPrefix(r.Searcher, o.service+"-") && r.At.After(o.at) && r.At.Before(limit) {
				all++
				if isNew {
					share++
				}
			}
			if isNew && r.At.After(o.badSince) && (o.badUntil.IsZero() || r.At.Before(o.badUntil)) {
				bad = append(bad, r.At)
			}
		}
		if most := canaryShare*float64(all) + canarySlack; time.Now().After(limit) && float64(share) > most {
			s.report.violate("CANARY: %s got %d of %d requests, %g may", o, share, all, most)
		}
		slices.SortFunc(bad, time.Time.Compare)
		n := 50
		if o.bad.Fail < 1 && o.bad.Work == 0 {
			n = 200 // fewer than 50 of them fail in about 1 of 100,000 cases
		}
		if len(bad) >= n {
			replied := bad[n-1].Add(s.size.searcher(o.service).work + o.bad.Work)
			if late := bad[len(bad)-1].Sub(replied); late > rollbackLimit {
				s.report.violate("ROLLBACK: %s ran a request %s after its 50th bad reply", o, late)
			}
		}
	}
}

// String returns the order with its state, for messages.
func (o *order) String() string {
	kind := "good"
	if o.bad != nil {
		kind = fmt.Sprintf("fails %g, takes %s more, from %s on", o.bad.Fail, o.bad.Work, o.onset)
	}
	return fmt.Sprintf("[%s %s at %s, %s: %s]", o.service, o.version, o.at.UTC().Format(time.RFC3339), kind, o.state)
}
