package dispatch

import (
	"bufio"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// startShortKeepAliveServer starts an HTTP server and returns its address. Its replies
// announce that idle connections are closed after one second, but it never closes one.
func startShortKeepAliveServer(t *testing.T) string {
	t.Helper()
	return startServer(t, func() {})
}

// startServer is like startShortKeepAliveServer. It calls wait before each reply.
func startServer(t *testing.T, wait func()) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					wait()
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nServer-Seal: s\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestSpentBudgetDoesNotLeakConnections guards against connections that are counted as
// open but are neither idle nor in use. It happens if an attempt is bound to a searcher but
// then not made because the retry budget is spent. Each such connection would use up one
// of the few that an instance may have to a searcher.
func TestSpentBudgetDoesNotLeakConnections(t *testing.T) {
	d := New(Config{
		Clock: clock.System{}, InstanceCount: func() int { return 1 }, Log: slog.New(slog.DiscardHandler),
		Bounds: platform.Bounds{RetryRatio: 0.2, RetryExtra: 4}, Registry: prometheus.NewRegistry(),
	})
	d.SetConfig(routing.NewConfig(1, nil, []*routing.Service{{Name: "s", MaxConnections: 10}}, routing.Limits{}))
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: startShortKeepAliveServer(t), Slots: 2})
	start := func(kind Kind) error {
		done := make(chan Event, 1)
		_, err := d.Start(Request{
			Service: "s", Method: http.MethodGet, Kind: kind, Deadline: clock.System{}.Boottime() + time.Minute,
			Encode: func(string, time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
			OnEnd:  func(e Event) { done <- e },
		})
		if err == nil {
			qt.Assert(t, (<-done).Outcome, qt.Equals, Answered)
		}
		return err
	}
	qt.Assert(t, start(First), qt.IsNil)
	for start(Retry) == nil { // until the budget is spent
		continue
	}
	time.Sleep(time.Second) // the idle connection is now too old to be used
	qt.Assert(t, errors.Is(start(Retry), ErrRetryBudgetSpent), qt.IsTrue)
	d.mu.Lock()
	one := d.searchers["i"]
	open, idle, running := one.open, len(one.idle), len(one.running)
	d.mu.Unlock()
	qt.Assert(t, open, qt.Equals, idle, qt.Commentf("a connection is neither idle nor in use"))
	qt.Assert(t, running, qt.Equals, 0)
	qt.Assert(t, start(First), qt.IsNil)
}

// TestExcessConnectionsAreClosed guards against connections that an instance keeps when its part
// of them becomes smaller. Those of all instances would exceed what the searcher accepts.
func TestExcessConnectionsAreClosed(t *testing.T) {
	const requests = 6
	instances := 1
	d := New(Config{
		Clock: clock.System{}, InstanceCount: func() int { return instances }, Log: slog.New(slog.DiscardHandler),
		Bounds: platform.Bounds{RetryRatio: 0.2, RetryExtra: 4}, Registry: prometheus.NewRegistry(),
	})
	d.SetConfig(routing.NewConfig(1, nil, []*routing.Service{{Name: "s", MaxConnections: 10}}, routing.Limits{}))
	standby := false
	d.config.ConnectionShare = func() fleet.ConnectionShare {
		return fleet.ConnectionShare{Instances: instances, Standby: standby}
	}
	reply := make(chan struct{})
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: startServer(t, func() { <-reply }), Slots: requests})
	ended := make(chan Event, requests)
	for range requests {
		_, err := d.Start(Request{
			Service: "s", Method: http.MethodGet, Kind: First, Deadline: clock.System{}.Boottime() + time.Minute,
			Encode: func(string, time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
			OnEnd:  func(e Event) { ended <- e },
		})
		qt.Assert(t, err, qt.IsNil)
	}
	close(reply)
	for range requests {
		qt.Assert(t, (<-ended).Outcome, qt.Equals, Answered)
	}
	open := func() (int, int) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.searchers["i"].open, len(d.searchers["i"].idle)
	}
	before, _ := open()
	qt.Assert(t, before, qt.Equals, requests)
	instances = 3 // a third of nine connections
	d.CloseExcessConnections()
	after, idle := open()
	qt.Assert(t, after, qt.Equals, 3)
	qt.Assert(t, idle, qt.Equals, 3)
	d.SetConfig(routing.NewConfig(2, nil, []*routing.Service{{Name: "s", MaxConnections: 7}}, routing.Limits{}))
	after, _ = open()
	qt.Assert(t, after, qt.Equals, 2)
	standby = true
	d.CloseExcessConnections()
	after, _ = open()
	qt.Assert(t, after, qt.Equals, 0)
	qt.Assert(t, sendOne(t, d, First), qt.IsTrue)
	qt.Assert(t, idleTarget(t, d), qt.Equals, 0)
}

// TestBusyConnectionsAboveThePartAreClosed guards against connections that are in use while the part of an
// instance becomes smaller, and are kept afterwards.
func TestBusyConnectionsAboveThePartAreClosed(t *testing.T) {
	server := startHeldServer(t)
	instances := 1
	d := newDispatcher(func() int { return instances })
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: server.address, Slots: 9})
	const requests = 6
	ended := make(chan Event, requests)
	for range requests {
		start(t, d, ended)
		<-server.arrived
	}
	d.mu.Lock()
	instances = 3 // a third of nine connections
	d.mu.Unlock()
	d.CloseExcessConnections()
	for range requests {
		server.reply <- struct{}{}
		qt.Assert(t, (<-ended).Outcome, qt.Equals, Answered)
	}
	qt.Assert(t, idleTarget(t, d), qt.Equals, 3)
}

