package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOlderEntriesAreIgnored guards against replacing a known entry by one of an older revision, whatever start it
// states, against ignoring a newer one of an earlier start, and against removing an entry because of an older deletion.
func TestOlderEntriesAreIgnored(t *testing.T) {
	searchers := NewSearchers()
	qt.Assert(t, searchers.Put(Searcher{ID: "a", StartUnixMs: 5}, 10), qt.IsTrue)
	qt.Assert(t, searchers.Put(Searcher{ID: "a", StartUnixMs: 4}, 11), qt.IsTrue, qt.Commentf("restarted where the time of day was set back"))
	for _, start := range []int64{0, 3, 4, 6} {
		qt.Assert(t, searchers.Put(Searcher{ID: "a", StartUnixMs: start}, 10), qt.IsFalse)
	}
	qt.Assert(t, searchers.Put(Searcher{ID: "a", StartUnixMs: 6}, 12), qt.IsTrue)
	qt.Assert(t, searchers.Remove("a", 11, 0), qt.Equals, IgnoredAsOlder, qt.Commentf("the removal is older than the entry"))
	qt.Assert(t, searchers.Len(), qt.Equals, 1)
	qt.Assert(t, searchers.Remove("a", 13, 0), qt.Equals, Removed)
}

// TestMissingEntriesExpireAfterOutage guards against losing searchers whose entries expired
// during an outage of the store, and against keeping those whose entries are not written
// again.
func TestMissingEntriesExpireAfterOutage(t *testing.T) {
	searchers := NewSearchers()
	for _, id := range []string{"back", "gone", "leaving"} {
		searchers.Put(Searcher{ID: id, Draining: id == "leaving"}, 1)
	}
	searchers.RecordStoreFailure(time.Second)
	qt.Assert(t, searchers.Remove("back", 2, time.Second), qt.Equals, MarkedMissing)
	qt.Assert(t, searchers.Remove("gone", 2, time.Second), qt.Equals, MarkedMissing)
	qt.Assert(t, searchers.Remove("leaving", 2, time.Second), qt.Equals, Removed, qt.Commentf("the entry of a draining searcher is not written again"))
	searchers.Put(Searcher{ID: "back"}, 3)
	searchers.RecordStoreFailure(2 * time.Second) // a later outage does not extend the grace period
	qt.Assert(t, searchers.Expire(time.Second+MissingGracePeriod-1), qt.HasLen, 0)
	qt.Assert(t, searchers.Expire(time.Second+MissingGracePeriod), qt.DeepEquals, []string{"gone"})
	qt.Assert(t, searchers.Len(), qt.Equals, 1)
}

// TestMissingEntriesAreKeptWhileStoreIsDown guards against the loss of searchers whose entries
// expired in an outage of the store, when another outage begins before they can be written again.
func TestMissingEntriesAreKeptWhileStoreIsDown(t *testing.T) {
	searchers := NewSearchers()
	for _, id := range []string{"back", "gone"} {
		searchers.Put(Searcher{ID: id}, 1)
	}
	searchers.RecordStoreFailure(time.Second)
	for _, id := range []string{"back", "gone"} {
		qt.Assert(t, searchers.Remove(id, 2, time.Second), qt.Equals, MarkedMissing)
	}
	ended := time.Second + 4*MissingGracePeriod
	for now := 2 * time.Second; now <= ended; now += time.Second {
		searchers.HoldMissing(now)
	}
	searchers.HoldMissing(ended)
	qt.Assert(t, searchers.Expire(ended+MissingGracePeriod-1), qt.HasLen, 0)
	searchers.Put(Searcher{ID: "back"}, 3)
	qt.Assert(t, searchers.Expire(ended+MissingGracePeriod), qt.DeepEquals, []string{"gone"})
}

// newTestInstances returns the set of instance b1, which knows a1, a2 and b2 from their
// entries. The first letter is the failure domain.
func newTestInstances(t *testing.T) *Instances {
	t.Helper()
	s := NewInstances(Instance{Name: "b1", FailureDomain: "b", CallerAddress: "b1"})
	for _, i := range []Instance{{Name: "a1", FailureDomain: "a"}, {Name: "a2", FailureDomain: "a"}, {Name: "b2", FailureDomain: "b"}} {
		i.CallerAddress, i.InternalAddress, i.StartUnixMs = i.Name, "internal "+i.Name, 1
		s.Put(i, 0)
	}
	return s
}

// TestCallerAddresses guards against sending callers to instances that are dead, not ready
// or of an earlier start, and against returning a single address when there are more.
func TestCallerAddresses(t *testing.T) {
	s := newTestInstances(t)
	qt.Assert(t, s.CallerAddresses("a", 0, true), qt.DeepEquals, []string{"b1"}, qt.Commentf("no heartbeat was received yet"))
	for _, name := range []string{"a1", "a2", "b2"} {
		i, ok := s.RecordHeartbeat(name, 1, time.Second, HeartbeatStatus{Ready: true, StoreReachable: true})
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, i.InternalAddress, qt.Equals, "internal "+name)
	}
	qt.Assert(t, s.CallerAddresses("a", time.Second, true), qt.DeepEquals, []string{"a1", "a2"})
	s.RecordHeartbeat("a2", 1, time.Second, HeartbeatStatus{StoreReachable: true})
	qt.Assert(t, s.CallerAddresses("a", time.Second, true), qt.DeepEquals, []string{"a1", "b1", "b2"})
	qt.Assert(t, s.CallerAddresses("a", time.Second+maxHeartbeatAge+1, false), qt.HasLen, 0)
	_, ok := s.RecordHeartbeat("a1", 2, 2*time.Second, HeartbeatStatus{Ready: true, StoreReachable: true})
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("the heartbeat is from another start than the entry"))
	s.Put(Instance{Name: "a1", FailureDomain: "a", StartUnixMs: 2}, 2*time.Second)
	qt.Assert(t, s.CallerAddresses("a", 2*time.Second, false), qt.DeepEquals, []string{"b2"})
}

