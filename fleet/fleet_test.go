package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOlderEntries guards against an entry of an earlier incarnation, or an older
// reading, taking the place of what is known.
func TestOlderEntries(t *testing.T) {
	l := NewSearchers()
	qt.Assert(t, l.Put(Searcher{ID: "a", Incarnation: 5}, 10), qt.IsTrue)
	qt.Assert(t, l.Put(Searcher{ID: "a", Incarnation: 4}, 11), qt.IsFalse)
	qt.Assert(t, l.Put(Searcher{ID: "a", Incarnation: 6}, 9), qt.IsFalse)
	qt.Assert(t, l.Put(Searcher{ID: "a", Incarnation: 6}, 12), qt.IsTrue)
	qt.Assert(t, l.Remove("a", 11, 0), qt.Equals, IgnoredAsOlder, qt.Commentf("a removal that is older than the entry"))
	qt.Assert(t, l.Len(), qt.Equals, 1)
	qt.Assert(t, l.Remove("a", 13, 0), qt.Equals, Removed)
}

// TestLapsedEntries guards against losing searchers whose entries lapsed while the
// store was away, and against keeping those that are gone.
func TestLapsedEntries(t *testing.T) {
	l := NewSearchers()
	for _, id := range []string{"back", "gone", "leaving"} {
		l.Put(Searcher{ID: id, Draining: id == "leaving"}, 1)
	}
	l.NoteStoreFailure(time.Second)
	qt.Assert(t, l.Remove("back", 2, time.Second), qt.Equals, MarkedMissing)
	qt.Assert(t, l.Remove("gone", 2, time.Second), qt.Equals, MarkedMissing)
	qt.Assert(t, l.Remove("leaving", 2, time.Second), qt.Equals, Removed, qt.Commentf("a searcher that drains doesn't come back"))
	l.Put(Searcher{ID: "back"}, 3)
	l.NoteStoreFailure(2 * time.Second) // a later outage gives no more time
	qt.Assert(t, l.Expire(time.Second+MissingGracePeriod-1), qt.HasLen, 0)
	qt.Assert(t, l.Expire(time.Second+MissingGracePeriod), qt.DeepEquals, []string{"gone"})
	qt.Assert(t, l.Len(), qt.Equals, 1)
}

func instances(t *testing.T) *Instances {
	t.Helper()
	s := NewInstances(Instance{Name: "b1", FailureDomain: "b", CallerAddress: "b1"})
	for _, i := range []Instance{{Name: "a1", FailureDomain: "a"}, {Name: "a2", FailureDomain: "a"}, {Name: "b2", FailureDomain: "b"}} {
		i.CallerAddress, i.InternalAddress, i.StartUnixMs = i.Name, "internal "+i.Name, 1
		s.Put(i, 0)
	}
	return s
}

// TestAddresses guards against callers being sent to instances that are dead, not
// ready or of an earlier start, and against an answer with one address only.
func TestAddresses(t *testing.T) {
	s := instances(t)
	qt.Assert(t, s.CallerAddresses("a", 0, true), qt.DeepEquals, []string{"b1"}, qt.Commentf("nothing heard yet"))
	for _, name := range []string{"a1", "a2", "b2"} {
		i, ok := s.RecordHeartbeat(name, 1, time.Second, HeartbeatStatus{Ready: true, StoreReachable: true})
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, i.InternalAddress, qt.Equals, "internal "+name)
	}
	qt.Assert(t, s.CallerAddresses("a", time.Second, true), qt.DeepEquals, []string{"a1", "a2"})
	s.RecordHeartbeat("a2", 1, time.Second, HeartbeatStatus{StoreReachable: true})
	qt.Assert(t, s.CallerAddresses("a", time.Second, true), qt.DeepEquals, []string{"a1", "b1", "b2"})
	qt.Assert(t, s.CallerAddresses("a", time.Second+silentAfter+1, false), qt.HasLen, 0)
	_, ok := s.RecordHeartbeat("a1", 2, 2*time.Second, HeartbeatStatus{Ready: true, StoreReachable: true})
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("another start than its entry"))
	s.Put(Instance{Name: "a1", FailureDomain: "a", StartUnixMs: 2}, 2*time.Second)
	qt.Assert(t, s.CallerAddresses("a", 2*time.Second, false), qt.DeepEquals, []string{"b2"})
}

// TestSharers guards against budgets that grow the moment an instance falls
// silent, as it may still use its part, and against those that grow because an
// instance of another failure domain, from which not all hear, is not heard.
func TestSharers(t *testing.T) {
	s := instances(t)
	qt.Assert(t, s.CountBudgetSharers(countedFor), qt.Equals, 4)
	qt.Assert(t, s.CountBudgetSharers(countedFor+1), qt.Equals, 3, qt.Commentf("b2 is silent"))
	s.RecordHeartbeat("b2", 1, countedFor, HeartbeatStatus{Ready: true, StoreReachable: true})
	qt.Assert(t, s.CountBudgetSharers(countedFor+1), qt.Equals, 4)
	s.Remove("a1", countedFor+1)
	qt.Assert(t, s.CountBudgetSharers(2*countedFor), qt.Equals, 4, qt.Commentf("it may still serve"))
	s.RecordHeartbeat("b2", 1, 2*countedFor, HeartbeatStatus{Ready: true, StoreReachable: true})
	qt.Assert(t, s.CountBudgetSharers(2*countedFor+2), qt.Equals, 3)
	qt.Assert(t, s.CallerAddresses("a", countedFor+1, false), qt.HasLen, 1, qt.Commentf("callers are not sent there"))
}

// TestLeads guards against a failure domain, or a deployment, in which nobody
// notices that the store's news have stopped.
func TestLeads(t *testing.T) {
	s := instances(t)
	qt.Assert(t, s.IsLeader(0), qt.IsTrue, qt.Commentf("alone as far as it knows"))
	for _, name := range []string{"a1", "a2", "b2"} {
		s.RecordHeartbeat(name, 1, 0, HeartbeatStatus{Ready: true, StoreReachable: true})
	}
	qt.Assert(t, s.IsLeader(0), qt.IsTrue, qt.Commentf("the first of its domain"))
	s.Put(Instance{Name: "b0", FailureDomain: "b", StartUnixMs: 1}, 0)
	s.RecordHeartbeat("b0", 1, 0, HeartbeatStatus{Ready: true, StoreReachable: true})
	qt.Assert(t, s.IsLeader(0), qt.IsFalse)
	for _, name := range []string{"a1", "a2", "b2"} {
		s.RecordHeartbeat(name, 1, silentAfter, HeartbeatStatus{Ready: true, StoreReachable: true})
	}
	qt.Assert(t, s.IsLeader(silentAfter+1), qt.IsTrue, qt.Commentf("the one before it has fallen silent"))
	now := 2*silentAfter + 1
	s.RecordHeartbeat("b0", 1, now, HeartbeatStatus{Ready: true, StoreReachable: true})
	qt.Assert(t, s.IsLeader(now), qt.IsTrue, qt.Commentf("no other failure domain is heard, and one leader is too few"))
}
