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
	host      = "a.example"
	stopGrace = 2 * time.Second
)

// deployment is a store and several instances, each with its own IP address.
type deployment struct {
	t         *testing.T
	store     *site.Store
	instances []*instance
}

type instance struct {
	settings *platform.InstanceSettings
	signals  chan os.Signal
	ended    chan error
	// storeRefuses makes the store answer this instance's calls with 503.
	storeRefuses atomic.Bool
}

// lastInstanceNumber is the number of the last instance that was started. The name and the
// IP address of an instance are derived from its number. Tests don't reset the number, so
// names and addresses are never used twice in a process.
var lastInstanceNumber atomic.Int64

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	return &deployment{t: t, store: site.NewStore()}
}

// instanceIP returns the IP address of an instance. Test processes that run at the same time use
// different addresses, because the internal ports are the same.
func instanceIP(n int64) string {
	const networks = 128
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%networks, n/200, n%200+1)
}

// firstInternalPort is the first internal port of each instance. It must be the same on all
// instances, because they send heartbeats to the same port of each other's IP address.
const firstInternalPort = 17740

// startInstance starts an instance in a failure domain. Its seeds are the instances that
// were started before.
func (d *deployment) startInstance(domain string) *instance {
	d.t.Helper()
	n := lastInstanceNumber.Add(1)
	ip := instanceIP(n)
	ports, err := site.FreePorts(ip, 4)
	qt.Assert(d.t, err, qt.IsNil)
	address := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	i := &instance{signals: make(chan os.Signal, 1), ended: make(chan error, 1)}
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.storeRefuses.Load() {
			http.Error(w, "store refuses this instance", http.StatusServiceUnavailable)
			return
		}
		d.store.ServeHTTP(w, r)
	}))
	i.settings = &platform.InstanceSettings{
		Name: fmt.Sprintf("i%d", n), IP: ip, FailureDomain: domain, Region: "r",
		CallerAddress: address(0), ReadyAddress: address(1), DirectoryAddress: address(2), ExchangeAddress: address(3),
		InternalPorts: [2]int{firstInternalPort, firstInternalPort + 9},
		StoreAddress:  strings.TrimPrefix(store.URL, "http://"),
		Bounds: platform.Bounds{
			StopGrace: stopGrace, RetryRatio: 0.2, RetryExtra: 50, MaxDirectoryTTL: 5 * time.Second,
		},
	}
	for _, other := range d.instances {
		i.settings.Seeds = append(i.settings.Seeds, other.settings.ExchangeAddress)
	}
	go func() { i.ended <- serve(context.Background(), i.settings, slog.New(slog.DiscardHandler), i.signals) }()
	d.instances = append(d.instances, i)
	d.t.Cleanup(func() {
		i.stop()
		store.CloseClientConnections()
		store.Close()
	})
	return i
}

// awaitServing waits until all instances serve a path and know each other.
func (d *deployment) awaitServing(path string) {
	d.t.Helper()
	for _, i := range d.instances {
		eventually(d.t, i.settings.Name+" does not serve", func() bool { return i.status(path) == http.StatusOK })
	}
	for _, i := range d.instances {
		eventually(d.t, i.settings.Name+" does not know the others", func() bool { return len(i.addresses(i.settings.FailureDomain)) == len(d.instances) })
	}
}

// stop starts a planned stop and returns what serve returned. It can be called again.
func (i *instance) stop() error {
	select {
	case i.signals <- syscall.SIGTERM:
	default:
	}
	err := <-i.ended
	i.ended <- err
	return err
}

// configure writes a configuration with a single route for a path prefix.
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

// startSearchers starts a searcher in each of the failure domains a and b, each with its
// entry in the store. A request to one of them takes requestTime.
func (d *deployment) startSearchers(ledger *site.Ledger, requestTime time.Duration) []*site.Searcher {
	d.t.Helper()
	return d.startSearchersOf("one", "one", 4, ledger, requestTime)
}

