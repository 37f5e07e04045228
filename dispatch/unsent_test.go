package dispatch

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
)

// oneRequest returns a request with a minute to run.
func oneRequest(ended chan Event) Request {
	now := clock.System{}.Boottime()
	return Request{
		Service: "s", Method: http.MethodGet, Kind: First, Deadline: now + time.Minute, DueBy: now + time.Minute, LatencyTarget: time.Minute,
		Encode: func(string, time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
		OnEnd:  func(e Event) { ended <- e },
	}
}

// TestEndedUnsentAttemptWasNotSent guards against a request that is answered as possibly run because its
// attempt ended without being sent right before it was stopped.
func TestEndedUnsentAttemptWasNotSent(t *testing.T) {
	d := newDispatcher(func() int { return 1 })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: l.Addr().String(), Slots: 9})
	_ = l.Close()
	ended := make(chan Event, 1)
	a, err := d.Start(oneRequest(ended))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, (<-ended).Outcome, qt.Equals, Unsent)
	qt.Assert(t, a.Cancel(), qt.IsFalse)
	qt.Assert(t, a.Abandon(), qt.IsFalse)
}

// TestAttemptStoppedBeforeItsWriteIsNotSent guards against an attempt with a connection that is stopped
// before its request is written, and counts as sent, or is sent afterwards.
func TestAttemptStoppedBeforeItsWriteIsNotSent(t *testing.T) {
	for name, stop := range map[string]func(*Attempt) bool{"cancelled": (*Attempt).Cancel, "abandoned": (*Attempt).Abandon} {
		t.Run(name, func(t *testing.T) {
			server := startHeldServer(t)
			d := newDispatcher(func() int { return 1 })
			d.config.StalledBetween = func(_, _ time.Duration) bool { return true } // Wanted is asked
			d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: server.address, Slots: 9})
			ended, sent := make(chan Event, 1), make(chan bool, 1)
			r := oneRequest(ended)
			started := make(chan *Attempt, 1)
			r.Wanted = func() bool {
				sent <- stop(<-started)
				return true
			}
			a, err := d.Start(r)
			qt.Assert(t, err, qt.IsNil)
			started <- a
			qt.Assert(t, <-sent, qt.IsFalse)
			idleTarget(t, d)
			qt.Assert(t, server.arrived, qt.HasLen, 0)
			qt.Assert(t, a.Cancel(), qt.IsFalse)
		})
	}
}

// fullListener accepts connections, closes them at once and counts them.
func fullListener(t *testing.T, accepted chan<- struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
			accepted <- struct{}{}
		}
	}()
	return l.Addr().String()
}

// TestFullSearcherGetsNoRequest guards against a request that may run only once and counts as possibly
// run, because it was written to a connection that the searcher closed since it has too many, and
// against further connections to that searcher at once.
func TestFullSearcherGetsNoRequest(t *testing.T) {
	accepted := make(chan struct{}, 64)
	d := newDispatcher(func() int { return 1 })
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: fullListener(t, accepted), Slots: 9})
	ended := make(chan Event, 1)
	r := oneRequest(ended)
	r.RunOnce = true
	_, err := d.Start(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, (<-ended).Outcome, qt.Equals, Unsent)
	a, err := d.Start(r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.SearcherID(), qt.Equals, "", qt.Commentf("a request is sent in the pause"))
	left := d.PauseLeft("s", nil)
	qt.Assert(t, left > 0 && left <= time.Second, qt.IsTrue, qt.Commentf("callers are told to come back after %s", left))
	qt.Assert(t, accepted, qt.HasLen, 1)
	qt.Assert(t, (<-ended).Outcome, qt.Equals, Unsent) // it is tried after the pause
	qt.Assert(t, accepted, qt.HasLen, 2)
}
