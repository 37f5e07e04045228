package dispatch

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

// idleTarget waits until no attempt is bound to the searcher, and returns its open connections.
func idleTarget(t *testing.T, d *Dispatcher) int {
	t.Helper()
	for range 1000 {
		d.mu.Lock()
		open, idle, running := d.searchers["i"].open, len(d.searchers["i"].idle), len(d.searchers["i"].running)
		d.mu.Unlock()
		if running == 0 && open == idle {
			return open
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("a connection or an attempt is left over")
	return 0
}

// TestExchangeThatEndsTwiceCountsOnce guards against an attempt that ends twice, because its
// connection was closed while the reply was being read.
func TestExchangeThatEndsTwiceCountsOnce(t *testing.T) {
	server := startHeldServer(t)
	d := newDispatcher(func() int { return 1 })
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: server.address, Slots: 9})
	ended := make(chan Event, 2)
	start(t, d, ended)
	<-server.arrived
	a := d.searchers["i"].running[0]
	a.conn.Close()
	qt.Assert(t, (<-ended).Outcome, qt.Equals, Broken)
	reply := &searcher.Reply{Status: http.StatusOK, Metadata: platform.ReplyMetadata{Signature: "s"}}
	d.replied(a, a.conn, reply, nil)
	qt.Assert(t, ended, qt.HasLen, 0)
	qt.Assert(t, idleTarget(t, d), qt.Equals, 0)
}

// TestAttemptStoppedAsItsReplyArrives guards against an attempt that ends twice, or whose connection
// or place at the searcher is not given back, when it is stopped while its reply arrives.
func TestAttemptStoppedAsItsReplyArrives(t *testing.T) {
	for name, stop := range map[string]func(*Attempt) bool{"cancelled": (*Attempt).Cancel, "abandoned": (*Attempt).Abandon} {
		t.Run(name, func(t *testing.T) {
			server := startHeldServer(t)
			d := newDispatcher(func() int { return 1 })
			d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: server.address, Slots: 9})
			for range 300 {
				ended := make(chan Event, 2)
				now := clock.System{}.Boottime()
				a, err := d.Start(Request{
					Service: "s", Method: http.MethodGet, Kind: First, Deadline: now + time.Minute, DueBy: now + time.Minute, LatencyTarget: time.Minute,
					Encode: func(string, time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
					OnEnd:  func(e Event) { ended <- e },
				})
				qt.Assert(t, err, qt.IsNil)
				<-server.arrived
				var group sync.WaitGroup
				group.Go(func() { server.reply <- struct{}{} })
				group.Go(func() { qt.Check(t, stop(a), qt.IsTrue) })
				group.Wait()
				idleTarget(t, d)
				qt.Assert(t, len(ended) <= 1, qt.IsTrue)
			}
		})
	}
}