// startSearchersOf is startSearchers for a service. The searchers have a number of slots each, and
// IDs that begin with the prefix.
func (d *deployment) startSearchersOf(service, prefix string, slots int, ledger *site.Ledger, requestTime time.Duration) []*site.Searcher {
	d.t.Helper()
	var all []*site.Searcher
	for _, domain := range []string{"a", "b"} {
		s, err := site.StartSearcher(prefix+"-"+domain, service, domain, requestTime, slots, ledger)
		qt.Assert(d.t, err, qt.IsNil)
		d.t.Cleanup(s.Stop)
		d.store.Put("servers", s.ID, s.Entry("ready"))
		all = append(all, s)
	}
	return all
}

// status sends a request as a caller and returns the status of the answer, or zero if there
// is no whole answer.
func (i *instance) status(path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+i.settings.CallerAddress+path, nil)
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

// addresses returns the directory answer for callers in a failure domain, or nil if there
// is none.
func (i *instance) addresses(domain string) []string {
	response, err := http.Get("http://" + i.settings.DirectoryAddress + "/resolve?name=" + host + "&region=r&zone=" + domain)
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

// eventually waits until a condition holds. It fails the test with the given message if
// the condition doesn't hold after 1000 checks, 10 ms apart.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(failure)
}

// TestReadinessAndConfigChange guards against an instance that is ready before it has a
// configuration and searchers, a directory answer with addresses of instances that are not
// ready, and a new configuration that is not applied.
func TestReadinessAndConfigChange(t *testing.T) {
	d := newDeployment(t)
	a, b := d.startInstance("a"), d.startInstance("b")
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, a.addresses("a"), qt.HasLen, 0, qt.Commentf("no instance is ready yet"))
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/old/")
	for _, i := range d.instances {
		eventually(t, "the first configuration is not in force", func() bool { return i.status("/old/x") == http.StatusOK })
	}
	eventually(t, "both instances serve, but the directory does not return both addresses", func() bool { return len(a.addresses("a")) == 2 })
	d.configure(2, "/new/")
	for _, i := range d.instances {
		eventually(t, "the second configuration is not in force", func() bool {
			return i.status("/new/x") == http.StatusOK && i.status("/old/x") == http.StatusNotFound
		})
	}
	qt.Assert(t, b.stop(), qt.IsNil)
	qt.Assert(t, a.addresses("b"), qt.DeepEquals, []string{a.settings.CallerAddress})
}

// TestConfigChangeWithoutStore guards against an instance that misses a change of the
// configuration because the store refuses only this instance. It must learn of the change
// from the other instances, even shortly after its start.
func TestConfigChangeWithoutStore(t *testing.T) {
	d := newDeployment(t)
	a, b := d.startInstance("a"), d.startInstance("b")
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/old/")
	for _, i := range d.instances {
		eventually(t, "the first configuration is not in force", func() bool { return i.status("/old/x") == http.StatusOK })
	}
	eventually(t, "the instances don't know each other", func() bool { return len(a.addresses("a")) == 2 && len(b.addresses("b")) == 2 })
	b.storeRefuses.Store(true)
	d.configure(2, "/new/")
	eventually(t, "the change does not reach an instance that the store refuses", func() bool { return b.status("/new/x") == http.StatusOK })
	qt.Assert(t, b.status("/old/x"), qt.Equals, http.StatusNotFound)
}

// TestStartWithoutStore guards against an instance that can't serve after its start because
// the store is down, although another instance knows the objects.
func TestStartWithoutStore(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a")
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/old/")
	eventually(t, "the first configuration is not in force", func() bool { return a.status("/old/x") == http.StatusOK })
	d.store.SetFaults(site.StoreFaults{Down: true})
	b := d.startInstance("b")
	eventually(t, "an instance that starts without the store does not learn the configuration", func() bool { return b.status("/old/x") == http.StatusOK })
}

