package dispatch

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/rollout"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// versionsFixture is a dispatcher with two searchers of v1, two of v2 and one without a version.
type versionsFixture struct {
	*Dispatcher
	clock *clock.Manual
}

func newVersionsFixture(share float64) *versionsFixture {
	f := &versionsFixture{clock: &clock.Manual{}}
	f.Dispatcher = New(Config{
		Clock: f.clock, InstanceCount: func() int { return 1 }, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		Bounds: platform.Bounds{CanaryShare: share, CanarySlack: 50},
	})
	f.SetConfig(routing.NewConfig(1, nil, []*routing.Service{{Name: "s", MaxConnections: 100}}, routing.Limits{}))
	for _, s := range []fleet.Searcher{{ID: "n1", Version: "v2"}, {ID: "o1", Version: "v1"}, {ID: "o2", Version: "v1"}, {ID: "plain"}, {ID: "n2", Version: "v2"}} {
		f.put(s, false)
	}
	f.clock.Advance(time.Minute)
	return f
}

func (f *versionsFixture) put(s fleet.Searcher, draining bool) {
	s.Service, s.Slots, s.Draining, s.Address = "s", 4, draining, s.ID
	if s.Version == "v2" {
		s.StartUnixMs = 1
	}
	f.PutSearcher(s)
}

// order makes v2 the target of an order in a phase, known to be up to date.
func (f *versionsFixture) order(phase rollout.Phase) {
	f.SetRollout("s", rollout.View{
		Active: true, Phase: phase, Order: rollout.Key{Service: "s", Target: "v2"}, Barred: []string{"v2"}, Start: f.clock.Boottime(), Duration: 12 * time.Second,
	})
	f.SetRolloutContact(f.clock.Boottime())
}

// eligibleIDs returns the sorted IDs of the searchers that may get a retry.
func (f *versionsFixture) eligibleIDs(avoid ...string) []string {
	ids := []string{}
	for _, t := range f.eligible(f.services["s"], Request{Service: "s", Kind: Retry, Avoid: avoid}, f.clock.Boottime()) {
		ids = append(ids, t.ID)
	}
	slices.Sort(ids)
	return ids
}

// firstToNew returns how many of n first attempts go to v2 as the canary's share.
func (f *versionsFixture) firstToNew(n int) int {
	sent := 0
	s := f.services["s"]
	for range n {
		a := &Attempt{Request: Request{Service: "s", Kind: First}, d: f.Dispatcher, service: s}
		s.countFirst(&a.Request)
		if f.placeAtOrdered(a, f.clock.Boottime(), time.Time{}) != nil {
			sent++
			a.target.removeRunning(a)
			a.target.open--
		}
	}
	return sent
}

// TestVersions guards against requests to a version that no order allows, a service without searchers
// because of versions, and retries that go to a version on trial.
func TestVersions(t *testing.T) {
	all, old, fresh := []string{"n1", "n2", "o1", "o2", "plain"}, []string{"o1", "o2", "plain"}, []string{"n1", "n2"}
	qt.Assert(t, newVersionsFixture(0).eligibleIDs(), qt.DeepEquals, all, qt.Commentf("without roll-outs versions mean nothing"))
	f := newVersionsFixture(0.1)
	qt.Assert(t, f.eligibleIDs(), qt.DeepEquals, old)
	qt.Assert(t, f.eligibleIDs(old...), qt.HasLen, 0, qt.Commentf("a retry must not go to another version"))
	f.order(rollout.Canary)
	qt.Assert(t, f.eligibleIDs(), qt.DeepEquals, old)
	f.order(rollout.Promote)
	qt.Assert(t, f.eligibleIDs(), qt.DeepEquals, fresh)
	f.clock.Advance(rollout.MaxContactAge + 1)
	qt.Assert(t, f.eligibleIDs(), qt.DeepEquals, old, qt.Commentf("nobody has confirmed the promotion for long"))
	f.order(rollout.Promote)
	for _, id := range fresh {
		f.put(fleet.Searcher{ID: id, Version: "v2"}, true)
	}
	qt.Assert(t, f.eligibleIDs(), qt.DeepEquals, old, qt.Commentf("all searchers of the target drain"))
	for _, id := range fresh {
		f.put(fleet.Searcher{ID: id, Version: "v2"}, false)
	}
	completed := rollout.Key{Service: "s", Target: "v2"}
	f.SetRollout("s", rollout.View{Completed: completed})
	qt.Assert(t, f.eligibleIDs(), qt.DeepEquals, []string{"n1", "n2", "plain"})
	for _, id := range fresh {
		f.RemoveSearcher(id)
	}
	f.RemoveSearcher("plain")
	qt.Assert(t, f.eligibleIDs(), qt.DeepEquals, []string{"o1", "o2"}, qt.Commentf("no other searcher is left"))
}

