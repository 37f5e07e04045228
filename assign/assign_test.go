package assign

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/control"
)

const (
	second        = time.Second
	takeoverDelay = 11*second + 11*time.Millisecond
)

var timing = LeaseTiming{Lease: 6 * second, MaxDeadline: 5 * second}

func heartbeatsOf(ids ...string) []BrokerHeartbeat {
	var all []BrokerHeartbeat
	for _, id := range ids {
		all = append(all, BrokerHeartbeat{ID: id, Address: id, SentNs: int64(second)})
	}
	return all
}

// nextRecordByA returns the record that results from applying update, with "a" as the writer.
func nextRecordByA(r control.Record, update RecordUpdate) control.Record {
	update.Writer = "a"
	return NextRecord("x", r, update)
}

// searcherRanked returns a searcher for which the rendezvous order of a, b and c starts with
// the given identifiers.
func searcherRanked(t *testing.T, ids ...string) string {
	for i := range 100000 {
		s := "s" + time.Duration(i).String()
		ranked := Rank([]string{"a", "b", "c"}, s)
		if slices.Equal(ranked[:len(ids)], ids) {
			return s
		}
	}
	t.Fatalf("no searcher is ranked %v", ids)
	return ""
}

// TestRightTracker guards against a right that outlasts its lease or its confirmations, and
// against one that rests on another epoch or on the member's own confirmation.
func TestRightTracker(t *testing.T) {
	record := nextRecordByA(control.Record{}, RecordUpdate{Heartbeats: heartbeatsOf("a", "b", "c")})
	r := NewRightTracker("a", timing)
	qt.Assert(t, r.At(second), qt.Equals, RightNone)
	r.Observe(&record)
	qt.Assert(t, r.At(7*second-1), qt.Equals, RightLeased)
	qt.Assert(t, r.At(7*second), qt.Equals, RightNone)
	r.ObserveRenewal(record.Epoch+1, 9*second)
	qt.Assert(t, r.At(7*second), qt.Equals, RightNone)
	r.ObserveConfirmation(record.Epoch, "b", 7*second)
	r.ObserveConfirmation(record.Epoch, "a", 7*second)
	r.ObserveConfirmation(record.Epoch-1, "c", 7*second)
	qt.Assert(t, r.At(8*second), qt.Equals, RightByMajority)
	r.ObserveConfirmation(record.Epoch, "c", 8*second)
	qt.Assert(t, r.At(13*second-1), qt.Equals, RightByAll)
	qt.Assert(t, r.At(13*second), qt.Equals, RightByMajority)
	qt.Assert(t, r.At(14*second), qt.Equals, RightNone)
	r.ObserveRenewal(record.Epoch, 13*second)
	qt.Assert(t, r.At(14*second), qt.Equals, RightLeased)
	removed := nextRecordByA(record, RecordUpdate{Lost: []string{"b"}})
	r.ObserveConfirmation(record.Epoch, "c", 14*second)
	r.Observe(&removed)
	qt.Assert(t, r.At(20*second), qt.Equals, RightNone)
}

// TestLoneBrokerIsNotConfirmed guards against a broker that holds RightByAll although no
// other broker confirms the epoch. This happens if the broker is the only confirmer, and all
// of the other confirmers, which are none, count as having confirmed.
func TestLoneBrokerIsNotConfirmed(t *testing.T) {
	record := nextRecordByA(control.Record{}, RecordUpdate{Heartbeats: heartbeatsOf("a")})
	r := NewRightTracker("a", timing)
	r.Observe(&record)
	qt.Assert(t, r.At(60*second), qt.Equals, RightNone)
}

