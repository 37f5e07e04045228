package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const (
	host  = "a.example"
	grace = 2 * time.Second
)

// deployment is a store and some instances, each with an address of its own.
type deployment struct {
	t     *testing.T
	store *site.Store
	nodes []*instance
}

type instance struct {
	node    *platform.InstanceSettings
	signals chan os.Signal
	ended   chan error
	// cut makes the store refuse this instance.
	cut atomic.Bool
}

// loopback hands out addresses for instances, so that tests don't meet.
var loopback atomic.Int64

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	return &deployment{t: t, store: site.NewStore()}
}

// heartbeatBase is the first internal port of all instances, which must be the
// same on all of them.
const heartbeatBase = 17740

// start starts an instance in a failure domain.
func (d *deployment) start(domain string) *instance {
	d.t.Helper()
	n := loopback.Add(1)
	ip := fmt.Sprintf("127.77.%d.%d", n/200, n%200+1)
	ports, err := site.FreePorts(ip, 4)
	qt.Assert(d.t, err, qt.IsNil)
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	i := &instance{signals: make(chan os.Signal, 1), ended: make(chan error, 1)}
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.cut.Load() {
			http.Error(w, "cut off", http.StatusServiceUnavailable)
			return
		}
		d.store.ServeHTTP(w, r)
	}))
	i.node = &platform.InstanceSettings{
		Name: fmt.Sprintf("i%d", n), IP: ip, FailureDomain: domain, Region: "r",
		CallerAddress: at(0), ReadyAddress: at(1), DirectoryAddress: at(2), ExchangeAddress: at(3),
		InternalPorts: [2]int{heartbeatBase, heartbeatBase + 9},
		StoreAddress:  strings.TrimPrefix(store.URL, "http://"),
		Bounds: platform.Bounds{
			StopGrace: grace, RetryRatio: 0.2, RetryExtra: 50, MaxDirectoryTTL: 5 * time.Second,
		},
	}
	for _, other := range d.nodes {
		i.node.Seeds = append(i.node.Seeds, other.node.ExchangeAddress)
	}
	go func() { i.ended <- serve(context.Background(), i.node, slog.New(slog.DiscardHandler), i.signals) }()
	d.nodes = append(d.nodes, i)
	d.t.Cleanup(func() {
		i.stop()
		store.CloseClientConnections()
		store.Close()
	})
	return i
}

func (i *instance) stop() error {
	select {
	case i.signals <- syscall.SIGTERM:
	default:
	}
	err := <-i.ended
	i.ended <- err
	return err
}

// configure writes a configuration with one route under a prefix.
func (d *deployment) configure(version int, prefix string) {
	d.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r", "host": host, "path_prefix": prefix, "route_type": "idempotent",
			"timeout_ms": 2000, "target_latency_ms": 500, "backend": "one", "attempts": 2,
		}},
		"services": []any{map[string]any{"name": "one", "health_path": "/health", "max_connections": 40}},
		"limits":   map[string]any{"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func (d *deployment) searchers(ledger *site.Ledger, work time.Duration) []*site.Searcher {
	d.t.Helper()
	var all []*site.Searcher
	for _, domain := range []string{"a", "b"} {
		s, err := site.StartSearcher("one-"+domain, "one", domain, work, 4, ledger)
		qt.Assert(d.t, err, qt.IsNil)
		d.t.Cleanup(s.Stop)
		d.store.Put("servers", s.ID, s.Entry("ready"))
		all = append(all, s)
	}
	return all
}

// status returns the answer's status, and zero if there is none.
func (i *instance) status(path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+i.node.CallerAddress+path, nil)
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Request-Id", "x")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func (i *instance) addresses(domain string) []string {
	response, err := http.Get("http://" + i.node.DirectoryAddress + "/resolve?name=" + host + "&region=r&zone=" + domain)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer platform.DirectoryAnswer
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(what)
}

// TestDeployment guards against an instance that is ready without knowing what to
// serve, callers who get addresses of instances that aren't, and a configuration
// that does not come into force.
func TestDeployment(t *testing.T) {
	d := newDeployment(t)
	a, b := d.start("a"), d.start("b")
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, a.addresses("a"), qt.HasLen, 0, qt.Commentf("nobody serves yet"))
	d.searchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/old/")
	for _, i := range d.nodes {
		eventually(t, "the first configuration is not in force", func() bool { return i.status("/old/x") == http.StatusOK })
	}
	eventually(t, "both instances serve, but callers don't get both addresses", func() bool { return len(a.addresses("a")) == 2 })
	d.configure(2, "/new/")
	for _, i := range d.nodes {
		eventually(t, "the second configuration is not in force", func() bool {
			return i.status("/new/x") == http.StatusOK && i.status("/old/x") == http.StatusNotFound
		})
	}
	qt.Assert(t, b.stop(), qt.IsNil)
	qt.Assert(t, a.addresses("b"), qt.DeepEquals, []string{a.node.CallerAddress})
}

