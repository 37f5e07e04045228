package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEndlessReplyBlocks guards against a searcher that replies without end and is chosen again,
// and against one that is never tried again.
func TestEndlessReplyBlocks(t *testing.T) {
	var endless, sound Stats
	now := time.Second
	endless.ObserveBadReply(now, Endless)
	sound.ObserveReply(now, 50*time.Millisecond, true)
	candidates := []Candidate{{Stats: &endless}, {Stats: &sound, Outstanding: 30, Slots: 4}}
	qt.Assert(t, Choose(now+minBlock-1, candidates, 0), qt.Equals, 1)
	for block := minBlock; block <= maxBlock; block *= 2 {
		now += block
		qt.Assert(t, endless.Blocked(now), qt.IsFalse)
		endless.ObserveBadReply(now, Endless)
		qt.Assert(t, endless.Blocked(now+min(2*block, maxBlock)-1), qt.IsTrue)
		now += min(2*block, maxBlock) - block
	}
	qt.Assert(t, Choose(now+maxBlock, []Candidate{{Stats: &endless}}, 0), qt.Equals, 0)
}

// TestDamagedRepliesDoNotBlock guards against sound searchers that are left out because the path to
// them damages or cuts off replies, or because one query gets replies that are no answers.
func TestDamagedRepliesDoNotBlock(t *testing.T) {
	var s Stats
	for i := range 20 {
		s.ObserveBadReply(time.Second, NoAnswer)
		qt.Check(t, s.Blocked(time.Second), qt.IsFalse, qt.Commentf("reply %d", i))
	}
}

// TestUsualReplySizes guards against a service with large answers whose searchers count as faulty
// when memory is short.
func TestUsualReplySizes(t *testing.T) {
	var s ReplySizes
	qt.Check(t, s.Exceeded(minExceeded), qt.IsFalse)
	qt.Check(t, s.Exceeded(minExceeded+1), qt.IsTrue)
	s.Observe(2 << 20)
	s.Observe(10)
	qt.Check(t, s.Exceeded(7<<20), qt.IsFalse)
	qt.Check(t, s.Exceeded(8<<20+1), qt.IsTrue)
	for range 10_000 {
		s.Observe(10)
	}
	qt.Check(t, s.Exceeded(minExceeded+1), qt.IsTrue)
}
