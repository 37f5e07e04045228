package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var noon = time.Unix(1_800_000_000, 0)

func running(target string, phase Phase) Status {
	return Status{State: Running, TargetVersion: target, Phase: phase, StartUnixMs: noon.UnixMilli()}
}

// TestBook guards against an ended order that runs again when the store comes back from an older
// copy, a target that stays allowed when the order is changed to another one, and a second order
// that is carried out while the first one runs.
func TestBook(t *testing.T) {
	b := NewBook()
	order := Order{Service: "s", TargetVersion: "v2", Duration: 12 * time.Second, Created: 5}
	b.Put("s", order, 0, noon)
	qt.Assert(t, b.View("s").Active, qt.IsFalse)
	order.Status = running("v2", Canary)
	b.Put("s", order, time.Second, noon)
	qt.Assert(t, b.View("s").Active, qt.IsTrue)
	qt.Assert(t, b.View("s").Start, qt.Equals, time.Duration(0))

	second := Order{Service: "s", TargetVersion: "v3", Duration: time.Second, Created: 6}
	b.Put("other", second, time.Second, noon)
	qt.Assert(t, b.View("s").Order.Target, qt.Equals, "v2")
	qt.Assert(t, b.Waiting(), qt.DeepEquals, []string{"other"})
	b.Remove("s", 3*time.Second)
	second.Status = running("v3", Canary)
	b.Put("other", second, 4*time.Second, noon)
	qt.Assert(t, b.View("s").Start, qt.Equals, 3*time.Second, qt.Commentf("its time begins when it comes into force"))
	b.Remove("other", 4*time.Second)
	b.Put("s", order, 4*time.Second, noon)

	qt.Assert(t, b.MarkBad(order.Key(), "why", 0), qt.IsTrue)
	qt.Assert(t, b.View("s").Active, qt.IsFalse)
	qt.Assert(t, b.Current(0)[0].Bad, qt.Equals, "why", qt.Commentf("the verdict is still to be written"))
	order.Status = Status{State: RolledBack, TargetVersion: "v2"}
	b.Put("s", order, 2*time.Second, noon)
	qt.Assert(t, b.Current(0), qt.HasLen, 0)
	order.Status = running("v2", Canary)
	b.Put("s", order, 3*time.Second, noon) // from a copy
	qt.Assert(t, b.View("s").Active, qt.IsFalse)
	qt.Assert(t, b.Current(0)[0].Rewrite, qt.IsTrue)
	qt.Assert(t, b.Current(0)[0].Order.Status.State, qt.Equals, RolledBack)

	order.TargetVersion = "v4"
	b.Put("s", order, 4*time.Second, noon)
	qt.Assert(t, b.View("s").Barred, qt.DeepEquals, []string{"v4"})
	order.Status = Status{State: Completed, TargetVersion: "v4"}
	b.Put("s", order, 5*time.Second, noon)
	qt.Assert(t, b.View("s").Completed.Target, qt.Equals, "v4")
	b.Remove("s", 6*time.Second)
	qt.Assert(t, b.View("s").Completed.Target, qt.Equals, "v4", qt.Commentf("the version stays established"))
}

// TestStartOfOrder guards against an age of an order that depends on a clock that is 2 s off, and one
// that begins anew at an instance that learns of a running order late.
func TestStartOfOrder(t *testing.T) {
	b := NewBook()
	o := Order{Service: "s", TargetVersion: "v2", Duration: 12 * time.Second, Status: running("v2", Canary)}
	b.Put("s", o, 100*time.Second, noon.Add(2*time.Second))
	qt.Assert(t, b.View("s").Start, qt.Equals, 100*time.Second)
	late := NewBook()
	late.Put("s", o, 100*time.Second, noon.Add(7*time.Second))
	qt.Assert(t, late.View("s").Start, qt.Equals, 93*time.Second)
	late.AdoptStart(o.Key(), 94*time.Second)
	qt.Assert(t, late.View("s").Start, qt.Equals, 94*time.Second, qt.Commentf("an instance that saw the order begin knows better"))
	b.AdoptStart(o.Key(), 94*time.Second)
	qt.Assert(t, b.View("s").Start, qt.Equals, 100*time.Second)
}

