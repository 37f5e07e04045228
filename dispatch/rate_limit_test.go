package dispatch

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// limitedSearcher is a searcher that advertises a rate limit and records its requests.
type limitedSearcher struct {
	clock   clock.Clock
	address string

	mu       sync.Mutex
	limit    float64
	arrivals []time.Duration
}

// startLimitedSearcher starts a searcher whose replies advertise a limit, in requests a
// second; zero is none.
func startLimitedSearcher(t *testing.T, c clock.Clock, limit float64) *limitedSearcher {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	s := &limitedSearcher{clock: c, address: listener.Addr().String(), limit: limit}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go s.serve(conn)
		}
	}()
	return s
}

func (s *limitedSearcher) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n%sContent-Length: 0\r\n\r\n", s.arrived())
	}
}

// arrived records a request and returns the header line of the limit.
func (s *limitedSearcher) arrived() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, s.clock.Boottime())
	if s.limit == 0 {
		return ""
	}
	return fmt.Sprintf("Server-Limit: %g\r\n", s.limit)
}

func (s *limitedSearcher) setLimit(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// most returns the largest number of requests in a window of this length that starts at
// from or later.
func (s *limitedSearcher) most(from, window time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i, start := range s.arrivals {
		n := 0
		for _, at := range s.arrivals[i:] {
			if start >= from && at < start+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// newLimitedDispatcher returns the dispatcher of one of several instances that send requests
// to a single searcher.
func newLimitedDispatcher(c clock.Clock, index, instances int, searcher *limitedSearcher) *Dispatcher {
	d := New(Config{
		Clock: c, InstanceCount: func() int { return instances },
		Position: func() float64 { return float64(index) / float64(instances) }, Log: slog.New(slog.DiscardHandler),
		Bounds: platform.Bounds{RetryRatio: 0.2, RetryExtra: 50}, Registry: prometheus.NewRegistry(),
	})
	d.SetConfig(routing.NewConfig(1, nil, []*routing.Service{{Name: "s", MaxConnections: 100}}, routing.Limits{}))
	d.PutSearcher(fleet.Searcher{ID: "i", Service: "s", Address: searcher.address, Slots: 4})
	return d
}

// sendOne makes an attempt and waits for its reply. It gives up an attempt that is queued,
// and reports whether the searcher answered.
func sendOne(t *testing.T, d *Dispatcher, kind Kind) bool {
	t.Helper()
	ended := make(chan Event, 1)
	now := d.config.Clock.Boottime()
	a, err := d.Start(Request{
		Service: "s", Method: http.MethodGet, Kind: kind, Deadline: now + time.Second, DueBy: now + time.Second, LatencyTarget: time.Second,
		Encode: func(string, time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
		OnEnd:  func(e Event) { ended <- e },
	})
	if err != nil {
		return false
	}
	if a.SearcherID() == "" {
		a.Cancel()
		return false
	}
	return (<-ended).Outcome == Answered
}

// TestInstancesTogetherKeepAdvertisedRateLimit guards against a searcher that gets more requests from all instances together than it advertises.
func TestInstancesTogetherKeepAdvertisedRateLimit(t *testing.T) {
	const (
		instances = 9
		limit     = 20.0
		adapted   = 4 * time.Second // the limit binds so long after it was first named
		window    = 4 * time.Second
		step      = 5 * time.Millisecond
		duration  = 16 * time.Second
	)
	for _, kind := range []Kind{First, Hedge} {
		manual := &clock.Manual{}
		manual.Advance(time.Minute)
		searcher := startLimitedSearcher(t, manual, limit)
		var dispatchers []*Dispatcher
		for i := range instances {
			dispatchers = append(dispatchers, newLimitedDispatcher(manual, i, instances, searcher))
		}
		start := manual.Boottime()
		for i := 0; manual.Boottime() < start+duration; i++ {
			d := dispatchers[i%instances]
			sendOne(t, d, First)
			sendOne(t, d, kind)
			manual.Advance(step)
		}
		most := float64(searcher.most(start+adapted, window))
		qt.Check(t, most <= 1.5*limit*window.Seconds()+5, qt.IsTrue, qt.Commentf("%s: %g requests in %s, limit %g a second", kind, most, window, limit))
		qt.Check(t, most >= 0.7*limit*window.Seconds(), qt.IsTrue, qt.Commentf("%s: %g requests in %s leave most of the limit unused", kind, most, window))
	}
}

// TestRateLimitEndsWhenReplyNamesNone guards against a limit that is kept after the searcher stopped naming it, or is dropped because of an older reply.
func TestRateLimitEndsWhenReplyNamesNone(t *testing.T) {
	manual := &clock.Manual{}
	manual.Advance(time.Minute)
	searcher := startLimitedSearcher(t, manual, 1)
	d := newLimitedDispatcher(manual, 0, 1, searcher)
	qt.Assert(t, sendOne(t, d, First), qt.IsTrue)
	older := &Attempt{service: d.service("s"), target: d.searchers["i"], chosenAt: manual.Boottime() - time.Second}
	d.observeRateLimit(older, manual.Boottime(), 0)
	qt.Assert(t, d.searchers["i"].rateLimit.active(), qt.IsTrue)
	searcher.setLimit(0)
	manual.Advance(2 * time.Second)
	for range 10 {
		qt.Assert(t, sendOne(t, d, First), qt.IsTrue)
	}
}

// TestQueuedRequestIsSentWhenRateLimitAllows guards against requests that wait for a rate limit and are forgotten, or that wait though their answer will be late.
func TestQueuedRequestIsSentWhenRateLimitAllows(t *testing.T) {
	searcher := startLimitedSearcher(t, clock.System{}, 20)
	d := newLimitedDispatcher(clock.System{}, 0, 1, searcher)
	ended := make(chan Event, 1000)
	start := func() error {
		now := clock.System{}.Boottime()
		_, err := d.Start(Request{
			Service: "s", Method: http.MethodGet, Deadline: now + time.Minute, DueBy: now + time.Second, LatencyTarget: time.Second,
			Encode: func(string, time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
			OnEnd:  func(e Event) { ended <- e },
		})
		return err
	}
	qt.Assert(t, start(), qt.IsNil)
	qt.Assert(t, (<-ended).Outcome, qt.Equals, Answered)
	started := 0
	for start() == nil {
		started++
	}
	qt.Assert(t, started > 1 && started <= 50, qt.IsTrue, qt.Commentf("%d requests are queued for a second at 20 a second", started))
	for range started {
		qt.Assert(t, (<-ended).Outcome, qt.Equals, Answered)
	}
}
