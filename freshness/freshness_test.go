package freshness_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/wisteriawharf/wisteriawharf/freshness"
)

// history is when each version of a configuration was written to a store.
type history []time.Duration

// at returns the newest version at a time.
func (h history) at(t time.Duration) int64 {
	version := int64(0)
	for version < int64(len(h)) && h[version] <= t {
		version++
	}
	return version
}

// TestCopyIsNeverTakenForNewerModel guards against an instance that takes its configuration for current at a
// time at which a newer one was written already, for any delays, pauses, losses, repetitions and orders of
// messages, and whichever versions can't be decoded.
func TestCopyIsNeverTakenForNewerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		now := time.Duration(rapid.IntRange(0, 1000).Draw(t, "boot")) * time.Millisecond
		written := history{now}
		unreadable := make(map[int64]bool)
		copies := make([]freshness.Copy, instances)
		type call struct {
			from int
			sent time.Duration
		}
		type reply struct {
			to int
			freshness.Reply
		}
		var calls, questions []call
		var replies []reply
		any := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			// Each step has a time of its own: of two events at one time, none is known to be the later one.
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "elapsed ms")) * time.Millisecond
			i := any("instance", instances)
			switch any("action", 7) {
			case 0:
				written = append(written, now)
				unreadable[int64(len(written))] = rapid.Bool().Draw(t, "unreadable")
			case 1:
				calls = append(calls, call{i, now})
			case 2: // a call returns with what the store held at some time since it was sent
				if len(calls) > 0 {
					c := calls[any("call", len(calls))]
					heard := c.sent + time.Duration(rapid.Int64Range(0, int64(now-c.sent)).Draw(t, "heard"))
					if version := written.at(heard); unreadable[version] {
						copies[c.from].Reject()
					} else {
						copies[c.from].Hold(version)
					}
					copies[c.from].Confirm(c.sent)
				}
			case 3:
				questions = append(questions, call{i, now})
			case 4:
				if len(questions) > 0 {
					q := questions[any("question", len(questions))]
					if r, ok := copies[i].Answer(q.sent, now); ok {
						replies = append(replies, reply{q.from, r})
					}
				}
			case 5:
				if len(replies) > 0 {
					r := replies[any("reply", len(replies))]
					held := copies[r.to].Version()
					if newer := copies[r.to].Apply(r.Reply); newer != (r.Version > held) {
						t.Fatalf("version %d is held, %d is announced, newer: %v", held, r.Version, newer)
					}
				}
			case 6: // the configuration of another instance is fetched
				copies[i].Hold(copies[any("source", instances)].Version())
			}
			for n := range copies {
				if age, known := copies[n].Age(now); known && copies[n].Version() < written.at(now-age) {
					t.Fatalf("instance %d takes version %d for current at a time when %d was written", n, copies[n].Version(), written.at(now-age))
				}
			}
		}
	})
}

// TestAnnouncedVersionCountsOnceHeld guards against an instance that was told of a newer configuration, has
// fetched it, and still does not know that it is current.
func TestAnnouncedVersionCountsOnceHeld(t *testing.T) {
	var c freshness.Copy
	c.Hold(1)
	qt.Assert(t, c.Apply(freshness.Reply{Asked: 10 * time.Second, Version: 2, Age: time.Second}), qt.IsTrue)
	_, known := c.Age(11 * time.Second)
	qt.Assert(t, known, qt.IsFalse)
	c.Hold(2)
	age, known := c.Age(11 * time.Second)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, 2*time.Second)
}

// TestRejectedConfigurationIsNotConfirmed guards against an instance that takes its configuration for current because
// the store answers, although the store holds a newer one that could not be put in force.
func TestRejectedConfigurationIsNotConfirmed(t *testing.T) {
	var c freshness.Copy
	c.Hold(1)
	c.Confirm(time.Second)
	c.Reject()
	c.Confirm(9 * time.Second)
	age, _ := c.Age(10 * time.Second)
	qt.Assert(t, age, qt.Equals, 9*time.Second)
	c.Hold(3)
	qt.Assert(t, c.Rejected(), qt.IsFalse)
	c.Confirm(9 * time.Second)
	age, _ = c.Age(10 * time.Second)
	qt.Assert(t, age, qt.Equals, time.Second)
}

// TestRepliesToOthersAreNotUsed guards against a reply that was not asked for, for instance before the machine
// started again, so that its time says nothing.
func TestRepliesToOthersAreNotUsed(t *testing.T) {
	var a freshness.Asker
	qt.Assert(t, a.Answered(freshness.Reply{}), qt.IsFalse)
	a.Ask(time.Second, 1, 0, true)
	qt.Assert(t, a.Answered(freshness.Reply{Asked: 2 * time.Second}), qt.IsFalse)
	qt.Assert(t, a.Answered(freshness.Reply{Asked: time.Second}), qt.IsTrue)
}

// TestRefreshesAreLimited guards against a question for each request with an unknown key.
func TestRefreshesAreLimited(t *testing.T) {
	var a freshness.Asker
	asked := 0
	for ms := range 1000 {
		asked += min(len(a.Refresh(time.Duration(ms+1)*time.Millisecond, 5)), 1)
	}
	qt.Assert(t, asked, qt.Equals, int(time.Second/freshness.RefreshInterval))
}
