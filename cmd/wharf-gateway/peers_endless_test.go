package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// limitedProcess is a gateway that runs as a process of its own with a memory limit.
type limitedProcess struct {
	caller     string
	exchange   string
	heartbeats string
	metrics    string
	pid        int
	ended      chan error
	// peakMB is the peak of the memory at the last check, in MB.
	peakMB int64
}

// processMemoryMB is the memory limit in the settings of a limitedProcess.
const processMemoryMB = 284

// startLimitedProcess builds the gateway without the race detector, which multiplies its memory,
// and starts it.
func startLimitedProcess(t *testing.T, store string) *limitedProcess {
	t.Helper()
	ip := instanceIP(lastInstanceNumber.Add(1))
	dir := t.TempDir()
	binary := filepath.Join(dir, "wharf-gateway")
	text, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", text))
	ports, err := site.FreePorts(ip, 4)
	qt.Assert(t, err, qt.IsNil)
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	node := site.Node{
		Name: "gateway", IP: ip, Domain: "a", Callers: at(ports[0]), Ready: at(ports[1]), Directory: at(ports[2]), Exchange: at(ports[3]),
		InternalPort: firstInternalPort, Store: store,
	}
	file := filepath.Join(dir, "settings.yaml")
	settings := fmt.Sprintf("%slimits: {memory_mb: %d}\n", node.File(), processMemoryMB)
	qt.Assert(t, os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	command := exec.Command(binary)
	command.Env = append(os.Environ(), "WISTERIAWHARF_NODE_FILE="+file)
	qt.Assert(t, command.Start(), qt.IsNil)
	p := &limitedProcess{caller: at(ports[0]), exchange: at(ports[3]), heartbeats: at(firstInternalPort + heartbeatPortOffset), metrics: at(firstInternalPort + metricsPortOffset), pid: command.Process.Pid, ended: make(chan error, 1)}
	go func() { p.ended <- command.Wait() }()
	t.Cleanup(func() { _ = command.Process.Kill() })
	return p
}

// checkMemory fails the test if the process has ended or has used more memory than its limit.
func (p *limitedProcess) checkMemory(t *testing.T) {
	t.Helper()
	select {
	case err := <-p.ended:
		t.Fatalf("the process has ended: %v", err)
	default:
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	qt.Assert(t, err, qt.IsNil)
	_, rest, ok := strings.Cut(string(text), "VmHWM:")
	qt.Assert(t, ok, qt.IsTrue)
	kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, kib<<10 < processMemoryMB*1e6, qt.IsTrue, qt.Commentf("peak of %d MB", kib<<10/1e6))
	p.peakMB = kib << 10 / 1e6
}

// serve sends a small request and returns the status of the answer, or zero if there is none.
func (p *limitedProcess) serve() int {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.caller+"/r/x", strings.NewReader("small"))
	if err != nil {
		return 0
	}
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// callEndlessly sends requests with bodies without end, one after the other, until done is closed.
// It counts those that are refused.
func (p *limitedProcess) callEndlessly(done chan struct{}, refused *atomic.Int64) {
	chunk := "4000\r\n" + strings.Repeat("x", 0x4000) + "\r\n"
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		c, err := net.Dial("tcp", p.caller)
		if err != nil {
			continue
		}
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil && answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") != "" {
				refused.Add(1)
			}
		}()
		_, err = io.WriteString(c, "POST /r/x HTTP/1.1\r\nHost: "+host+"\r\nTransfer-Encoding: chunked\r\n\r\n")
		for err == nil {
			select {
			case <-done:
				err = net.ErrClosed
			default:
				_, err = io.WriteString(c, chunk)
			}
		}
		select {
		case <-answered:
		case <-done:
		}
		_ = c.Close()
	}
}

// endlessAnswers answers each request with JSON without end and counts those that it began.
type endlessAnswers struct{ begun atomic.Int64 }

// ServeHTTP implements http.Handler.
func (e *endlessAnswers) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	e.begun.Add(1)
	_, err := io.WriteString(w, `{"items":[{"meta":{"name":"`)
	for piece := strings.Repeat("x", 1<<16); err == nil; {
		_, err = io.WriteString(w, piece)
	}
}

// heartbeatsOf sends heartbeats of an instance that knows newer objects of all kinds.
func heartbeatsOf(name, to string, done chan struct{}) {
	c, err := net.Dial("udp", to)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	newest := map[string]int64{platform.KindConfig: 1 << 40, platform.KindSearchers: 1 << 40, platform.KindEvacuations: 1 << 40, platform.KindInstances: 1 << 40}
	text, _ := json.Marshal(map[string]any{"n": name, "s": 1, "r": true, "f": true, "l": true, "v": newest})
	for {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
			_, _ = c.Write(text)
		}
	}
}

// TestPeersWithoutEndTogether guards against callers, the store and an instance that all send bytes
// without end at once, and together exceed the memory of a process although each is bounded.
func TestPeersWithoutEndTogether(t *testing.T) {
	const callers, storeAnswers, peerReplies, smallRequests = 300, 8, 8, 100
	d := newDeployment(t)
	var storeEndless atomic.Bool
	var fromStore, fromPeer endlessAnswers
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if storeEndless.Load() {
			fromStore.ServeHTTP(w, r)
			return
		}
		d.store.ServeHTTP(w, r)
	}))
	t.Cleanup(func() { store.CloseClientConnections(); store.Close() })
	peer := httptest.NewServer(&fromPeer)
	t.Cleanup(func() { peer.CloseClientConnections(); peer.Close() })
	peerAddress := strings.TrimPrefix(peer.URL, "http://")

	p := startLimitedProcess(t, strings.TrimPrefix(store.URL, "http://"))
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.store.Put(platform.KindInstances, "peer", platform.EncodeInstance(fleet.Instance{
		FailureDomain: "a", CallerAddress: "127.0.0.1:1", ReadyAddress: "127.0.0.1:1", InternalAddress: peerAddress, StartUnixMs: 1,
	}))
	d.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r", "host": host, "path_prefix": "/r/", "route_type": "idempotent",
			"timeout_ms": 30000, "target_latency_ms": 5000, "backend": "one", "attempts": 2,
		}},
		"services": []any{map[string]any{"name": "one", "health_path": "/health", "max_connections": 40}},
	})
	eventually(t, "the gateway does not serve", func() bool { return p.serve() == http.StatusOK })

	storeEndless.Store(true)
	done := make(chan struct{})
	defer close(done)
	go heartbeatsOf("peer", p.heartbeats, done)
	var refused atomic.Int64
	for range callers {
		go p.callEndlessly(done, &refused)
	}
	served := 0
	eventually(t, "bytes without end are not refused", func() bool {
		p.checkMemory(t)
		if served < smallRequests {
			qt.Assert(t, p.serve(), qt.Equals, http.StatusOK, qt.Commentf("small request %d", served))
			served++
		}
		return served == smallRequests && refused.Load() >= callers && fromStore.begun.Load() >= storeAnswers && fromPeer.begun.Load() >= peerReplies
	})
	t.Logf("peak of %d MB, %d bodies refused, %d answers of the store and %d replies of the instance begun", p.peakMB, refused.Load(), fromStore.begun.Load(), fromPeer.begun.Load())
	storeEndless.Store(false)
	d.configure(2, "/new/")
	eventually(t, "the store is not followed again", func() bool {
		request, err := http.NewRequest(http.MethodGet, "http://"+p.caller+"/new/x", nil)
		qt.Assert(t, err, qt.IsNil)
		request.Host = host
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	})
	p.checkMemory(t)
}
