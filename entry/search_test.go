package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// TestMismatchedSnapshot guards against a reply of another snapshot, or of
// another shard, being merged into an answer.
func TestMismatchedSnapshot(t *testing.T) {
	w := newWorld(t, 4, "min_coverage: 0.5")
	w.answerAll(func(f *fakeBroker, b *peer.Batch, p peer.Part) ([]*peer.PartReply, error) {
		r := good(b, p)
		switch {
		case p.Shard == 0 && f.id != "broker-c":
			r.Snapshot, r.Body = "s6", "old"
		case p.Shard == 1:
			r.Shard, r.Body = 2, "other shard"
		}
		return one(r)
	})
	answer, refusal := w.search("q", 0)
	succeeded(t, refusal)
	qt.Assert(t, answer.Coverage.Answered, qt.Equals, 3)
	qt.Assert(t, answer.Coverage.Missing[0].Shard, qt.Equals, uint32(1))
	qt.Assert(t, answer.Coverage.Missing[0].Code, qt.Equals, result.SnapshotMismatch)
	for _, r := range answer.Results {
		qt.Assert(t, string(r.Body), qt.Equals, "q")
	}
}

// TestSnapshotGone guards against an answer that fails, or mixes snapshots,
// when the pinned snapshot is replaced while the query runs.
func TestSnapshotGone(t *testing.T) {
	w := newWorld(t, 4, "min_coverage: 1")
	w.answerAll(func(f *fakeBroker, b *peer.Batch, p peer.Part) ([]*peer.PartReply, error) {
		if p.Snapshot == "s8" {
			return answerGood(b, p)
		}
		// All searchers move on when the first part of the old snapshot arrives.
		f.locked(func() {
			for i := range f.states {
				f.states[i].Snapshots = held(i, 4, 8)
			}
		})
		if p.Shard == 0 {
			return one(refusal(b, p, result.SnapshotGone))
		}
		r := good(b, p)
		r.Body = "old"
		return one(r)
	})
	answer := w.whole(t, "q")
	qt.Assert(t, answer.Snapshot, qt.Equals, "s8")
	trace, ok := w.entry.Explain(answer.RequestID)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, trace.Snapshots, qt.DeepEquals, []string{"s7", "s8"})
}

// TestForeignReplies guards against replies that are late, duplicated,
// reordered or of another query reaching a caller.
func TestForeignReplies(t *testing.T) {
	w := newWorld(t, 6, "min_coverage: 1")
	var mu sync.Mutex
	var earlier []*peer.PartReply
	w.answerAll(func(_ *fakeBroker, b *peer.Batch, p peer.Part) ([]*peer.PartReply, error) {
		own := good(b, p)
		mu.Lock()
		defer mu.Unlock()
		replies := append([]*peer.PartReply(nil), earlier[max(len(earlier)-5, 0):]...)
		earlier = append(earlier, own)
		stray := *own
		stray.PartID, stray.Body = p.ID+1000, "unknown part"
		mixed := *own
		mixed.QueryID, mixed.Body = "another query", "same part number"
		replies = append(replies, &stray, &mixed)
		// Parts are numbered by shard, so this forges the replies to the parts that
		// other brokers have.
		for id := uint32(1); id <= 6; id++ {
			if !slices.ContainsFunc(b.Parts, func(p peer.Part) bool { return p.ID == id }) {
				forged := *own
				forged.PartID, forged.Shard, forged.Body = id, id-1, "part of another stream"
				replies = append(replies, &forged)
			}
		}
		return append(replies, own, own), nil
	})
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			answer, refusal := w.search(fmt.Sprint("query ", i), 0)
			if refusal != nil {
				if refusal.Code != result.Overloaded {
					t.Errorf("query %d: %v", i, refusal)
				}
				return
			}
			for _, r := range answer.Results {
				if string(r.Body) != fmt.Sprint("query ", i) {
					t.Errorf("query %d was answered with %q", i, r.Body)
				}
			}
		})
	}
	group.Wait()
}

