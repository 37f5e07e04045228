package broker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
)

// load sends searches of one part from several requesters at once.
func (b *bench) load(each func(query string, s *peer.Stream)) {
	var requesters sync.WaitGroup
	for r := range 12 {
		requesters.Go(func() {
			for i := range 25 {
				query := fmt.Sprint(r, "/", i)
				s := b.search(query, 1, time.Second)
				each(query, s)
				s.Cancel()
			}
		})
	}
	requesters.Wait()
}

// TestCancellationStorm guards against slots or connections over the limit
// when requesters give up while the upstream still works.
func TestCancellationStorm(t *testing.T) {
	f := newFake(t, plain)
	b := newBench(t, f.address(), 2)
	b.warm()
	f.script(func(n int, _ string) behaviour {
		hold, stop := context.WithTimeout(context.Background(), time.Duration(rand.IntN(8))*time.Millisecond)
		context.AfterFunc(hold, stop)
		return behaviour{hold: hold.Done(), stubborn: n%3 == 0}
	})
	b.load(func(_ string, s *peer.Stream) {
		time.Sleep(time.Duration(rand.IntN(8)) * time.Millisecond)
		if rand.IntN(2) == 0 {
			_ = s.Send(&peer.Cancel{PartIDs: []uint32{0}})
			b.reply(s)
		}
	})
	eventually(t, "abandoned work ends", func() bool { return b.status().Running == 0 })
	qt.Assert(t, f.read(func(f *fake) int { return f.deletes }) > 0, qt.IsTrue)
	qt.Assert(t, f.read(func(f *fake) int { return f.most }), qt.Equals, slots)
	qt.Assert(t, f.read(func(f *fake) int { return f.mostOpen }) <= connections, qt.IsTrue)
}

// TestBrokenBookingIsUnknown guards against a booking being sent again, or
// said not to have run, after its connection broke behind the write.
func TestBrokenBookingIsUnknown(t *testing.T) {
	f := newFake(t, func(_ int, path string) behaviour { return behaviour{breaks: path == "/v1/run"} })
	b := newBench(t, f.address(), 2)
	b.warm() // so that the booking goes out on a connection used before
	reply := b.run("k", time.Second)
	qt.Assert(t, result.Code(reply.Code), qt.Equals, result.ConnectionLost)
	qt.Assert(t, result.Run(reply.Run), qt.Equals, result.RunUnknown)
	eventually(t, "searcher is free again", func() bool { return b.status().Running == 0 })
	qt.Assert(t, b.one("q", time.Second).Code, qt.Equals, uint16(result.OK))
	qt.Assert(t, f.read(func(f *fake) int { return f.runs }), qt.Equals, 1)
}

// TestRepliesReachTheirRequest guards against a late, repeated or foreign reply
// being given to another request.
func TestRepliesReachTheirRequest(t *testing.T) {
	f := newFake(t, func(n int, _ string) behaviour {
		switch {
		case n%6 == 0:
			return behaviour{copies: 1}
		case n%30 == 1:
			return behaviour{workID: "another"}
		case n%6 == 2:
			hold, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
			context.AfterFunc(hold, stop)
			return behaviour{hold: hold.Done(), stubborn: true}
		}
		return behaviour{}
	})
	b := newBench(t, f.address(), 2)
	var answered atomic.Int64
	b.load(func(query string, s *peer.Stream) {
		if rand.IntN(4) == 0 {
			return // withdrawn at once, its reply comes when nobody waits
		}
		reply := b.reply(s)
		if reply.Code != 0 {
			return
		}
		answered.Add(1)
		qt.Check(t, reply.QueryID, qt.Equals, query)
		qt.Check(t, reply.Body, qt.Equals, `"answer to `+query+`"`)
	})
	qt.Assert(t, answered.Load() > 0, qt.IsTrue)
}

