package dispatch

import (
	"bufio"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// startOneRequestServer starts an HTTP server and returns its address. It closes each connection
// after one request, which it answers with reply after it has called wait.
func startOneRequestServer(t *testing.T, reply string, wait func()) string {
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
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					wait()
					_, _ = c.Write([]byte(reply))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestQueueGoesOnAfterConnectionEnds guards against a request that stays queued until its deadline
// although the only searcher is free, because the connection of the request before it has ended.
func TestQueueGoesOnAfterConnectionEnds(t *testing.T) {
	for name, reply := range map[string]string{
		"after its reply": "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"without a reply": "",
	} {
		t.Run(name, func(t *testing.T) {
			d := New(Config{
				Clock: clock.System{}, InstanceCount: func() int { return 1 }, Log: slog.New(slog.DiscardHandler),
				Bounds: platform.Bounds{RetryRatio: 0.2, RetryExtra: 4}, Registry: prometheus.NewRegistry(),
			})
			d.SetConfig(routing.NewConfig(1, nil, []*routing.Service{{Name: "s", MaxConnections: 10}}, routing.Limits{}))
			goOn := make(chan struct{})
			d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: startOneRequestServer(t, reply, func() { <-goOn }), Slots: 1})
			now := clock.System{}.Boottime()
			d.searchers["i"].limit.ObserveLatency(now, time.Second, time.Millisecond, 1) // from now on one request at a time
			ended := make(chan Event, 2)
			for range 2 {
				_, err := d.Start(Request{
					Service: "s", Method: http.MethodGet, Kind: First, Deadline: now + time.Minute, DueBy: now + time.Minute, LatencyTarget: time.Minute,
					Encode: func(string, time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
					OnEnd:  func(e Event) { ended <- e },
				})
				qt.Assert(t, err, qt.IsNil)
			}
			d.mu.Lock()
			qt.Check(t, d.services["s"].queue, qt.HasLen, 1)
			d.mu.Unlock()
			close(goOn)
			for range 2 {
				select {
				case <-ended:
				case <-time.After(10 * time.Second):
					t.Fatal("a request is still queued, and nothing runs")
				}
			}
		})
	}
}