// TestLostBroker guards against the loss of a broker failing parts that were
// sent to others, or parts that other replicas can answer.
func TestLostBroker(t *testing.T) {
	w := newWorld(t, 9, "min_coverage: 1")
	lost := make(chan struct{})
	var once sync.Once
	w.answerAll(func(f *fakeBroker, b *peer.Batch, p peer.Part) ([]*peer.PartReply, error) {
		if f.id == "broker-a" {
			return nil, errors.New("lost")
		}
		// A batch of one part is a failover: by then the loss was handled. Other
		// parts are still open until it is.
		if len(b.Parts) == 1 {
			once.Do(func() { close(lost) })
		}
		select {
		case <-lost:
		case <-time.After(2 * time.Second):
		}
		return answerGood(b, p)
	})
	trace, _ := w.entry.Explain(w.whole(t, "q").RequestID)
	for _, s := range trace.Steps {
		if s.Code != result.OK {
			qt.Assert(t, s.Broker, qt.Equals, "broker-a")
		}
	}
}

// TestSilentBroker guards against parts being sent to a broker whose status
// stream is open and silent.
func TestSilentBroker(t *testing.T) {
	w := newWorld(t, 3, "min_coverage: 1")
	w.brokers[0].locked(func() { w.brokers[0].silent = true })
	w.eventually(t, func() bool { return w.usable(7) == 6 })
	w.whole(t, "q")
	w.brokers[0].locked(func() { w.brokers[0].silent = false })
	w.eventually(t, func() bool { return w.usable(7) == 9 })
}

// TestPartial guards against a partial answer that is taken for a whole one,
// and against results below the minimum coverage.
func TestPartial(t *testing.T) {
	for _, test := range []struct {
		minimum string
		enough  bool
	}{{"0.75", true}, {"0.9", false}} {
		w := newWorld(t, 4, "soft_deadline: 50ms\nmin_coverage: "+test.minimum)
		w.clock.stop() // the soft deadline must not pass before the refusal is read
		w.answerAll(func(_ *fakeBroker, b *peer.Batch, p peer.Part) ([]*peer.PartReply, error) {
			if p.Shard == 2 {
				return one(refusal(b, p, result.DomainOut))
			}
			return answerGood(b, p)
		})
		answer, refusal := w.search("q", 0)
		qt.Assert(t, answer.Coverage.Asked, qt.Equals, 4)
		qt.Assert(t, answer.Coverage.Answered, qt.Equals, 3)
		qt.Assert(t, answer.Coverage.Missing, qt.HasLen, 1)
		qt.Assert(t, answer.Coverage.Missing[0].Code, qt.Equals, result.DomainOut)
		if test.enough {
			succeeded(t, refusal)
			qt.Assert(t, answer.Results, qt.HasLen, 3)
			continue
		}
		qt.Assert(t, refusal.Code, qt.Equals, result.LowCoverage)
		qt.Assert(t, answer.Results, qt.HasLen, 0)
	}
}

// TestSoftDeadline guards against an answer that waits for its slowest shard
// although the service allows to end without it.
func TestSoftDeadline(t *testing.T) {
	w := newWorld(t, 4, "soft_deadline: 100ms\nmin_coverage: 0.75")
	w.answerAll(func(_ *fakeBroker, b *peer.Batch, p peer.Part) ([]*peer.PartReply, error) {
		if p.Shard == 2 {
			return nil, nil
		}
		return answerGood(b, p)
	})
	answer, refusal := w.search("q", 0)
	succeeded(t, refusal)
	qt.Assert(t, answer.Coverage.Missing[0].Code, qt.Equals, result.DeadlineExceeded)
	trace, _ := w.entry.Explain(answer.RequestID)
	qt.Assert(t, trace.Took < 4*time.Second-answerMargin, qt.IsTrue)
}

