package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var expensive, cheap = Kind{Route: "expensive"}, Kind{Route: "cheap"}

// serve has a searcher run requests of a kind, one after the other, and returns the time after them.
func serve(m *Model, s *Searcher, now time.Duration, k Kind, n int, latency time.Duration) time.Duration {
	for range n {
		r := m.Start(now, s, k, 2)
		now += latency
		s.End(r)
		m.ObserveReply(now, s, r, latency)
	}
	return now
}

// TestSpeedIsSeparateFromCost guards against a searcher that counts as slow because it got the
// expensive requests, and against one that counts as slow for good.
func TestSpeedIsSeparateFromCost(t *testing.T) {
	var m Model
	var a, b Searcher
	now := serve(&m, &b, serve(&m, &a, 0, expensive, 40, 100*time.Millisecond), cheap, 40, 5*time.Millisecond)
	now = serve(&m, &b, serve(&m, &a, now, expensive, 40, 100*time.Millisecond), cheap, 40, 5*time.Millisecond)
	qt.Check(t, m.Active(now), qt.IsTrue)
	qt.Check(t, a.Slowness(now)/b.Slowness(now) < 1.5, qt.IsTrue, qt.Commentf("%.2f, %.2f", a.Slowness(now), b.Slowness(now)))
	now = serve(&m, &a, now, cheap, 10, 40*time.Millisecond)
	slow, _ := m.Estimate(now, cheap).Completion(&a, 2)
	sound, _ := m.Estimate(now, cheap).Completion(&b, 2)
	qt.Check(t, slow > 25*time.Millisecond && sound < 8*time.Millisecond, qt.IsTrue, qt.Commentf("40 ms expected as %v, 5 ms as %v", slow, sound))
	qt.Check(t, a.Slowness(now+150*time.Second) < 2, qt.IsTrue)
}

// TestUnknownKindsStartFromTheirRoute guards against an unknown kind that counts as free, and against
// kinds that take memory without bound.
func TestUnknownKindsStartFromTheirRoute(t *testing.T) {
	var m Model
	var s Searcher
	qt.Check(t, m.Expected(0, expensive), qt.Equals, time.Duration(0))
	now := serve(&m, &s, serve(&m, &s, 0, expensive, 60, 100*time.Millisecond), cheap, 60, 10*time.Millisecond)
	ofRoute := m.Expected(now, Kind{Route: "expensive", Account: "unknown"})
	ofService := m.Expected(now, Kind{Route: "unknown"})
	qt.Check(t, ofRoute > 60*time.Millisecond && ofService > 10*time.Millisecond && ofService < ofRoute, qt.IsTrue, qt.Commentf("%v, %v", ofRoute, ofService))
	for i := range 3 * maxKinds {
		now = serve(&m, &s, now, Kind{Route: "cheap", Account: fmt.Sprint(i)}, 1, 10*time.Millisecond)
		m.Expected(now, expensive)
	}
	qt.Check(t, len(m.kinds), qt.Equals, maxKinds)
	qt.Check(t, m.recent.Len(), qt.Equals, maxKinds)
	qt.Check(t, m.Expected(now, expensive) > 3*m.Expected(now, cheap), qt.IsTrue, qt.Commentf("a kind in use was dropped"))
}

// TestEvenServiceIsLeftAlone guards against a choice that changes where neither kinds nor speeds differ, also
// if there are many kinds whose few observations differ by chance.
func TestEvenServiceIsLeftAlone(t *testing.T) {
	var m Model
	var near, far Searcher
	far.ObserveDial(3 * time.Millisecond)
	now := time.Duration(0)
	for range 200 {
		now = serve(&m, &far, serve(&m, &near, now, expensive, 1, 5*time.Millisecond), cheap, 1, 9*time.Millisecond)
		qt.Assert(t, m.Active(now), qt.IsFalse)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 5000 {
		latency := time.Duration(math.Exp(0.5*random.NormFloat64()) * float64(6*time.Millisecond))
		now = 5*time.Millisecond + serve(&m, &near, now, Kind{Route: "many", Account: fmt.Sprint(i % 75)}, 1, latency)
		qt.Assert(t, m.Active(now), qt.IsFalse, qt.Commentf("after %d requests", i))
	}
}

// TestChoose guards against instances that all choose the same of several searchers, and against
// searchers that are chosen although they are slower or may not be used.
func TestChoose(t *testing.T) {
	inf := Option{Cost: math.Inf(1), Capacity: 9}
	qt.Check(t, Choose([]Option{inf, inf}, 0.5), qt.Equals, -1)
	options, chosen := []Option{inf, {100, 2}, {130, 9}, {105, 6}}, make([]int, 4)
	for i := range 80 {
		chosen[Choose(options, float64(i)/80)]++
	}
	qt.Check(t, chosen, qt.DeepEquals, []int{0, 20, 0, 60})
	qt.Check(t, SizeClassOf(0) == SizeClassOf(255) && SizeClassOf(300) < SizeClassOf(1<<20), qt.IsTrue)
}