// TestCatchUp guards against an instance that the store turns away: it must learn
// of a change from the others, also when it has just started.
func TestCatchUp(t *testing.T) {
	d := newDeployment(t)
	a, b := d.start("a"), d.start("b")
	d.searchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/old/")
	for _, i := range d.nodes {
		eventually(t, "the first configuration is not in force", func() bool { return i.status("/old/x") == http.StatusOK })
	}
	eventually(t, "the instances don't know each other", func() bool { return len(a.addresses("a")) == 2 && len(b.addresses("b")) == 2 })
	b.cut.Store(true)
	d.configure(2, "/new/")
	eventually(t, "the news don't reach an instance that is cut off", func() bool { return b.status("/new/x") == http.StatusOK })
	qt.Assert(t, b.status("/old/x"), qt.Equals, http.StatusNotFound)
}

// TestStartWithoutStore guards against an instance that can't serve after a start
// because only it can't reach the store.
func TestStartWithoutStore(t *testing.T) {
	d := newDeployment(t)
	a := d.start("a")
	d.searchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/old/")
	eventually(t, "the first configuration is not in force", func() bool { return a.status("/old/x") == http.StatusOK })
	d.store.SetFaults(site.StoreFaults{Down: true})
	b := d.start("b")
	eventually(t, "an instance that starts without the store learns nothing", func() bool { return b.status("/old/x") == http.StatusOK })
}

// TestLateSeed guards against an instance that gives up its seeds: when these know
// the objects only later, and it can't reach the store itself, it must learn them
// all the same.
func TestLateSeed(t *testing.T) {
	d := newDeployment(t)
	a := d.start("a")
	a.cut.Store(true)
	b := d.start("b")
	b.cut.Store(true)
	d.searchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/old/")
	time.Sleep(2 * time.Second)
	qt.Assert(t, b.status("/old/x"), qt.Equals, http.StatusServiceUnavailable)
	a.cut.Store(false)
	eventually(t, "what its seed learned late does not reach an instance", func() bool { return b.status("/old/x") == http.StatusOK })
}

// TestPlannedStop guards against a planned stop that cuts a request, whether it
// came before the stop or while address answers are still in use.
func TestPlannedStop(t *testing.T) {
	d := newDeployment(t)
	a := d.start("a")
	d.searchers(&site.Ledger{}, 300*time.Millisecond)
	d.configure(1, "/r/")
	eventually(t, "the configuration is not in force", func() bool { return a.status("/r/x") == http.StatusOK })
	results := make(chan int, 100)
	requests := 0
	ask := func() {
		requests++
		go func() { results <- a.status("/r/x") }()
		time.Sleep(50 * time.Millisecond)
	}
	ask()
	a.signals <- syscall.SIGTERM
	// Callers hold old addresses for some time; requests come until shortly before
	// the listener closes.
	for range 15 {
		ask()
	}
	for range requests {
		qt.Assert(t, <-results, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, a.stop(), qt.IsNil)
	qt.Assert(t, d.store.Names("wharf-instances"), qt.HasLen, 0)
}

// TestForeignEntries guards against entries of other writers: they must name no
// searcher, and must not keep the others from being used.
func TestForeignEntries(t *testing.T) {
	d := newDeployment(t)
	a := d.start("a")
	d.store.Put("servers", "strange", "text")
	d.store.Put("servers", "stranger", map[string]any{"backend": 7, "address": "nowhere", "state": "ready"})
	d.store.Put("servers", "strangest", map[string]any{"backend": "one", "address": "127.0.0.1:1", "zone": "a", "slots": 1, "state": "odd", "warmup_left_ms": 0})
	d.store.Put("wharf-instances", "strange", []int{1})
	d.searchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/r/")
	eventually(t, "the configuration is not in force", func() bool { return a.status("/r/x") == http.StatusOK })
	for range 10 {
		qt.Assert(t, a.status("/r/x"), qt.Equals, http.StatusOK)
	}
}