// TestTakeoverByAcknowledgements guards against a successor that uses a searcher before the
// takeover delay has passed, and against one that uses the full limits although only some
// of the confirmers have acknowledged the removal of the former owner.
func TestTakeoverByAcknowledgements(t *testing.T) {
	record := nextRecordByA(control.Record{}, RecordUpdate{Heartbeats: heartbeatsOf("a", "b", "c")})
	lost := nextRecordByA(record, RecordUpdate{Lost: []string{"b"}})
	s, ownSearcher := searcherRanked(t, "b", "a"), searcherRanked(t, "a", "b")
	takeover := NewTakeoverTracker("a", timing)
	takeover.Observe(&record, 0)
	qt.Assert(t, takeover.Share(s, 0), qt.Equals, ShareNone)
	takeover.Observe(&lost, second)
	qt.Assert(t, takeover.Share(ownSearcher, second), qt.Equals, ShareFull)
	qt.Assert(t, takeover.Share(s, second+takeoverDelay), qt.Equals, ShareNone)
	some := nextRecordByA(lost, RecordUpdate{Acked: map[string]uint64{"a": lost.Epoch, "c": record.Epoch}})
	takeover.Observe(&some, 2*second)
	qt.Assert(t, takeover.Share(s, 2*second+takeoverDelay-1), qt.Equals, ShareNone)
	qt.Assert(t, takeover.Share(s, 2*second+takeoverDelay), qt.Equals, ShareReserve)
	all := nextRecordByA(some, RecordUpdate{Acked: map[string]uint64{"c": lost.Epoch}})
	takeover.Observe(&all, 20*second)
	qt.Assert(t, takeover.Share(s, 20*second), qt.Equals, ShareReserve)
	qt.Assert(t, takeover.Fenced(20*second), qt.HasLen, 0)
	qt.Assert(t, takeover.Share(s, 20*second+takeoverDelay), qt.Equals, ShareFull)
	qt.Assert(t, takeover.Fenced(20*second+takeoverDelay), qt.DeepEquals, []string{"b"})
	pruned := nextRecordByA(all, RecordUpdate{Fenced: []string{"b"}, Heartbeats: heartbeatsOf("b")})
	qt.Assert(t, pruned.Departed, qt.HasLen, 0)
}

// TestJoinWaitsForRelease guards against a new member that uses searchers while their former
// owner, still a member, uses them, and against one that waits for members that were never
// the owner.
func TestJoinWaitsForRelease(t *testing.T) {
	record := nextRecordByA(control.Record{}, RecordUpdate{Heartbeats: heartbeatsOf("a", "c")})
	joined := nextRecordByA(record, RecordUpdate{Heartbeats: heartbeatsOf("b")})
	s := searcherRanked(t, "b", "a", "c")
	takeover := NewTakeoverTracker("b", timing)
	takeover.Observe(&joined, 0)
	qt.Assert(t, takeover.Share(s, 100*second), qt.Equals, ShareNone)
	owner, mustRelease := ReleaseTarget(&joined, "a", s)
	qt.Assert(t, mustRelease, qt.IsTrue)
	qt.Assert(t, owner.ID, qt.Equals, "b")
	_, mustRelease = ReleaseTarget(&joined, "c", s)
	qt.Assert(t, mustRelease, qt.IsFalse)
	takeover.ObserveRelease("a", record.Epoch, s)
	qt.Assert(t, takeover.Share(s, 0), qt.Equals, ShareNone)
	takeover.ObserveRelease("a", joined.Epoch, s)
	qt.Assert(t, takeover.Share(s, 0), qt.Equals, ShareFull)
	// The later loss of the former owner affects only the searchers that it has not
	// released.
	lost := NextRecord("x", joined, RecordUpdate{Writer: "c", Lost: []string{"a"}})
	takeover.Observe(&lost, 0)
	qt.Assert(t, takeover.Share(s, 0), qt.Equals, ShareFull)
	qt.Assert(t, takeover.Share(searcherRanked(t, "a", "b"), takeoverDelay), qt.Equals, ShareNone)
}

// TestDepartedDoesNotRejoin guards against a member that was removed, joins again without
// having noticed the removal, and continues as if it had owned its searchers throughout. It
// may join again only once it is fenced.
func TestDepartedDoesNotRejoin(t *testing.T) {
	record := nextRecordByA(control.Record{}, RecordUpdate{Heartbeats: heartbeatsOf("a", "b")})
	lost := nextRecordByA(record, RecordUpdate{Lost: []string{"b"}, Heartbeats: heartbeatsOf("b")})
	again := nextRecordByA(lost, RecordUpdate{Heartbeats: heartbeatsOf("b"), Acked: map[string]uint64{"b": lost.Epoch}})
	_, member := again.Member("b")
	qt.Assert(t, member, qt.IsFalse)
	qt.Assert(t, again.Epoch, qt.Equals, lost.Epoch)
	takeover := NewTakeoverTracker("a", timing)
	takeover.Observe(&again, 0)
	qt.Assert(t, takeover.Fenced(takeoverDelay), qt.DeepEquals, []string{"b"})
	back := nextRecordByA(again, RecordUpdate{Heartbeats: heartbeatsOf("b"), Fenced: []string{"b"}})
	b, member := back.Member("b")
	qt.Assert(t, member, qt.IsTrue)
	qt.Assert(t, b.Joined, qt.Equals, back.Epoch)
}

