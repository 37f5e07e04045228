package dispatch

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// TestAbandonedReplyIsReleased guards against replies that nobody waits for and that stay counted
// against the memory budget for good.
func TestAbandonedReplyIsReleased(t *testing.T) {
	budget := memory.NewBudget(1 << 20)
	d := New(Config{
		Clock: clock.System{}, InstanceCount: func() int { return 1 }, Log: slog.New(slog.DiscardHandler),
		Registry: prometheus.NewRegistry(), Memory: budget,
	})
	d.SetConfig(routing.NewConfig(1, nil, []*routing.Service{{Name: "s", MaxConnections: 10}}, routing.Limits{}))
	asked, reply := make(chan struct{}, 1), make(chan struct{}, 1)
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Slots: 2, Address: startServer(t, func() {
		asked <- struct{}{}
		<-reply
	})})
	ended := make(chan Event, 1)
	start := func() *Attempt {
		a, err := d.Start(Request{
			Service: "s", Method: http.MethodGet, Deadline: clock.System{}.Boottime() + time.Minute,
			Encode: func(string, time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
			OnEnd:  func(e Event) { ended <- e },
		})
		qt.Assert(t, err, qt.IsNil)
		<-asked
		return a
	}
	start()
	reply <- struct{}{}
	e := <-ended
	qt.Assert(t, e.Outcome, qt.Equals, Answered)
	qt.Check(t, budget.Used() > 0, qt.IsTrue)
	e.Reply.Release()
	qt.Check(t, budget.Used(), qt.Equals, int64(0))

	a := start()
	qt.Check(t, a.Abandon(), qt.IsTrue)
	reply <- struct{}{}
	for range 1000 {
		d.mu.Lock()
		finished := a.finished
		d.mu.Unlock()
		if finished && budget.Used() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bytes stay counted", budget.Used())
}
