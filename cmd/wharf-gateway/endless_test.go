package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const signedHead = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n"

// endlessReplies are replies without end, by kind: what is sent once and what is sent again and again.
var endlessReplies = []struct{ name, start, rest string }{
	{"until close", signedHead + "\r\n", strings.Repeat("x", 1<<16)},
	{"large chunks", signedHead + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n"},
	{"tiny chunks", signedHead + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 10_000)},
	{"huge length", signedHead + "Content-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 1<<16)},
	{"length at the limit", signedHead + "Content-Length: 8388608\r\n\r\n", strings.Repeat("x", 1<<16)},
	{"without signature", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 1<<16)},
	{"encoded", signedHead + "Content-Encoding: gzip\r\n\r\n", strings.Repeat("x", 1<<16)},
	{"head", signedHead, strings.Repeat("A: b\r\n", 1000)},
	{"interim", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000)},
	{"garbage", "", strings.Repeat("\x00", 1<<16)},
}

// serveEndlessly replies without end on each connection to a new searcher, in all kinds in turn. It
// returns the searcher's address, and adds the bytes that it has sent to sent.
func serveEndlessly(t *testing.T, sent *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reply := endlessReplies[i%len(endlessReplies)]
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, reply.start)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, reply.rest)
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// endlessHalf is a gateway process with sound searchers and as many that reply without end.
type endlessHalf struct {
	process *limitedProcess
	// sent is the number of bytes that the faulty searchers have sent.
	sent   atomic.Int64
	client *http.Client
}

// startEndlessHalf starts the process and its searchers, and waits until it serves with its whole
// part of the budgets.
func startEndlessHalf(t *testing.T) *endlessHalf {
	t.Helper()
	d := newDeployment(t)
	store := httptest.NewServer(d.store)
	t.Cleanup(func() { store.CloseClientConnections(); store.Close() })
	h := &endlessHalf{client: &http.Client{Timeout: 10 * time.Second}}
	h.process = startLimitedProcess(t, strings.TrimPrefix(store.URL, "http://"))
	d.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r", "host": host, "path_prefix": "/", "route_type": "idempotent",
			"timeout_ms": 5000, "target_latency_ms": 2000, "backend": "one", "attempts": 3,
		}},
		"services": []any{map[string]any{"name": "one", "health_path": "/health", "max_connections": 2000}},
		"limits":   map[string]any{"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i := range 6 {
		sound, err := site.StartSearcher(fmt.Sprintf("sound-%d", i), "one", "a", 5*time.Millisecond, 200, &site.Ledger{})
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(sound.Stop)
		d.store.Put("servers", sound.ID, sound.Entry("ready"))
		entry := sound.Entry("ready")
		entry["address"] = serveEndlessly(t, &h.sent)
		d.store.Put("servers", fmt.Sprintf("endless-%d", i), entry)
	}
	eventually(t, "the gateway does not serve", func() bool { return h.status("/warm") == http.StatusOK })
	time.Sleep(startupPeriod + 2*periodicInterval)
	return h
}

// status sends a request and returns the status of the answer, zero if there is no whole answer.
func (h *endlessHalf) status(path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+h.process.caller+path, nil)
	if err != nil {
		return 0
	}
	request.Host = host
	response, err := h.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// together sends a number of requests at once and returns the number of answers by status.
func (h *endlessHalf) together(callers int, path string) map[int]int {
	var mu sync.Mutex
	byStatus := make(map[int]int)
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			s := h.status(path)
			mu.Lock()
			defer mu.Unlock()
			byStatus[s]++
		})
	}
	done.Wait()
	return byStatus
}

// metricsHeadBytes is more than the head of a request for the metrics holds, and less than any reply.
const metricsHeadBytes = 4 << 10

// heldBytes returns the number of bytes that the process holds for its peers.
func (h *endlessHalf) heldBytes(t *testing.T) float64 {
	t.Helper()
	response, err := http.Get("http://" + h.process.metrics + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	_, rest, ok := strings.Cut(string(text), "\nwharf_held_bytes ")
	qt.Assert(t, ok, qt.IsTrue)
	held, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	qt.Assert(t, err, qt.IsNil)
	return held
}

// assertWithinMemory fails the test if the process has ended, has exceeded its memory limit, or
// still counts bytes of replies.
func (h *endlessHalf) assertWithinMemory(t *testing.T) {
	t.Helper()
	// Replies that nobody waits for any more are read on for a short time.
	eventually(t, "bytes of replies are still held", func() bool { return h.heldBytes(t) < metricsHeadBytes })
	t.Logf("faulty searchers sent %d MB", h.sent.Load()/1e6)
	h.process.checkMemory(t)
}

// TestEndlessRepliesTogether guards against replies without end from many searchers at once, which
// together exceed the memory of a process although each of them is bounded.
func TestEndlessRepliesTogether(t *testing.T) {
	const callers, waves = 200, 5
	h := startEndlessHalf(t)
	for wave := range waves {
		byStatus := h.together(callers, fmt.Sprintf("/%d", wave))
		t.Logf("wave %d: %v", wave, byStatus)
		qt.Check(t, byStatus[0], qt.Equals, 0, qt.Commentf("callers without an answer in wave %d", wave))
		qt.Check(t, byStatus[http.StatusOK] >= callers/2, qt.IsTrue, qt.Commentf("the sound half answered %d in wave %d", byStatus[http.StatusOK], wave))
	}
	h.assertWithinMemory(t)
}

// TestEndlessSearchersAreLeftOut guards against searchers that reply without end and are chosen
// again and again, while sound ones could answer.
func TestEndlessSearchersAreLeftOut(t *testing.T) {
	// A request fails if its three attempts all reach searchers that are not known as faulty yet.
	const callers, rounds, mostFailed = 100, 40, 0.01
	h := startEndlessHalf(t)
	answers := make(map[int]int)
	for range rounds {
		for status, n := range h.together(callers, "/") {
			answers[status] += n
		}
		time.Sleep(100 * time.Millisecond)
	}
	failed := callers*rounds - answers[http.StatusOK]
	t.Logf("answers by status: %v", answers)
	qt.Check(t, float64(failed) <= mostFailed*callers*rounds, qt.IsTrue, qt.Commentf("%v", answers))
	h.assertWithinMemory(t)
}
