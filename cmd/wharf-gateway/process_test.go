package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// runGatewayVariable is set in the environment of a test binary that is to run the gateway.
const runGatewayVariable = "WHARF_TEST_RUN_GATEWAY"

func TestMain(m *testing.M) {
	if os.Getenv(runGatewayVariable) != "" {
		os.Exit(run(nil))
	}
	os.Exit(m.Run())
}

// gatewayProcess is an instance in a process of its own.
type gatewayProcess struct {
	t       *testing.T
	node    site.Node
	command *exec.Cmd
	// settingsFile and log are paths.
	settingsFile, log string
	// stdout takes the place of the log file if it is not nil.
	stdout *os.File
	ended  chan error
}

// startProcess starts an instance as a process, with the store at an address. Its settings may be
// changed before.
func startProcess(t *testing.T, store string, changes ...func(*site.Node)) *gatewayProcess {
	t.Helper()
	return startProcessWithLog(t, nil, store, changes...)
}

// startProcessWithLog is startProcess, with a file for the log, or nil.
func startProcessWithLog(t *testing.T, stdout *os.File, store string, changes ...func(*site.Node)) *gatewayProcess {
	t.Helper()
	n := lastInstanceNumber.Add(1)
	ip := instanceIP(n)
	ports, err := site.FreePorts(ip, 4)
	qt.Assert(t, err, qt.IsNil)
	address := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	p := &gatewayProcess{t: t, stdout: stdout, ended: make(chan error, 1), node: site.Node{
		Name: fmt.Sprintf("p%d", n), IP: ip, Domain: "a", Callers: address(0), Ready: address(1), Directory: address(2), Exchange: address(3),
		InternalPort: firstInternalPort, Store: store,
	}}
	for _, change := range changes {
		change(&p.node)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "node.yaml")
	p.settingsFile, p.log = file, filepath.Join(dir, "log")
	qt.Assert(t, os.WriteFile(file, []byte(p.node.File()), 0o600), qt.IsNil)
	log, err := os.Create(p.log)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = log.Close() }()
	p.command = exec.Command(os.Args[0])
	// The race detector would sleep for a second when the process ends.
	p.command.Env = append(os.Environ(), runGatewayVariable+"=1", "WISTERIAWHARF_NODE_FILE="+file, "GORACE=atexit_sleep_ms=0")
	p.command.Stdout, p.command.Stderr = log, log
	if p.stdout != nil {
		p.command.Stdout = p.stdout
	}
	qt.Assert(t, p.command.Start(), qt.IsNil)
	go func() { p.ended <- p.command.Wait() }()
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // it may have ended
		if t.Failed() {
			text, _ := os.ReadFile(p.log)
			t.Logf("log of %s:\n%s", p.node.Name, text)
		}
	})
	return p
}

func (p *gatewayProcess) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) } // it may have ended

// status sends a request on a new connection and returns the status of its answer, or zero.
func (p *gatewayProcess) status(path string) int {
	c, err := site.Connect(p.node.Callers)
	if err != nil {
		return 0
	}
	defer c.Close()
	status, _ := c.Ask(http.MethodGet, path, "probe", requestDeadline)
	return status
}

const processGrace = site.GraceSeconds * time.Second

// processSite is a store with a configuration, searchers, and an instance as a process that
// serves.
func processSite(t *testing.T, ledger *site.Ledger, work time.Duration, changes ...func(*site.Node)) *gatewayProcess {
	t.Helper()
	p, _ := processSiteOf(t, ledger, work, changes...)
	return p
}

// processSiteOf is processSite, and returns the searchers too.
func processSiteOf(t *testing.T, ledger *site.Ledger, work time.Duration, changes ...func(*site.Node)) (*gatewayProcess, []*site.Searcher) {
	t.Helper()
	d := newDeployment(t)
	store := httptest.NewServer(d.store)
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	searchers := d.startSearchersOf("one", "one", 200, ledger, work)
	d.store.Put("config", "main", site.Configuration(1, []string{"one"}, []site.Route{
		{Prefix: "/safe/", Service: "one", Idempotent: true, TargetMs: 500},
		{Prefix: "/search/", Shards: []string{"one"}, Idempotent: true, TargetMs: 500},
		{Prefix: "/book/", Service: "one", TargetMs: 500},
	}))
	p := startProcess(t, strings.TrimPrefix(store.URL, "http://"), changes...)
	eventually(t, "the process does not serve", func() bool { return p.status("/safe/x") == http.StatusOK })
	return p, searchers
}

// unansweredLimit is how long after its last byte a request that was not passed on may end
// without an answer.
const unansweredLimit = 200 * time.Millisecond

