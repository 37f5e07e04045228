package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSightings guards against reports of searchers that are well, which would cost
// without telling anything, and against reports that leave out successes, so that one
// failure of many would look like a searcher that only fails.
func TestSightings(t *testing.T) {
	const usual = 20 * time.Millisecond
	now := time.Second
	var s Observations
	for range 10 {
		s.AddReply(now, usual, usual)
	}
	qt.Assert(t, s.PendingCount(now), qt.Equals, 0)
	s.AddFailure(now)
	s.AddReply(now, usual, usual)
	s.AddReply(now, 2*usual, usual)
	qt.Assert(t, s.PendingCount(now), qt.Equals, 3)
	qt.Assert(t, s.TakeReport("s"), qt.Equals, Report{Searcher: "s", Answered: 2, Failed: 1, MeanLatency: 30 * time.Millisecond})
	qt.Assert(t, s.PendingCount(now), qt.Equals, 0)
	s.AddReply(now, usual, usual)
	qt.Assert(t, s.PendingCount(now), qt.Equals, 1, qt.Commentf("a searcher that failed is reported for some time"))
	qt.Assert(t, s.PendingCount(now+suspectTime), qt.Equals, 0)
	s = Observations{}
	s.ReceiveReport(now, Report{Answered: 3, MeanLatency: usual}, usual)
	s.AddReply(now, usual, usual)
	qt.Assert(t, s.PendingCount(now), qt.Equals, 0, qt.Commentf("a good report is passed on"))
	s.ReceiveReport(now, Report{Answered: 1, MeanLatency: 10 * usual}, usual)
	s.AddReply(now, usual, usual)
	qt.Assert(t, s.PendingCount(now), qt.Equals, 1)
}

// TestGuest guards against an instance that stays with the searchers it has
// connections to though they are slow, and against connections opened without need.
func TestGuest(t *testing.T) {
	var own, other Stats
	own.ObserveReply(0, 15*time.Millisecond, true)
	other.ObserveReply(0, 12*time.Millisecond, true)
	candidates := []Candidate{
		{Stats: &own, Slots: 4, Connected: true},
		{Stats: &other, Slots: 4, SameDomain: true, OutsideSubset: true},
	}
	qt.Assert(t, Choose(0, candidates, 15*time.Millisecond), qt.Equals, 0)
	for range 20 {
		own.ObserveReply(0, 150*time.Millisecond, true)
	}
	qt.Assert(t, Choose(0, candidates, 15*time.Millisecond), qt.Equals, 1)
}

// TestReportsSpread guards against a large deployment in which each instance has to
// find out for itself that a searcher fails. The load: 40 instances with two requests a
// second each before three searchers, of which one begins to fail 40 % of its requests.
func TestReportsSpread(t *testing.T) {
	const (
		instances = 40
		interval  = 500 * time.Millisecond
		latency   = 15 * time.Millisecond
	)
	// toBad is how many requests go to the failing searcher from the second second on.
	toBad := func(report bool) int {
		random := rand.New(rand.NewPCG(5, 6))
		records := make([][3]Stats, instances)
		sightings := make([][3]Observations, instances)
		count := 0
		for step := range 8 {
			now := time.Duration(step) * interval
			for i := range instances {
				candidates := make([]Candidate, 3)
				for s := range candidates {
					candidates[s] = Candidate{Stats: &records[i][s], Slots: 4, SameDomain: true, Connected: true}
				}
				chosen := Choose(now, candidates, latency)
				bad := chosen == 0
				if bad && step >= 2 {
					count++
				}
				if bad && random.Float64() < 0.4 {
					records[i][chosen].ObserveBrokenExchange(now)
					sightings[i][chosen].AddFailure(now)
					continue
				}
				records[i][chosen].ObserveReply(now, latency, true)
				sightings[i][chosen].AddReply(now, latency, latency)
			}
			if !report {
				continue
			}
			for i := range instances {
				for s := range sightings[i] {
					if sightings[i][s].PendingCount(now) == 0 {
						continue
					}
					r := sightings[i][s].TakeReport("")
					for other := range instances {
						if other != i {
							records[other][s].ApplyReport(now, r)
							sightings[other][s].ReceiveReport(now, r, latency)
						}
					}
				}
			}
		}
		return count
	}
	alone, together := toBad(false), toBad(true)
	qt.Assert(t, 3*together < alone, qt.IsTrue, qt.Commentf("%d requests to the failing searcher, %d without reports", together, alone))
}