// TestSilentConnectionIsClosed guards against a connection that has gone silent
// being kept, and against its slot being lost with it.
func TestSilentConnectionIsClosed(t *testing.T) {
	f := newFake(t, func(_ int, path string) behaviour { return behaviour{mute: path == "/v1/run"} })
	b := newBench(t, f.address(), 2)
	b.warm()
	before := f.read(func(f *fake) int { return len(f.conns) })
	reply := b.run("k", 100*time.Millisecond)
	qt.Assert(t, result.Code(reply.Code), qt.Equals, result.DeadlineExceeded)
	qt.Assert(t, result.Run(reply.Run), qt.Equals, result.RunUnknown)
	qt.Assert(t, before > 0, qt.IsTrue)
	eventually(t, "silent connection is closed", func() bool {
		return f.read(func(f *fake) int { return f.closed }) > 0
	})
	qt.Assert(t, b.one("q", time.Second).Code, qt.Equals, uint16(result.OK))
}

// TestShedTurnsCold guards against a searcher that shed work being given its
// full slots at once.
func TestShedTurnsCold(t *testing.T) {
	f := newFake(t, plain)
	b := newBench(t, f.address(), 2)
	b.warm()
	f.script(func(int, string) behaviour { return behaviour{status: 429} })
	reply := b.one("q", time.Second)
	qt.Assert(t, result.Code(reply.Code), qt.Equals, result.UpstreamShed)
	qt.Assert(t, result.Run(reply.Run), qt.Equals, result.RunNo)
	qt.Assert(t, reply.State.Cold, qt.IsTrue)
	b.staysAtAllowance(f)
}

// staysAtAllowance holds work at the searcher, offers more, and expects that
// only the cold allowance runs while several state pages say all is well.
func (b *bench) staysAtAllowance(f *fake) {
	b.t.Helper()
	hold := make(chan struct{})
	defer close(hold)
	f.script(func(int, string) behaviour { return behaviour{hold: hold} })
	polls := f.read(func(f *fake) int { return f.polls })
	s := b.search("q", 6, 5*time.Second)
	defer s.Cancel()
	eventually(b.t, "state page is read three times", func() bool {
		return f.read(func(f *fake) int { return f.polls }) >= polls+3
	})
	qt.Assert(b.t, f.read(func(f *fake) int { return f.most }), qt.Equals, 1)
}

// TestLaggingPageDoesNotRaise guards against a page that says all is well
// ending the cold start.
func TestLaggingPageDoesNotRaise(t *testing.T) {
	f := newFake(t, plain)
	b := newBench(t, f.address(), 1000)
	b.staysAtAllowance(f)
}

// TestSlowPartDelaysNoOther guards against replies being kept back until a slow
// part of the same batch is done.
func TestSlowPartDelaysNoOther(t *testing.T) {
	f := newFake(t, plain)
	b := newBench(t, f.address(), 2)
	b.warm()
	hold := make(chan struct{})
	held := false
	f.script(func(int, string) behaviour {
		if !held {
			held = true
			return behaviour{hold: hold}
		}
		return behaviour{}
	})
	s := b.search("q", 5, 10*time.Second)
	for range 4 {
		qt.Assert(t, b.reply(s).Code, qt.Equals, uint16(result.OK))
	}
	close(hold)
	qt.Assert(t, b.reply(s).Code, qt.Equals, uint16(result.OK))
}

// TestDrainWaits guards against a handover before the work has ended, and
// against new work during it.
func TestDrainWaits(t *testing.T) {
	f := newFake(t, plain)
	b := newBench(t, f.address(), 2)
	b.warm()
	hold := make(chan struct{})
	f.script(func(int, string) behaviour { return behaviour{hold: hold} })
	s := b.search("q", 1, 5*time.Second)
	eventually(t, "work runs", func() bool { return f.read(func(f *fake) int { return f.running }) == 1 })
	drained := make(chan peer.ReleasedSearcher, 1)
	go func() { drained <- b.broker.Drain(context.Background(), "u") }()
	eventually(t, "new work is refused", func() bool {
		reply := b.one("late", 100*time.Millisecond)
		return result.Code(reply.Code) == result.NotOwner && result.Run(reply.Run) == result.RunNo
	})
	qt.Assert(t, len(drained), qt.Equals, 0)
	close(hold)
	qt.Assert(t, b.reply(s).Code, qt.Equals, uint16(result.OK))
	qt.Assert(t, <-drained, qt.Equals, peer.ReleasedSearcher{ID: "u", Allowance: slots})
	b.broker.Take(peer.ReleasedSearcher{ID: "u", Allowance: slots})
	eventually(t, "searcher is used again", func() bool { return b.one("q", time.Second).Code == 0 })
	qt.Assert(t, b.status().State.Cold, qt.IsFalse)
}

