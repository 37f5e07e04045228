package main

import (
	"context"
	"encoding/json"
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

	completed, rolledBack = "completed", "rolled_back"
)

// badVersion is how the searchers of a version misbehave from onset after the order on. In this
// many runs there are surely 50 bad replies.
type badVersion struct {
	faults site.SearcherFaults
	onset  time.Duration
	runs   int
}

var badVersions = []badVersion{
	{faults: site.SearcherFaults{Fail: 1}, runs: 50},
	{faults: site.SearcherFaults{Fail: 0.4}, runs: 200}, // fewer than 50 failures in 1 of 100,000 cases
	{faults: site.SearcherFaults{Work: slowWork}, runs: 50},
	{faults: site.SearcherFaults{Fail: 1}, onset: 4 * time.Second, runs: 50},
	{faults: site.SearcherFaults{Work: slowWork}, onset: 4 * time.Second, runs: 50},
}

// order is one roll-out. bad is nil if the version is good, badSince when it became bad.
type order struct {
	service, version string
	searchers        []*site.Searcher
	bad              *badVersion
	at, badSince     time.Time
	state            string
}

// rollOut orders one roll-out after the other until ctx ends.
func (s *soak) rollOut(ctx context.Context) {
	for i := 2; ctx.Err() == nil; i++ {
		o := &order{service: bookings, version: fmt.Sprintf("v%d", i)}
		if k := s.draw(2 * len(badVersions)); k < len(badVersions) {
			o.bad = &badVersions[k]
		} else if s.draw(2) == 0 {
			o.service = s.size.shards[0]
		}
		if err := s.prepare(o); err != nil {
			s.report.violate("harness: %v", err)
			return
		}
		if clock.Pause(ctx, prepareTime) == nil {
			s.placeOrder(o)
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

func (s *soak) placeOrder(o *order) {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	o.at = time.Now()
	s.store.Put("rollouts", o.service, map[string]any{"backend": o.service, "target_version": o.version, "duration_s": rolloutTime.Seconds()})
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
		if o.bad != nil && o.badSince.IsZero() && age >= o.bad.onset {
			for _, one := range o.searchers {
				one.SetFaults(o.bad.faults)
			}
			o.badSince = time.Now()
		}
		var status struct {
			State  string
			Target string `json:"target_version"`
		}
		_ = json.Unmarshal(s.store.Status("rollouts", o.service), &status) // empty before the first write
		if status.Target == o.version {
			o.state = status.State
		}
		ended := o.state == completed || o.state == rolledBack
		if late := age > rolloutTime; (ended || late) && !overdue && o.state != right && s.calm(o.at) {
			s.report.violate("ROLLOUT: %s is %q %s after the order: %s", o, o.state, age, s.store.Status("rollouts", o.service))
			overdue = true
		}
	}
}

// finish ends the old searchers at once if the roll-out is completed. Else it ends the new ones, which
// drain before.
func (s *soak) finish(ctx context.Context, o *order) {
	if o.state == completed {
		s.retire(o)
		return
	}
	hold(ctx, drainDelay)
	for _, one := range o.searchers {
		s.store.Put("servers", one.ID, one.Entry("draining"))
	}
	hold(ctx, drain)
	for _, one := range o.searchers {
		s.store.Remove("servers", one.ID)
		one.Stop()
	}
}

// retire makes the new searchers those of the service, without faults, and ends the old ones.
func (s *soak) retire(o *order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searchers = slices.DeleteFunc(s.searchers, func(one *site.Searcher) bool {
		if one.Service == o.service {
			one.Stop()
			s.store.Remove("servers", one.ID)
		}
		return one.Service == o.service
	})
	for _, one := range o.searchers {
		one.SetFaults(site.SearcherFaults{})
	}
	s.searchers, s.versions[o.service] = append(s.searchers, o.searchers...), o.version
}

// checkOrders checks what ran on bad versions. It is to be called when no more requests are sent.
func (s *soak) checkOrders() {
	for _, o := range s.orders {
		s.report.orders += fmt.Sprintf("[%s: %s]", o, o.state)
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
			if isNew && r.At.After(o.badSince) {
				bad = append(bad, r.At)
			}
		}
		if most := canaryShare*float64(all) + canarySlack; time.Now().After(limit) && float64(share) > most {
			s.report.violate("CANARY: %s got %d of %d requests, %g may", o, share, all, most)
		}
		slices.SortFunc(bad, time.Time.Compare)
		if n := o.bad.runs; len(bad) >= n && o.state != completed {
			replied := bad[n-1].Add(s.size.searcher(o.service).work + o.bad.faults.Work)
			if late := bad[len(bad)-1].Sub(replied); late > rollbackLimit {
				s.report.violate("ROLLBACK: %s ran a request %s after its 50th bad reply", o, late)
			}
		}
	}
}

// String returns the order for messages.
func (o *order) String() string {
	kind := "good"
	if o.bad != nil {
		kind = fmt.Sprintf("bad (fails %g, takes %s more, from %s on)", o.bad.faults.Fail, o.bad.faults.Work, o.bad.onset)
	}
	return fmt.Sprintf("%s of %s, ordered at %s, %s", o.version, o.service, o.at.UTC().Format(time.RFC3339Nano), kind)
}