// TestSeedsLearnLate guards against an instance that stops asking its seeds too early. If
// the seeds learn the objects only later, and the store refuses the instance, it must still
// learn them from the seeds.
func TestSeedsLearnLate(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a")
	a.storeRefuses.Store(true)
	b := d.startInstance("b")
	b.storeRefuses.Store(true)
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/old/")
	time.Sleep(2 * time.Second)
	qt.Assert(t, b.status("/old/x"), qt.Equals, http.StatusServiceUnavailable)
	a.storeRefuses.Store(false)
	eventually(t, "objects that a seed learned late do not reach the instance", func() bool { return b.status("/old/x") == http.StatusOK })
}

// TestPlannedStop guards against a planned stop that cuts off a request, whether the
// request came before the stop or while callers still use cached directory answers.
func TestPlannedStop(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a")
	d.startSearchers(&site.Ledger{}, 300*time.Millisecond)
	d.configure(1, "/r/")
	eventually(t, "the configuration is not in force", func() bool { return a.status("/r/x") == http.StatusOK })
	results := make(chan int, 100)
	requests := 0
	sendRequest := func() {
		requests++
		go func() { results <- a.status("/r/x") }()
		time.Sleep(50 * time.Millisecond)
	}
	sendRequest()
	a.signals <- syscall.SIGTERM
	// Callers use cached addresses for some time, so requests arrive until shortly before
	// the listener closes.
	for range 15 {
		sendRequest()
	}
	for range requests {
		qt.Assert(t, <-results, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, a.stop(), qt.IsNil)
	qt.Assert(t, d.store.Names("wharf-instances"), qt.HasLen, 0)
}

// TestInvalidEntries guards against an instance that uses invalid entries as searchers, or
// that fails to use the valid ones because of them. Programs other than this one can write
// invalid entries to the store.
func TestInvalidEntries(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a")
	d.store.Put("servers", "strange", "text")
	d.store.Put("servers", "stranger", map[string]any{"backend": 7, "address": "nowhere", "state": "ready"})
	d.store.Put("servers", "strangest", map[string]any{"backend": "one", "address": "127.0.0.1:1", "zone": "a", "slots": 1, "state": "odd", "warmup_left_ms": 0})
	d.store.Put("wharf-instances", "strange", []int{1})
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/r/")
	eventually(t, "the configuration is not in force", func() bool { return a.status("/r/x") == http.StatusOK })
	for range 10 {
		qt.Assert(t, a.status("/r/x"), qt.Equals, http.StatusOK)
	}
}

// TestSearcherRestartsWithEarlierTime guards against a searcher that gets requests although it drains, or gets none at its
// new address, because it started again on a host whose time of day was set back, so that its start is an earlier one.
func TestSearcherRestartsWithEarlierTime(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a")
	ledger := &site.Ledger{}
	searchers := d.startSearchers(ledger, time.Millisecond)
	restarted := searchers[0]
	put := func(start int64, state string) {
		restarted.StartUnixMs = start
		d.store.Put("servers", restarted.ID, restarted.Entry(state))
	}
	// runs returns how many of ten requests run on the searcher.
	runs := func() int {
		before := len(ledger.Runs())
		for range 10 {
			a.status("/r/x")
		}
		n := 0
		for _, r := range ledger.Runs()[before:] {
			if r.Searcher == restarted.ID {
				n++
			}
		}
		return n
	}
	put(5000, "ready")
	d.configure(1, "/r/")
	eventually(t, "the configuration is not in force", func() bool { return a.status("/r/x") == http.StatusOK })
	eventually(t, "the searcher is not used", func() bool { return runs() > 0 })
	put(3000, "draining")
	eventually(t, "the searcher that drains is used", func() bool { return runs() == 0 && a.status("/r/x") == http.StatusOK })
	moved, err := site.StartSearcher(restarted.ID, "one", "a", time.Millisecond, 4, ledger)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(moved.Stop)
	restarted = moved
	put(2000, "ready")
	d.store.Put("servers", searchers[1].ID, searchers[1].Entry("draining"))
	eventually(t, "the searcher is not used at its new address", func() bool { return a.status("/r/x") == http.StatusOK && runs() == 10 })
}