// TestOlderConfigIsIgnored guards against limits of services that go back to an older configuration.
func TestOlderConfigIsIgnored(t *testing.T) {
	d := New(Config{
		Clock: clock.System{}, InstanceCount: func() int { return 1 }, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
	})
	d.SetConfig(routing.NewConfig(2, nil, []*routing.Service{{Name: "s", MaxConnections: 10}}, routing.Limits{}))
	d.SetConfig(routing.NewConfig(1, nil, []*routing.Service{{Name: "s", MaxConnections: 100}}, routing.Limits{}))
	qt.Assert(t, d.connectionLimit(d.service("s")), qt.Equals, 9)
}

// TestColdRequestOverNewConnectionIsSent guards against a request to a cold searcher that counts twice, so that the last one that the limit allows is not sent.
func TestColdRequestOverNewConnectionIsSent(t *testing.T) {
	d := New(Config{
		Clock: clock.System{}, InstanceCount: func() int { return 1 }, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		Bounds: platform.Bounds{WarmupOverage: 1},
	})
	d.SetConfig(routing.NewConfig(1, nil, []*routing.Service{{Name: "s", MaxConnections: 10, MaxColdRequestsPerSecond: 1}}, routing.Limits{}))
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: startShortKeepAliveServer(t), Slots: 2, ColdFor: time.Minute})
	qt.Assert(t, sendOne(t, d, First), qt.IsTrue)
	qt.Assert(t, sendOne(t, d, First), qt.IsFalse)
}

// TestUnreadableLimitsOfServiceAreNotLoosened guards against a cold searcher without a limit because the limits of its
// service could not be decoded, and against known limits that get lost with them.
func TestUnreadableLimitsOfServiceAreNotLoosened(t *testing.T) {
	d := New(Config{
		Clock: clock.System{}, InstanceCount: func() int { return 1 }, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		Bounds: platform.Bounds{WarmupOverage: 1},
	})
	unreadable := []*routing.Service{{Name: "s", Invalid: true}}
	d.SetConfig(routing.NewConfig(1, nil, unreadable, routing.Limits{}))
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: startShortKeepAliveServer(t), Slots: 2, ColdFor: time.Minute})
	qt.Assert(t, sendOne(t, d, First), qt.IsTrue)
	qt.Assert(t, sendOne(t, d, First), qt.IsFalse)
	d.SetConfig(routing.NewConfig(2, nil, []*routing.Service{{Name: "s", MaxConnections: 10, MaxColdRequestsPerSecond: 100}}, routing.Limits{}))
	d.SetConfig(routing.NewConfig(3, nil, unreadable, routing.Limits{}))
	qt.Assert(t, sendOne(t, d, First), qt.IsTrue)
	qt.Assert(t, d.services["s"].settings.MaxConnections, qt.Equals, 10)
}

// TestRetryUsesAnotherConnection guards against a retry at the same searcher on the connection
// of the earlier attempt, where a late repeat of the earlier reply would be taken for its own.
// That holds also if the searcher accepts no further connection.
func TestRetryUsesAnotherConnection(t *testing.T) {
	d := New(Config{
		Clock: clock.System{}, InstanceCount: func() int { return 1 }, Log: slog.New(slog.DiscardHandler),
		Bounds: platform.Bounds{RetryRatio: 1, RetryExtra: 40}, Registry: prometheus.NewRegistry(),
	})
	d.SetConfig(routing.NewConfig(1, nil, []*routing.Service{{Name: "s", MaxConnections: 1}}, routing.Limits{}))
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: startShortKeepAliveServer(t), Slots: 2})
	var earlier []*Attempt
	for kind := First; len(earlier) < 4; kind = Retry {
		done := make(chan Event, 1)
		_, err := d.Start(Request{
			Service: "s", Method: http.MethodGet, Kind: kind, Deadline: clock.System{}.Boottime() + time.Minute, Earlier: earlier,
			Encode: func(string, time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
			OnEnd:  func(e Event) { done <- e },
		})
		qt.Assert(t, err, qt.IsNil)
		e := <-done
		qt.Assert(t, e.Outcome, qt.Equals, Answered)
		for _, a := range earlier {
			qt.Assert(t, e.Attempt.conn != a.conn, qt.IsTrue)
		}
		earlier = append(earlier, e.Attempt)
	}
}

// TestEntryChangesWhileRequestsAreSent guards against a data race between the requests to a
// searcher and the updates of its entry.
func TestEntryChangesWhileRequestsAreSent(t *testing.T) {
	d := New(Config{
		Clock: clock.System{}, InstanceCount: func() int { return 1 }, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
	})
	d.SetConfig(routing.NewConfig(1, nil, []*routing.Service{{Name: "s", MaxConnections: 10}}, routing.Limits{}))
	one := fleet.Searcher{ID: "i", Service: "s", Address: startShortKeepAliveServer(t), Slots: 2}
	d.PutSearcher(one)
	updated := make(chan struct{})
	go func() {
		defer close(updated)
		for range 200 {
			d.PutSearcher(one)
			time.Sleep(100 * time.Microsecond)
		}
	}()
	for sending := true; sending; {
		qt.Assert(t, sendOne(t, d, First), qt.IsTrue)
		select {
		case <-updated:
			sending = false
		default:
		}
	}
}
