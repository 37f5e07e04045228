package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func statsWithLatency(latency time.Duration) *Stats {
	s := &Stats{}
	for range 50 {
		s.ObserveReply(0, latency, true)
	}
	return s
}

func chooseIndex(t *testing.T, now time.Duration, candidates ...Candidate) int {
	t.Helper()
	for i := range candidates {
		candidates[i].Slots = 3
	}
	return Choose(now, candidates, 10*time.Millisecond)
}

// TestChoose guards against requests going to a searcher that is expected to answer later,
// or to fail more often, than another candidate.
func TestChoose(t *testing.T) {
	const usual = 10 * time.Millisecond
	near := func(s *Stats) Candidate { return Candidate{Stats: s, SameDomain: true, Connected: true} }
	far := func(s *Stats) Candidate { return Candidate{Stats: s, Connected: true} }
	stalled := near(statsWithLatency(usual))
	stalled.Outstanding, stalled.OldestWait = 1, 80*time.Millisecond
	busy := near(statsWithLatency(usual))
	busy.Outstanding = 6
	failing := statsWithLatency(usual)
	for range 10 {
		failing.ObserveReply(0, usual, false)
	}
	for _, c := range []struct {
		name        string
		other, best Candidate
	}{
		{"same domain first", far(statsWithLatency(usual)), near(statsWithLatency(usual))},
		{"another domain when the own one is slow", near(statsWithLatency(6 * usual)), far(statsWithLatency(usual))},
		{"another domain when the own one is stalled", stalled, far(statsWithLatency(usual))},
		{"another domain when the own one is busy", busy, far(statsWithLatency(usual))},
		{"another domain when the own one fails", near(failing), far(statsWithLatency(usual))},
		{"a warm one before a cold one", Candidate{Stats: &Stats{}, Cold: true, SameDomain: true, Connected: true}, near(&Stats{})},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 20 {
				qt.Assert(t, chooseIndex(t, 0, c.other, c.best), qt.Equals, 1)
			}
		})
	}
}

// TestUnreachableSearcherIsBlocked guards against requests to a searcher that can't be
// reached, against several trial requests to it at once, and against never trying it
// again.
func TestUnreachableSearcherIsBlocked(t *testing.T) {
	s := statsWithLatency(time.Millisecond)
	c := Candidate{Stats: s, SameDomain: true, Connected: true}
	s.MarkUnreachable(0)
	qt.Assert(t, chooseIndex(t, minBlock/2, c), qt.Equals, -1)
	qt.Assert(t, chooseIndex(t, minBlock, c), qt.Equals, 0)
	c.Outstanding = 1
	qt.Assert(t, chooseIndex(t, minBlock, c), qt.Equals, -1, qt.Commentf("a second trial request at the same time"))
	s.MarkUnreachable(minBlock)
	c.Outstanding = 0
	qt.Assert(t, chooseIndex(t, 2*minBlock, c), qt.Equals, -1, qt.Commentf("the second block is no longer than the first"))
	s.ObserveReply(3*minBlock, time.Millisecond, true)
	c.Outstanding = 1
	qt.Assert(t, chooseIndex(t, 3*minBlock, c), qt.Equals, 0)
}

// TestFailureRateDecays guards against a searcher that never gets requests again after it
// failed for some time.
func TestFailureRateDecays(t *testing.T) {
	failing := statsWithLatency(10 * time.Millisecond)
	for range 20 {
		failing.ObserveReply(0, 0, false)
	}
	bad := Candidate{Stats: failing, SameDomain: true, Connected: true}
	good := Candidate{Stats: statsWithLatency(12 * time.Millisecond), SameDomain: true, Connected: true}
	qt.Assert(t, chooseIndex(t, 0, bad, good), qt.Equals, 1)
	qt.Assert(t, chooseIndex(t, 10*failureHalfLife, bad, good), qt.Equals, 0)
}