// TestEstablished guards against a version that gets requests because its searchers were started
// beside the others, and a service whose searchers are replaced without an order and that stays with
// the last of the former version.
func TestEstablished(t *testing.T) {
	v1 := func(n int) Census { return Census{Version: "v1", Searchers: n, Earliest: 1} }
	v2 := func(n int) Census { return Census{Version: "v2", Searchers: n, Earliest: 2} }
	free := func(string) bool { return false }
	barred := func(v string) bool { return v == "v2" }
	for _, test := range []struct {
		name      string
		steps     [][]Census
		completed Key
		barred    func(string) bool
		want      string
	}{
		{"seen first at a start", [][]Census{{v2(1)}, {v2(3)}, {v2(3), v1(1)}, {v2(3), v1(3)}}, Key{}, free, "v1"},
		{"completed before a start", [][]Census{{v1(3)}, {v1(3), v2(1)}}, Key{Service: "s", Target: "v2"}, free, "v2"},
		{"barred at a start", [][]Census{{v2(3)}, {v2(3), v1(1)}}, Key{}, barred, "v1"},
		{"started beside", [][]Census{{v1(6)}, nil, {v1(6), v2(6)}, {v1(5), v2(6)}, {v1(4), v2(6)}}, Key{}, free, "v1"},
		{"replaced", [][]Census{{v1(6)}, nil, {v1(5), v2(1)}, {v1(4), v2(3)}, {v1(3), v2(4)}}, Key{}, free, "v2"},
		{"replaced but barred", [][]Census{{v1(6)}, nil, {v1(4), v2(3)}, {v1(1), v2(6)}}, Key{}, barred, "v1"},
		{"nothing else left", [][]Census{{v1(6)}, nil, {v1(6), v2(6)}, {v2(6)}}, Key{}, barred, "v2"},
	} {
		var e Established
		got, now := "", time.Duration(0)
		for _, census := range test.steps {
			if census == nil {
				now += settleTime
				continue
			}
			now += 100 * time.Millisecond
			got = e.Update(now, census, test.completed, test.barred)
		}
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// TestSums guards against requests that count twice because two leaders report on one failure domain,
// or because a report arrives again or late, and a promotion that waits for an instance that has died.
func TestSums(t *testing.T) {
	s := NewSums()
	report := func(n int64, unconfirmed int) Report {
		return Report{Tally: Tally{1: {Requests: n, Sent: n / 2}}, Unconfirmed: unconfirmed}
	}
	s.Put("i1", report(10, 1), 0)
	s.Put("i1", report(8, 1), 0)
	s.Put("i2", report(4, 0), silentAfter)
	s.PutDomain("b", "l1", report(100, 1), 0)
	s.PutDomain("b", "l2", report(90, 2), silentAfter)
	all := s.All(silentAfter)
	qt.Assert(t, all.Tally.Total(), qt.Equals, Counts{Requests: 114, Sent: 57})
	qt.Assert(t, all.Unconfirmed, qt.Equals, 3)
	qt.Assert(t, s.All(2*silentAfter).Unconfirmed, qt.Equals, 2)
	qt.Assert(t, s.All(3*silentAfter).Unconfirmed, qt.Equals, 0)
}

// TestDecideSteps guards against a completion while requests run on established searchers or while
// new ones lack room, and bad input that leaves an order running for ever.
func TestDecideSteps(t *testing.T) {
	base := Situation{
		Order: Order{TargetVersion: "v2", Duration: 12 * time.Second, Status: running("v2", Promote)}, Elapsed: 10 * time.Second, PromotedFor: 2 * time.Second,
		NewSlots: 8, OldSlots: 10, KnownService: true, Sums: Tally{1: {Requests: 600, Sent: 60, NewReplies: 60, OldReplies: 540}},
	}
	for _, test := range []struct {
		name   string
		change func(*Situation)
		want   State
		phase  Phase
	}{
		{"all ended", func(*Situation) {}, Completed, ""},
		{"running on established searchers", func(s *Situation) { s.RunningOld = 1 }, Running, Promote},
		{"an instance has not confirmed", func(s *Situation) { s.Unconfirmed = 1 }, Running, Promote},
		{"too few warm searchers", func(s *Situation) { s.NewSlots = 7 }, Running, Promote},
		{"out of time", func(s *Situation) { s.RunningOld, s.Elapsed = 1, 11700*time.Millisecond }, RolledBack, ""},
		{"unknown service", func(s *Situation) { s.KnownService = false }, RolledBack, ""},
		{"bad", func(s *Situation) { s.Verdict.Bad = true }, RolledBack, ""},
		{"new order", func(s *Situation) { s.Order.Status = Status{} }, Running, Canary},
		{"other target in the object", func(s *Situation) { s.Order.TargetVersion = "v3" }, Running, Canary},
		{"no searcher of the version", func(s *Situation) { s.Order.Status.Phase, s.NewSlots = Canary, 0 }, Running, Canary},
		{"no searcher until the end", func(s *Situation) { s.Order.Status.Phase, s.NewSlots, s.Elapsed = Canary, 0, 12*time.Second }, RolledBack, ""},
		{"few requests", func(s *Situation) {
			s.Order.Status.Phase, s.Sums = Canary, Tally{1: {Requests: 9, Sent: 6, NewReplies: 6, OldReplies: 3}}
		}, Running, Promote},
		{"evidence comes too late", func(s *Situation) { s.Order.Status.Phase, s.Elapsed = Canary, 10500*time.Millisecond }, Running, Canary},
		{"short order", func(s *Situation) {
			s.Order.Status.Phase, s.Order.Duration, s.Elapsed = Canary, 5*time.Second, 2500*time.Millisecond
		}, Running, Promote},
		{"no evidence", func(s *Situation) { s.Order.Status.Phase, s.Sums = Canary, Tally{1: {Requests: 900}} }, Running, Canary},
	} {
		s := base
		test.change(&s)
		got, _ := testBounds.Decide(s)
		qt.Check(t, got.State, qt.Equals, test.want, qt.Commentf("%s: %+v", test.name, got))
		qt.Check(t, got.Phase, qt.Equals, test.phase, qt.Commentf("%s: %+v", test.name, got))
	}
}
