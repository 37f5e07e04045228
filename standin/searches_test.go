package standin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSearchLog guards against runs that are lost while they are remembered, and
// against queries that are forgotten unsaid.
func TestSearchLog(t *testing.T) {
	l := newSearchLog(1)
	at := func(second int64) time.Time { return time.Unix(second, 0) }
	l.started(SearchRequest{Query: "a", Snapshot: "s1"}, at(1))
	l.started(SearchRequest{Query: "b", Snapshot: "s1", Shard: 1}, at(2))
	l.started(SearchRequest{Query: "a", Snapshot: "s1"}, at(3))
	l.answered(SearchRequest{Query: "a", Snapshot: "s1"}, at(3))
	qt.Assert(t, l.facts([]string{"a", "b", "c"}), qt.DeepEquals, SearchFacts{Runs: map[string][]SearchRun{
		"a": {{Snapshot: "s1", Started: 2, Answered: 1}}, "b": {{Snapshot: "s1", Shard: 1, Started: 1}},
	}})
	l.started(SearchRequest{Query: "c", Snapshot: "s1"}, at(4))
	facts := l.facts([]string{"a", "b", "c"})
	qt.Assert(t, facts.Runs, qt.HasLen, 2)
	qt.Assert(t, facts.ForgottenUnixMs, qt.Equals, at(2).UnixMilli())
}

// TestOtherSnapshot guards against a searcher that is to answer from its newest
// snapshot, and answers from the one asked for.
func TestOtherSnapshot(t *testing.T) {
	var l layouts
	l.place("slate-0", 0, 2)
	qt.Assert(t, l.newest("slate-0", "s0"), qt.Equals, "s1")
	l.add(NewSnapshot{ID: "s9", Number: 9, ShardsTotal: 2})
	l.add(NewSnapshot{ID: "s2", Number: 2, ShardsTotal: 2})
	qt.Assert(t, l.newest("slate-0", "s1"), qt.Equals, "s9")
	qt.Assert(t, l.newest("slate-1", "s1"), qt.Equals, "s1")
}