// TestStopPausedProcess guards against a stop that resets a request which came while the process
// got no processor time, as its connections are closed first when it goes on.
func TestStopPausedProcess(t *testing.T) {
	for _, c := range []struct {
		at     float64 // of the grace
		length time.Duration
	}{
		{0, 900 * time.Millisecond}, {0.3, 900 * time.Millisecond}, {0.55, 100 * time.Millisecond}, {0.55, 300 * time.Millisecond},
		{0.55, 600 * time.Millisecond}, {0.59, 900 * time.Millisecond}, {0.599, 400 * time.Millisecond}, {0.6, 500 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.at, " ", c.length), func(t *testing.T) {
			t.Parallel()
			ledger := &site.Ledger{}
			p := processSite(t, ledger, 20*time.Millisecond)
			const callers = 60
			kept := make([]*site.Connection, callers)
			for i := range kept {
				var err error
				kept[i], err = site.Connect(p.node.Callers)
				qt.Assert(t, err, qt.IsNil)
				status, usable := kept[i].Ask(http.MethodGet, "/missing", "warm-up", requestDeadline)
				qt.Assert(t, status, qt.Equals, http.StatusNotFound)
				qt.Assert(t, usable, qt.IsTrue)
			}
			p.signal(syscall.SIGTERM)
			time.Sleep(time.Duration(c.at * float64(processGrace)))
			p.signal(syscall.SIGSTOP)
			var group sync.WaitGroup
			for i, k := range kept {
				group.Go(func() {
					defer k.Close()
					time.Sleep(time.Duration(i) * c.length / callers)
					began := time.Now()
					id := fmt.Sprintf("b%d", i)
					status, _ := k.Ask(http.MethodPost, "/book/x", id, requestDeadline)
					waited, runs := time.Since(began), ledger.Count(id)
					if status == 0 && (runs > 0 || waited > unansweredLimit) {
						t.Errorf("%s ended without an answer after %s, ran %d times", id, waited, runs)
					}
					if status == http.StatusServiceUnavailable && runs > 0 {
						t.Errorf("%s was refused as not run, and ran", id)
					}
				})
			}
			time.Sleep(c.length)
			p.signal(syscall.SIGCONT)
			group.Wait()
			qt.Assert(t, <-p.ended, qt.IsNil)
		})
	}
}

// TestStopDuringStart guards against an instance that is told to stop before it is ready, and
// fails or does not end within the grace.
func TestStopDuringStart(t *testing.T) {
	over := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-over }))
	t.Cleanup(func() {
		close(over)
		silent.CloseClientConnections()
		silent.Close()
	})
	ports, err := site.FreePorts("127.0.0.1", 1)
	qt.Assert(t, err, qt.IsNil)
	for name, store := range map[string]string{
		"silent store": strings.TrimPrefix(silent.URL, "http://"), "no store": fmt.Sprintf("127.0.0.1:%d", ports[0]),
	} {
		for _, after := range []time.Duration{0, 20 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", after), func(t *testing.T) {
				t.Parallel()
				p := startProcess(t, store)
				time.Sleep(after)
				began := time.Now()
				for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
					p.signal(s)
				}
				err := <-p.ended
				qt.Assert(t, time.Since(began) < processGrace, qt.IsTrue)
				// Before the program's first instruction a signal ends the process.
				if err != nil && !strings.HasPrefix(err.Error(), "signal: ") {
					t.Errorf("the process ended with %v", err)
				}
			})
		}
	}
}

// TestStopBesideStore guards against a stop that fails, or cuts requests, while the store is away
// or silent and further signals come.
func TestStopBesideStore(t *testing.T) {
	for name, faults := range map[string]site.StoreFaults{"away": {Down: true}, "silent": {Delay: 5 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			store := httptest.NewServer(d.store)
			t.Cleanup(func() {
				store.CloseClientConnections()
				store.Close()
			})
			ledger := &site.Ledger{}
			d.startSearchers(ledger, 300*time.Millisecond)
			d.configure(1, "/r/")
			p := startProcess(t, strings.TrimPrefix(store.URL, "http://"))
			eventually(t, "the process does not serve", func() bool { return p.status("/r/x") == http.StatusOK })
			d.store.SetFaults(faults)
			c, err := site.Connect(p.node.Callers)
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			began := time.Now()
			answered := make(chan int, 1)
			go func() {
				status, _ := c.Ask(http.MethodGet, "/r/x", "open", requestDeadline)
				answered <- status
			}()
			eventually(t, "the request does not run", func() bool { return ledger.Count("open") > 0 })
			for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM} {
				p.signal(s)
				time.Sleep(50 * time.Millisecond)
			}
			qt.Assert(t, <-answered, qt.Equals, http.StatusOK)
			qt.Assert(t, <-p.ended, qt.IsNil)
			qt.Assert(t, time.Since(began) < processGrace+time.Second, qt.IsTrue)
		})
	}
}