// TestOrders guards against new work in a failure domain that is out of
// service, and against a warm start after it is back.
func TestOrders(t *testing.T) {
	f := newFake(t, plain)
	b := newBench(t, f.address(), 1000)
	for _, c := range []struct {
		kind control.OrderKind
		name string
		code result.Code
	}{{control.OrderDomain, "d", result.DomainOut}, {control.OrderUpstream, "u", result.UpstreamDraining}} {
		b.broker.Take(peer.ReleasedSearcher{ID: "u", Allowance: slots})
		eventually(t, "searcher is warm", func() bool { return !b.status().State.Cold })
		b.order(c.kind, c.name, true)
		eventually(t, "work is refused", func() bool {
			reply := b.one("q", time.Second)
			return result.Code(reply.Code) == c.code && result.Run(reply.Run) == result.RunNo
		})
		b.order(c.kind, c.name, false)
		eventually(t, "work is taken", func() bool { return b.one("q", time.Second).Code == 0 })
		qt.Assert(t, b.status().State.Cold, qt.IsTrue)
	}
}

// TestNoDispatchWithoutRight guards against a dispatch after the right to it
// was lost, and against work at a searcher that is not owned.
func TestNoDispatchWithoutRight(t *testing.T) {
	f := newFake(t, plain)
	b := newBench(t, f.address(), 2)
	b.rights.set(assign.Grant{})
	reply := b.one("q", time.Second)
	qt.Assert(t, result.Code(reply.Code), qt.Equals, result.NoRight)
	qt.Assert(t, result.Run(reply.Run), qt.Equals, result.RunNo)
	qt.Assert(t, f.read(func(f *fake) int { return f.seen }), qt.Equals, 0)
	b.rights.set(assign.Grant{Share: assign.ShareFull})
	b.offer(control.PrefixDomain+"d", control.Record{Epoch: 2, Members: []control.Member{{ID: "other"}}})
	eventually(t, "searcher is given up", func() bool { return len(b.broker.Status()) == 0 })
	reply = b.one("q", time.Second)
	qt.Assert(t, result.Code(reply.Code), qt.Equals, result.NotOwner)
	qt.Assert(t, f.read(func(f *fake) int { return f.seen }), qt.Equals, 0)
}

// TestLimitsChangeKeepsWork guards against running work being lost when its
// searcher's limits change.
func TestLimitsChangeKeepsWork(t *testing.T) {
	f := newFake(t, plain)
	b := newBench(t, f.address(), 2)
	b.warm()
	hold := make(chan struct{})
	f.script(func(int, string) behaviour { return behaviour{hold: hold} })
	s := b.search("q", 4, 5*time.Second)
	eventually(t, "work runs", func() bool { return f.read(func(f *fake) int { return f.running }) == slots })
	b.offerSettings(f.address(), 2, 1)
	eventually(t, "limits are in force", func() bool { return b.status().Slots == 1 })
	close(hold)
	for range 4 {
		qt.Assert(t, b.reply(s).Code, qt.Equals, uint16(result.OK))
	}
}

// TestStatusReportsChangesAtOnce guards against entries learning of a change
// only with the next regular report.
func TestStatusReportsChangesAtOnce(t *testing.T) {
	f := newFake(t, plain)
	b := newBench(t, f.address(), 2)
	s, err := b.client.Open(b.ctx, b.server.Address(), peer.KindStatus)
	qt.Assert(t, err, qt.IsNil)
	defer s.Cancel()
	qt.Assert(t, s.Send(&peer.StatusRequest{IntervalMs: maxStatusInterval.Milliseconds()}), qt.IsNil)
	qt.Assert(t, s.SetDeadline(time.Now().Add(maxStatusInterval/2)), qt.IsNil)
	var status peer.Status
	qt.Assert(t, s.Receive(&status), qt.IsNil)
	qt.Assert(t, status.Searchers[0].Usable, qt.IsTrue)
	qt.Assert(t, status.Searchers[0].Snapshots, qt.HasLen, 1)
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	for !status.Searchers[0].Draining {
		qt.Assert(t, s.Receive(&status), qt.IsNil)
	}
}