// TestCanaryShare guards against first attempts beyond the share, and against any at an instance that
// does not know whether the order still runs.
func TestCanaryShare(t *testing.T) {
	f := newVersionsFixture(0.1)
	qt.Assert(t, f.firstToNew(100), qt.Equals, 0, qt.Commentf("no order runs"))
	f.order(rollout.Canary)
	sent := f.firstToNew(1000)
	qt.Assert(t, sent > 50 && sent <= 100, qt.IsTrue, qt.Commentf("%d", sent))
	f.clock.Advance(rollout.MaxContactAge + 1)
	qt.Assert(t, f.firstToNew(1000), qt.Equals, 0, qt.Commentf("no contact"))
	f.SetRolloutContact(f.clock.Boottime())
	qt.Assert(t, f.firstToNew(1000) > 0, qt.IsTrue)
	counts, ok := f.RolloutCounts("s")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, counts.Tally.Total().Requests, qt.Equals, int64(3000))
	qt.Assert(t, counts.OldSlots, qt.Equals, 12)
	qt.Assert(t, counts.NewSlots, qt.Equals, 8)
	f.SetRollout("s", rollout.View{Barred: []string{"v2"}})
	qt.Assert(t, f.firstToNew(100), qt.Equals, 0, qt.Commentf("rolled back"))
}

// TestCountReply guards against a new version that is taken for bad since its searchers have just
// started, or since a request was given up early, and a slow one that is taken for good, also where an
// instance sees few requests.
func TestCountReply(t *testing.T) {
	f := newVersionsFixture(0.1)
	f.order(rollout.Canary)
	s := f.services["s"]
	reply := func(id string, took time.Duration, observe func(*Attempt)) rollout.Counts {
		before := s.versions.order.tally.Total()
		a := &Attempt{Request: Request{Service: "s", Kind: First}, d: f.Dispatcher, service: s, target: f.searchers[id], chosenAt: f.clock.Boottime()}
		a.bindVersion(a.target)
		f.clock.Advance(took)
		observe(a)
		observe(a) // a late reply must not count again
		after := s.versions.order.tally.Total()
		return rollout.Counts{OldReplies: after.OldReplies - before.OldReplies, OldBad: after.OldBad - before.OldBad, NewReplies: after.NewReplies - before.NewReplies, NewBad: after.NewBad - before.NewBad}
	}
	answered := func(a *Attempt) { a.observeReplyOfVersion(Event{Outcome: Answered}, f.clock.Boottime(), nil) }
	failed := func(a *Attempt) { a.observeReplyOfVersion(Event{Outcome: Failed}, f.clock.Boottime(), nil) }
	refused := func(a *Attempt) { a.observeReplyOfVersion(Event{Outcome: Refused}, f.clock.Boottime(), nil) }
	givenUp := func(a *Attempt) { a.observeGivenUp(f.clock.Boottime(), false) }
	qt.Check(t, reply("n1", 80*time.Millisecond, answered), qt.Equals, rollout.Counts{}, qt.Commentf("the usual latency is not known"))
	for range 10 {
		qt.Assert(t, reply("o1", 10*time.Millisecond, answered).OldReplies, qt.Equals, int64(1))
	}
	f.clock.Advance(youngFor)
	good, bad := rollout.Counts{NewReplies: 1}, rollout.Counts{NewReplies: 1, NewBad: 1}
	qt.Check(t, reply("n1", 20*time.Millisecond, answered), qt.Equals, good)
	qt.Check(t, reply("n1", 45*time.Millisecond, answered), qt.Equals, bad)
	qt.Check(t, reply("n1", time.Millisecond, failed), qt.Equals, bad)
	qt.Check(t, reply("n1", time.Millisecond, refused), qt.Equals, rollout.Counts{})
	qt.Check(t, reply("n1", 15*time.Millisecond, givenUp), qt.Equals, rollout.Counts{})
	qt.Check(t, reply("n1", 40*time.Millisecond, givenUp), qt.Equals, bad)
	qt.Check(t, reply("o2", 45*time.Millisecond, answered), qt.Equals, rollout.Counts{OldReplies: 1, OldBad: 1})
	f.RemoveSearcher("n2")
	f.put(fleet.Searcher{ID: "n2", Version: "v2"}, false)
	qt.Check(t, reply("n2", 45*time.Millisecond, answered), qt.Equals, good, qt.Commentf("it has just started"))
}