// TestHedge guards against a slow part that is not hedged, a hedge without
// budget, and a loser that is left running.
func TestHedge(t *testing.T) {
	for _, budget := range []float64{0.05, 0} {
		w := newWorld(t, 2, fmt.Sprintf("min_coverage: 1\nhedge_budget: %g", budget))
		w.learn(budget)
		var mu sync.Mutex
		var slow *fakeBroker
		var slowID uint32
		second := make(chan struct{})
		w.answerAll(func(f *fakeBroker, b *peer.Batch, p peer.Part) ([]*peer.PartReply, error) {
			mu.Lock()
			first := p.Shard == 0 && slow == nil
			if first {
				slow, slowID = f, p.ID
			}
			mu.Unlock()
			if first {
				return nil, nil
			}
			if p.Shard == 1 {
				// The query must be open when the loser is cancelled.
				if budget > 0 {
					select {
					case <-second:
					case <-time.After(patience):
					}
				}
			}
			return answerGood(b, p)
		})
		if budget == 0 {
			_, refusal := w.search("q", 300*time.Millisecond)
			qt.Assert(t, refusal.Code, qt.Equals, result.LowCoverage)
			continue
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.eventually(t, func() bool {
				mu.Lock()
				defer mu.Unlock()
				if slow == nil {
					return false
				}
				slow.mu.Lock()
				defer slow.mu.Unlock()
				return slow.cancelled[slowID]
			})
			close(second)
		}()
		w.whole(t, "q")
		<-done
	}
}

// TestHedgeRefund guards against a hedge that is paid for although one of its
// parts was withdrawn before it ran, and against a refund when both have run,
// which would let the extra load pass the budget. The query ends with the merge
// that withdraws the part.
func TestHedgeRefund(t *testing.T) {
	w := newWorld(t, 1, "hedge_budget: 0.05")
	w.learn(0.05)
	for i, run := range []result.Run{result.RunYes, result.RunNo} {
		var asked atomic.Int32
		w.answerAll(func(_ *fakeBroker, b *peer.Batch, p peer.Part) ([]*peer.PartReply, error) {
			if asked.Add(1) == 1 {
				return nil, nil
			}
			return answerGood(b, p)
		})
		for _, f := range w.brokers {
			f.locked(func() { f.withdrawn, f.cancelled = run, make(map[uint32]bool) })
		}
		w.whole(t, "q")
		w.eventually(t, func() bool {
			cancelled := 0
			for _, f := range w.brokers {
				f.locked(func() { cancelled += len(f.cancelled) })
			}
			return cancelled > 0
		})
		w.eventually(t, func() bool { return w.refunds(t) == i })
	}
}

// TestRefundOnlyIfNotRun guards against a refund for a part that ran or may have
// run, which would let the extra load pass the budget.
func TestRefundOnlyIfNotRun(t *testing.T) {
	w := newWorld(t, 1, "hedge_budget: 0.05")
	q := newQuery(w.entry, w.state.View().Settings.Services["desk"], caller.SearchRequest{RequestID: "r", Service: "desk"}, w.entry.config.Clock.Boottime())
	cancelled := uint16(result.Cancelled)
	for _, reply := range []peer.PartReply{
		{QueryID: "r", Code: cancelled, Run: uint8(result.RunYes)},
		{QueryID: "r", Code: cancelled, Run: uint8(result.RunUnknown)},
		{QueryID: "r", Code: uint16(result.OK), Run: uint8(result.RunNo)},
		{QueryID: "of another query", Code: cancelled, Run: uint8(result.RunNo)},
	} {
		q.refund(&reply)
		qt.Assert(t, w.refunds(t), qt.Equals, 0, qt.Commentf("%+v", reply))
	}
	q.refund(&peer.PartReply{QueryID: "r", Code: cancelled, Run: uint8(result.RunNo)})
	qt.Assert(t, w.refunds(t), qt.Equals, 1)
}

