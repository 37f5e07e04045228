package route

import (
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWait guards against a searcher that looks idle because its report is old, or
// because the parts sent after the report are not counted.
func TestWait(t *testing.T) {
	l := Load{Known: true, FreeSlots: 2, WaitPerPart: 5 * time.Millisecond}
	qt.Assert(t, l.Wait(MaxReportAge), qt.Equals, time.Duration(0))
	qt.Assert(t, l.Wait(MaxReportAge+1), qt.Equals, StalePenalty)
	qt.Assert(t, Load{}.Wait(0), qt.Equals, StalePenalty)
	l.Outstanding = 3
	qt.Assert(t, l.Wait(0), qt.Equals, 10*time.Millisecond)
	l.FreeSlots, l.QueueWait = 0, time.Millisecond
	qt.Assert(t, l.Wait(0), qt.Equals, 16*time.Millisecond)
}

// TestChoose guards against choosing a replica whose wait is not the shortest, and
// against sending all parts to one of several replicas with equal waits.
func TestChoose(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	qt.Assert(t, Choose(random, nil, 0), qt.Equals, -1)
	loads := []Load{{Known: true}, {Known: true}, {Known: true, QueueWait: time.Second}}
	chosen := make([]int, 3)
	for range 900 {
		chosen[Choose(random, loads, 0)]++
	}
	qt.Assert(t, chosen[2], qt.Equals, 0)
	qt.Assert(t, chosen[0] > 300 && chosen[1] > 300, qt.IsTrue, qt.Commentf("%v", chosen))
	loads[0].QueueWait = time.Millisecond
	for range 100 {
		qt.Assert(t, Choose(random, loads, 0), qt.Equals, 1)
	}
}

// TestMinCoverageAndAllowed guards against giving an answer below the minimum coverage,
// against refusing one at exactly the minimum, and against new work for a searcher that
// may not get any.
func TestMinCoverageAndAllowed(t *testing.T) {
	qt.Assert(t, MeetsMinCoverage(9, 10, 0.9), qt.IsTrue)
	qt.Assert(t, MeetsMinCoverage(8, 10, 0.9), qt.IsFalse)
	qt.Assert(t, MeetsMinCoverage(0, 10, 0), qt.IsFalse)
	qt.Assert(t, Coverage(0, 0), qt.Equals, 0.0)
	qt.Assert(t, Candidate{Usable: true}.Allowed(), qt.IsTrue)
	for _, c := range []Candidate{
		{}, {Usable: true, DomainOut: true}, {Usable: true, UpstreamOut: true},
		{Usable: true, BrokerSuspected: true}, {Usable: true, Draining: true},
	} {
		qt.Assert(t, c.Allowed(), qt.IsFalse, qt.Commentf("%+v", c))
	}
}