// TestLateHeartbeatIsIgnored guards against callers that are sent to an instance that stops, because its heartbeat from before the
// stop comes after that from the stop, and against heartbeats of a new start that count as late.
func TestLateHeartbeatIsIgnored(t *testing.T) {
	s := newTestInstances(t)
	record := func(start int64, sequence uint64, ready bool) Sender {
		sender, ok := s.RecordHeartbeat("b2", start, time.Second, HeartbeatStatus{Sequence: sequence, Ready: ready, StoreReachable: true})
		qt.Assert(t, ok, qt.IsTrue)
		return sender
	}
	record(1, 6, true)
	qt.Assert(t, record(1, 8, false).StatusChanged, qt.IsTrue)
	qt.Assert(t, record(1, 7, true).Late, qt.IsTrue)
	qt.Assert(t, s.CallerAddresses("b", time.Second, false), qt.HasLen, 0)
	qt.Assert(t, record(1, 9, true).Late, qt.IsFalse)
	qt.Assert(t, record(1, 0, true).Late, qt.IsFalse, qt.Commentf("an older build states no sequence"))
	s.Put(Instance{Name: "b2", FailureDomain: "b", CallerAddress: "b2", StartUnixMs: 2}, 2*time.Second)
	qt.Assert(t, record(2, 1, true).Late, qt.IsFalse)
	qt.Assert(t, s.CallerAddresses("b", time.Second, false), qt.DeepEquals, []string{"b2"})
}

// TestCountBudgetSharers guards against raising the budget of each instance as soon as
// another one falls silent, since that one may still use its share. It also guards against
// raising it because an instance of another failure domain is not heard, since not all
// instances there send heartbeats here.
func TestCountBudgetSharers(t *testing.T) {
	s := newTestInstances(t)
	qt.Assert(t, s.CountBudgetSharers(sharerTimeout), qt.Equals, 4)
	qt.Assert(t, s.CountBudgetSharers(sharerTimeout+1), qt.Equals, 3, qt.Commentf("b2 is silent"))
	s.RecordHeartbeat("b2", 1, sharerTimeout, HeartbeatStatus{Ready: true, StoreReachable: true})
	qt.Assert(t, s.CountBudgetSharers(sharerTimeout+1), qt.Equals, 4)
	s.Remove("a1", sharerTimeout+1)
	qt.Assert(t, s.CountBudgetSharers(2*sharerTimeout), qt.Equals, 4, qt.Commentf("the removed instance may still serve"))
	s.RecordHeartbeat("b2", 1, 2*sharerTimeout, HeartbeatStatus{Ready: true, StoreReachable: true})
	qt.Assert(t, s.CountBudgetSharers(2*sharerTimeout+2), qt.Equals, 3)
	qt.Assert(t, s.CallerAddresses("a", sharerTimeout+1, false), qt.HasLen, 1, qt.Commentf("callers are not sent to the removed instance"))
}

// TestIsLeader guards against a failure domain, or a deployment, without enough leaders to
// notice that changes of the store no longer arrive.
func TestIsLeader(t *testing.T) {
	s := newTestInstances(t)
	qt.Assert(t, s.IsLeader(0), qt.IsTrue, qt.Commentf("no other instance is heard"))
	for _, name := range []string{"a1", "a2", "b2"} {
		s.RecordHeartbeat(name, 1, 0, HeartbeatStatus{Ready: true, StoreReachable: true})
	}
	qt.Assert(t, s.IsLeader(0), qt.IsTrue, qt.Commentf("the first instance of its domain"))
	s.Put(Instance{Name: "b0", FailureDomain: "b", StartUnixMs: 1}, 0)
	s.RecordHeartbeat("b0", 1, 0, HeartbeatStatus{Ready: true, StoreReachable: true})
	qt.Assert(t, s.IsLeader(0), qt.IsFalse)
	for _, name := range []string{"a1", "a2", "b2"} {
		s.RecordHeartbeat(name, 1, maxHeartbeatAge, HeartbeatStatus{Ready: true, StoreReachable: true})
	}
	qt.Assert(t, s.IsLeader(maxHeartbeatAge+1), qt.IsTrue, qt.Commentf("the instance before it has fallen silent"))
	now := 2*maxHeartbeatAge + 1
	s.RecordHeartbeat("b0", 1, now, HeartbeatStatus{Ready: true, StoreReachable: true})
	qt.Assert(t, s.IsLeader(now), qt.IsTrue, qt.Commentf("no other failure domain is heard, so two instances lead"))
}
