package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestStopDoesNotWaitForStore guards against a planned stop that takes longer than the stop grace
// because the store does not answer the removal of the instance's entry.
func TestStopDoesNotWaitForStore(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a")
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/r/")
	eventually(t, "the configuration is not in force", func() bool { return a.status("/r/x") == http.StatusOK })
	d.store.SetFaults(site.StoreFaults{Delay: 2 * time.Second})
	began := time.Now()
	qt.Assert(t, a.stop(), qt.IsNil)
	qt.Assert(t, time.Since(began) < stopGrace, qt.IsTrue, qt.Commentf("the stop took %v", time.Since(began)))
}

// callerConnection is a connection of a caller that keeps it and sends one request at a time,
// without the repeats of an http.Client.
type callerConnection struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection to the instance.
func (i *instance) connect() (*callerConnection, error) {
	conn, err := net.Dial("tcp", i.settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	return &callerConnection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// ask sends a request and returns the status of its answer, or zero if the connection ends
// without a whole one.
func (c *callerConnection) ask(method, path, id string) int {
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", method, path, site.Host, id)
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// stopLoad sends requests to an instance that stops: some on connections that were kept since
// before, some on new ones, of routes that may be repeated and that may not.
type stopLoad struct {
	ledger *site.Ledger
	target *instance

	mu       sync.Mutex
	statuses map[string]int
}

// send sends the n-th request on a connection, or on a new one if it is nil.
func (l *stopLoad) send(c *callerConnection, n int) {
	if c == nil {
		var err error
		if c, err = l.target.connect(); err != nil {
			return // the listener is closed, so the request was not sent
		}
	}
	defer func() { _ = c.conn.Close() }()
	id := fmt.Sprintf("q%d", n)
	method, path := http.MethodGet, "/search/x"
	switch n % 3 {
	case 1:
		path = "/safe/x"
	case 2:
		method, path = http.MethodPost, "/book/x"
	}
	status := c.ask(method, path, id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[id] = status
}

// check fails the test for each request that was passed on and has no whole answer, and for
// each that was refused and ran. It returns how many requests have each status.
func (l *stopLoad) check(t *testing.T) map[int]int {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[int]int)
	for id, status := range l.statuses {
		counts[status]++
		runs := l.ledger.Count(id)
		if status == 0 && runs > 0 {
			t.Errorf("%s was passed on, and its connection ended without an answer", id)
		}
		if status == http.StatusServiceUnavailable && runs > 0 {
			t.Errorf("%s was refused as not run, and ran", id)
		}
	}
	return counts
}

// TestStopAnswersWhatItTakes guards against a planned stop that passes on requests late in the
// stop and cuts them when the process ends. Callers use their connections until the process is
// gone.
func TestStopAnswersWhatItTakes(t *testing.T) {
	for _, work := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(work.String(), func(t *testing.T) {
			d := newDeployment(t)
			a := d.startInstance("a")
			ledger := &site.Ledger{}
			d.startSearchersOf("one", 200, ledger, work)
			d.store.Put("config", "main", site.Configuration(1, []string{"one"}, []site.Route{
				{Prefix: "/safe/", Service: "one", Idempotent: true, TargetMs: 500},
				{Prefix: "/search/", Shards: []string{"one"}, Idempotent: true, TargetMs: 500},
				{Prefix: "/book/", Service: "one", TargetMs: 500},
			}))
			eventually(t, "the configuration is not in force", func() bool { return a.status("/safe/x") == http.StatusOK })

			const requests = 120
			load := &stopLoad{ledger: ledger, target: a, statuses: make(map[string]int)}
			kept := make([]*callerConnection, requests)
			for n := 0; n < requests; n += 2 {
				var err error
				kept[n], err = a.connect()
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, kept[n].ask(http.MethodGet, "/missing", "warm-up"), qt.Equals, http.StatusNotFound)
			}
			a.signals <- syscall.SIGTERM
			var group sync.WaitGroup
			for n := range requests {
				group.Go(func() { load.send(kept[n], n) })
				time.Sleep(stopGrace / requests)
			}
			group.Wait()
			qt.Assert(t, a.stop(), qt.IsNil)
			counts := load.check(t)
			qt.Assert(t, counts[http.StatusOK] > 0, qt.IsTrue)
		})
	}
}