// TestLeavingCoordinator guards against a record that has no coordinator after the
// coordinator has left, and against a planned leave after which the next owner still waits.
func TestLeavingCoordinator(t *testing.T) {
	record := nextRecordByA(control.Record{}, RecordUpdate{Heartbeats: heartbeatsOf("a", "b")})
	left := nextRecordByA(record, RecordUpdate{Left: []string{"a"}})
	qt.Assert(t, left.Coordinator, qt.Equals, "b")
	qt.Assert(t, left.Departed, qt.HasLen, 0)
	takeover := NewTakeoverTracker("b", timing)
	takeover.Observe(&record, 0)
	takeover.Observe(&left, 0)
	qt.Assert(t, takeover.Share(searcherRanked(t, "a"), 0), qt.Equals, ShareFull)
}

// TestConfirmersOfOldEpochsAcknowledge guards against a departed member that keeps a right
// because confirmers of an old epoch confirm that epoch to it. This happens if they are not
// asked to acknowledge its removal, and so are not told of the new epoch.
func TestConfirmersOfOldEpochsAcknowledge(t *testing.T) {
	record := nextRecordByA(control.Record{}, RecordUpdate{Heartbeats: heartbeatsOf("a", "b"), OtherDomainBrokers: []string{"y1", "y2", "y3"}})
	qt.Assert(t, record.Confirmers, qt.HasLen, 5)
	grown := nextRecordByA(record, RecordUpdate{Heartbeats: heartbeatsOf("c", "d"), OtherDomainBrokers: []string{"y1", "y2", "y3"}})
	lost := nextRecordByA(grown, RecordUpdate{Lost: []string{"b"}, OtherDomainBrokers: []string{"y1", "y2", "y3"}})
	qt.Assert(t, lost.Departed[0].Confirmers, qt.DeepEquals, [][]string{record.Confirmers, grown.Confirmers})
	qt.Assert(t, lost.Departed[0].Asked(), qt.DeepEquals, []string{"a", "b", "c", "d", "y1", "y2", "y3"})
	known := grown
	for i := range known.Members {
		known.Members[i].Known = grown.Epoch
	}
	settled := nextRecordByA(known, RecordUpdate{OtherDomainBrokers: []string{"y1", "y2", "y3"}})
	qt.Assert(t, settled.Former, qt.HasLen, 0)
}

// TestTwoLostOwnersPartlyAcknowledged guards against a third owner that uses the reserve
// while the second of two lost owners may be using it. For both, only some of the confirmers
// have acknowledged the removal.
func TestTwoLostOwnersPartlyAcknowledged(t *testing.T) {
	record := nextRecordByA(control.Record{}, RecordUpdate{Heartbeats: heartbeatsOf("a", "b", "c")})
	lost := nextRecordByA(record, RecordUpdate{Lost: []string{"b", "c"}})
	some := nextRecordByA(lost, RecordUpdate{Acked: map[string]uint64{"a": lost.Epoch}})
	takeover := NewTakeoverTracker("a", timing)
	takeover.Observe(&record, 0)
	takeover.Observe(&some, 0)
	qt.Assert(t, takeover.Share(searcherRanked(t, "b", "c"), 100*second), qt.Equals, ShareNone)
	acked := nextRecordByA(some, RecordUpdate{Acked: map[string]uint64{"b": lost.Epoch}})
	takeover.Observe(&acked, 0)
	qt.Assert(t, takeover.Share(searcherRanked(t, "b", "c"), takeoverDelay), qt.Equals, ShareFull)
}

// TestDepartedCoordinatorRemovesNobody guards against a departed broker that becomes the
// coordinator of a record and removes all members, although it cannot join the record itself.
func TestDepartedCoordinatorRemovesNobody(t *testing.T) {
	record := nextRecordByA(control.Record{}, RecordUpdate{Heartbeats: heartbeatsOf("a", "b", "c")})
	lost := nextRecordByA(record, RecordUpdate{Lost: []string{"b"}})
	taken := NextRecord("x", lost, RecordUpdate{Writer: "b", Heartbeats: heartbeatsOf("b"), Lost: []string{"a", "c"}})
	qt.Assert(t, taken.Members, qt.HasLen, 2)
	qt.Assert(t, taken.Epoch, qt.Equals, lost.Epoch)
	qt.Assert(t, taken.Coordinator, qt.Equals, "b")
	handed := NextRecord("x", taken, RecordUpdate{Writer: "b", Heartbeats: heartbeatsOf("b", "c")})
	qt.Assert(t, handed.Coordinator, qt.Equals, "c")
	joined := NextRecord("x", taken, RecordUpdate{Writer: "b", Heartbeats: heartbeatsOf("b"), Lost: []string{"a", "c"}, Fenced: []string{"b"}})
	qt.Assert(t, joined.Members, qt.HasLen, 1)
	qt.Assert(t, joined.Coordinator, qt.Equals, "b")
}
