package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const (
	// changes are made in series, a changeInterval apart.
	changes        = 20
	changeInterval = 100 * time.Millisecond
	// idlePause is longer than the smaller idle timeout.
	idlePause = 900 * time.Millisecond
)

// changeWork is how long a request to a searcher of each service takes.
var changeWork = map[string]time.Duration{"quick": 30 * time.Millisecond, "middle": 700 * time.Millisecond, "slow": 2500 * time.Millisecond}

// changingConfiguration returns the configuration of a version. From one to the next, routes come
// and go, services and weights are replaced, and limits shrink and grow.
func changingConfiguration(version int) map[string]any {
	other := []string{"quick", "middle"}[version%2]
	routes := []site.Route{
		{Prefix: "/safe/", Service: "slow", Idempotent: true, TargetMs: 2800},
		{Prefix: "/book/", Service: other, TargetMs: 2800},
		{Prefix: "/search/", Shards: []string{"quick", "middle", "slow"}, Idempotent: true, TargetMs: 2900},
	}
	if version%3 == 0 {
		routes = routes[1:]
	}
	c := site.Configuration(version, nil, routes)
	var services []any
	for name := range changeWork {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_connections": 4 + 56*(version%2)})
	}
	c["services"] = services
	c["limits"] = map[string]any{
		"max_header_bytes": []int{16384, 200, 8192}[version%3], "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": []int{5000, 300}[version%2],
	}
	return c
}

// changingLoad sends requests on kept connections while the configuration and the searchers change.
type changingLoad struct {
	t      *testing.T
	ledger *site.Ledger
	target *instance
	next   atomic.Int64

	mu       sync.Mutex
	statuses map[int]int
}

// run sends requests on one kept connection after the other until done is closed.
func (l *changingLoad) run(done chan struct{}) {
	var c *site.Connection
	paused := false
	for {
		select {
		case <-done:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = site.Connect(l.target.settings.CallerAddress); err != nil {
				l.t.Errorf("connect: %v", err)
				return
			}
		}
		n := l.next.Add(1)
		id := fmt.Sprintf("c%d", n)
		method, path := http.MethodPost, "/book/x"
		switch n % 12 {
		case 0:
			method, path = http.MethodGet, "/safe/x"
		case 6:
			method, path = http.MethodGet, "/search/x"
		}
		if n%7 == 0 {
			path += strings.Repeat("y", 300) // too long for the smaller limit
		}
		status, usable := c.Ask(method, path, id, 10*time.Second)
		if runs := l.ledger.Count(id); status == 0 && (runs > 0 || !paused) {
			l.t.Errorf("%s %s ran %d times, and its connection ended without an answer", id, path, runs)
		}
		l.mu.Lock()
		l.statuses[status]++
		l.mu.Unlock()
		if !usable {
			c.Close()
			c = nil
		}
		if paused = n%5 == 0; paused {
			time.Sleep(idlePause) // the connection may be closed as idle meanwhile
		}
	}
}

// TestChangesCutNoRequest guards against requests on kept connections that are cut by new
// configurations in series, by reloads, or by searchers that drain, go, come back or are taken out
// with their failure domain while they have requests.
func TestChangesCutNoRequest(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a")
	load := &changingLoad{t: t, ledger: &site.Ledger{}, target: a, statuses: make(map[int]int)}
	var searchers []*site.Searcher
	for service, work := range changeWork {
		searchers = append(searchers, d.startSearchersOf(service, service, 40, load.ledger, work)...)
	}
	d.store.Put("config", "main", changingConfiguration(1))
	eventually(t, "the configuration is not in force", func() bool { return a.status("/book/x") == http.StatusOK })
	done := make(chan struct{})
	var group sync.WaitGroup
	for range 24 {
		group.Go(func() { load.run(done) })
	}
	for n := range changes {
		d.store.Put("config", "main", changingConfiguration(n+2))
		a.signals <- syscall.SIGHUP
		s := searchers[n%len(searchers)]
		switch n % 5 {
		case 0:
			d.store.Put("servers", s.ID, s.Entry("draining"))
		case 1:
			d.store.Remove("servers", s.ID)
		case 2:
			d.store.Put("evacuations", "b", map[string]any{"zone": "b"})
		case 3:
			d.store.Remove("evacuations", "b")
		case 4:
			for _, s := range searchers {
				entry := s.Entry("ready")
				entry["born"] = n + 2 // as after a restart
				d.store.Put("servers", s.ID, entry)
			}
		}
		time.Sleep(changeInterval)
	}
	close(done)
	group.Wait()
	t.Logf("statuses: %v", load.statuses)
	qt.Assert(t, load.statuses[http.StatusOK] > 0, qt.IsTrue)
}