// TestHedgeOtherDomain guards against a hedge in the failure domain of the slow
// part, where it would likely be slow for the same reason.
func TestHedgeOtherDomain(t *testing.T) {
	w := newWorld(t, 1, "")
	text := strings.NewReplacer("failure_domain: b", "failure_domain: a", "failure_domain: c", "failure_domain: a").Replace(deskYAML(1, "hedge_budget: 0.05"))
	revision, err := json.Marshal(settings.Revision{Number: 2, Files: []settings.File{{Path: "desk.yaml", Text: text}}})
	qt.Assert(t, err, qt.IsNil)
	_, err = w.state.Offer(control.Item{Name: control.ItemSettings, Major: 2, Value: revision})
	qt.Assert(t, err, qt.IsNil)
	w.learn(0.05)
	w.answerAll(func(*fakeBroker, *peer.Batch, peer.Part) ([]*peer.PartReply, error) { return nil, nil })
	answer, refusal := w.search("q", 300*time.Millisecond)
	qt.Assert(t, refusal.Code, qt.Equals, result.LowCoverage)
	trace, _ := w.entry.Explain(answer.RequestID)
	qt.Assert(t, trace.Steps, qt.HasLen, 1)
}

// TestAvoided guards against new work for a suspected broker and for searchers
// that drain or that their owner calls unusable.
func TestAvoided(t *testing.T) {
	w := newWorld(t, 3, "")
	w.offer(t, control.PrefixRoster+"a", &control.Roster{Instances: []control.Instance{{ID: "broker-a", State: control.Suspected}}})
	w.eventually(t, func() bool { return w.usable(7) == 6 })
	w.brokers[1].locked(func() { w.brokers[1].states[0].Draining = true })
	w.eventually(t, func() bool { return w.usable(7) == 5 })
	w.brokers[2].locked(func() { w.brokers[2].states[1].Usable = false })
	w.eventually(t, func() bool { return w.usable(7) == 4 })
	w.whole(t, "q")
	w.brokers[0].locked(func() { qt.Assert(t, w.brokers[0].parts, qt.HasLen, 0) })
}

// TestDomainOut guards against new work in a failure domain that operators took
// out of service, and against its addresses being given out.
func TestDomainOut(t *testing.T) {
	w := newWorld(t, 3, "min_coverage: 1")
	var instances []control.Instance
	for _, d := range domains {
		instances = append(instances, control.Instance{ID: "entry-" + d, Role: control.RoleEntry, FailureDomain: d, CallerAddress: d + ":1", State: control.Live})
	}
	qt.Assert(t, w.entry.Addresses().Addresses, qt.DeepEquals, []string{"127.0.0.1:7001"})
	instances[2].State = control.Leaving
	w.offer(t, control.PrefixRoster+"a", &control.Roster{Instances: instances})
	w.offer(t, control.OrderName(control.OrderDomain, "a"), &control.RecordedOrder{Order: control.Order{Kind: control.OrderDomain, Name: "a", Out: true}})
	for range 20 {
		w.whole(t, "q")
	}
	w.brokers[0].locked(func() { qt.Assert(t, w.brokers[0].parts, qt.HasLen, 0) })
	qt.Assert(t, w.entry.Addresses().Addresses, qt.DeepEquals, []string{"b:1"})
}

// TestWrongRequests guards against requests that cannot succeed reaching a
// broker.
func TestWrongRequests(t *testing.T) {
	w := newWorld(t, 1, "min_coverage: 1")
	for service, code := range map[string]result.Code{"none": result.UnknownService, "orders": result.WrongKind} {
		_, refusal := w.entry.Search(context.Background(), caller.SearchRequest{RequestID: "r", Service: service})
		qt.Assert(t, refusal.Code, qt.Equals, code)
		qt.Assert(t, refusal.Run, qt.Equals, result.RunNo)
	}
}
