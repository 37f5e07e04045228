package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestObservations guards against reports of healthy searchers, which cost traffic and
// tell nothing new. It also guards against reports without the successes, in which one
// failure among many requests would look like a searcher that always fails.
func TestObservations(t *testing.T) {
	const usual = 20 * time.Millisecond
	now := time.Second
	var o Observations
	for range 10 {
		o.AddReply(now, usual, usual)
	}
	qt.Assert(t, o.PendingCount(now), qt.Equals, 0)
	o.AddFailure(now)
	o.AddReply(now, usual, usual)
	o.AddReply(now, 2*usual, usual)
	qt.Assert(t, o.PendingCount(now), qt.Equals, 3)
	qt.Assert(t, o.TakeReport("s"), qt.Equals, Report{Searcher: "s", Answered: 2, Failed: 1, MeanLatency: 30 * time.Millisecond})
	qt.Assert(t, o.PendingCount(now), qt.Equals, 0)
	o.AddReply(now, usual, usual)
	qt.Assert(t, o.PendingCount(now), qt.Equals, 1, qt.Commentf("a searcher that failed is no longer reported"))
	qt.Assert(t, o.PendingCount(now+suspectDuration), qt.Equals, 0)
	o = Observations{}
	o.ReceiveReport(now, Report{Answered: 3, MeanLatency: usual}, usual)
	o.AddReply(now, usual, usual)
	qt.Assert(t, o.PendingCount(now), qt.Equals, 0, qt.Commentf("a report of a healthy searcher starts reports here"))
	o.ReceiveReport(now, Report{Answered: 1, MeanLatency: 10 * usual}, usual)
	o.AddReply(now, usual, usual)
	qt.Assert(t, o.PendingCount(now), qt.Equals, 1)
}

// TestChooseOutsideSubset guards against an instance that keeps to the searchers of its
// subset although they are slow, and against connections that are opened without need.
func TestChooseOutsideSubset(t *testing.T) {
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

// TestReportsReachOtherInstances guards against a large deployment in which each instance
// has to find out for itself that a searcher fails. The load: 40 instances send two requests
// a second each to three searchers, one of which fails 40 % of its requests.
func TestReportsReachOtherInstances(t *testing.T) {
	const (
		instances = 40
		interval  = 500 * time.Millisecond
		latency   = 15 * time.Millisecond
	)
	// toFailing returns how many requests are sent to the failing searcher after the first
	// second, with or without reports.
	toFailing := func(report bool) int {
		random := rand.New(rand.NewPCG(5, 6))
		stats := make([][3]Stats, instances)
		observations := make([][3]Observations, instances)
		count := 0
		for step := range 8 {
			now := time.Duration(step) * interval
			for i := range instances {
				candidates := make([]Candidate, 3)
				for s := range candidates {
					candidates[s] = Candidate{Stats: &stats[i][s], Slots: 4, SameDomain: true, Connected: true}
				}
				chosen := Choose(now, candidates, latency)
				failing := chosen == 0
				if failing && step >= 2 {
					count++
				}
				if failing && random.Float64() < 0.4 {
					stats[i][chosen].ObserveBadReply(now, NoAnswer)
					observations[i][chosen].AddFailure(now)
					continue
				}
				stats[i][chosen].ObserveReply(now, latency, true)
				observations[i][chosen].AddReply(now, latency, latency)
			}
			if !report {
				continue
			}
			for i := range instances {
				for s := range observations[i] {
					if observations[i][s].PendingCount(now) == 0 {
						continue
					}
					r := observations[i][s].TakeReport("")
					for other := range instances {
						if other != i {
							stats[other][s].ApplyReport(now, r)
							observations[other][s].ReceiveReport(now, r, latency)
						}
					}
				}
			}
		}
		return count
	}
	alone, together := toFailing(false), toFailing(true)
	qt.Assert(t, 3*together < alone, qt.IsTrue, qt.Commentf("%d requests to the failing searcher, %d without reports", together, alone))
}
