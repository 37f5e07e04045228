package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// open opens a connection to the gateway and sends the head of a POST request with the given
// header lines.
func (h *harness) open(t *testing.T, headers ...string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", h.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	head := "POST /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: 7\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n"
	_, err = c.Write([]byte(head))
	qt.Assert(t, err, qt.IsNil)
	return c
}

// readAnswer reads the status and the headers of the answer on a connection.
func readAnswer(t *testing.T, c net.Conn) *http.Response {
	t.Helper()
	qt.Assert(t, c.SetReadDeadline(time.Now().Add(promptTimeout)), qt.IsNil)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	qt.Assert(t, err, qt.IsNil)
	return answer
}

// configureBodies puts a configuration in force that bounds no body.
func (h *harness) configureBodies(timeout time.Duration) {
	route := routing.Route{Name: "r", Host: "a.example", Prefix: "/r/", Targets: oneTarget, MaxAttempts: 2, Timeout: timeout, TargetLatency: time.Second}
	services := []*routing.Service{{Name: "one", MaxConnections: h.maxConnections}}
	c := routing.NewConfig(1, []*routing.Route{&route}, services, routing.Limits{})
	h.dispatcher.SetConfig(c)
	h.gateway.SetRoutingConfig(c)
}

// TestBodiesWithoutEndAreRefused guards against callers whose bodies have no end and that together
// take all memory of the process. Small requests are served meanwhile, and all bytes are given back.
func TestBodiesWithoutEndAreRefused(t *testing.T) {
	const limit, callers = 1 << 20, 20
	h := newHarness(t, "one")
	budget := memory.NewBudget(limit)
	h.gateway.config.Memory = budget
	h.configureBodies(time.Minute)
	chunk := "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"
	answers := make(chan *http.Response, callers)
	for range callers {
		c := h.open(t, "Transfer-Encoding: chunked")
		go func() {
			for {
				if _, err := io.WriteString(c, chunk); err != nil {
					return
				}
			}
		}()
		go func() {
			answer, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				answer = nil
			}
			answers <- answer
		}()
	}
	for range callers {
		select {
		case a := <-answers:
			qt.Assert(t, a, qt.IsNotNil, qt.Commentf("no answer"))
			qt.Assert(t, a.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, a.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		case <-time.After(promptTimeout):
			t.Fatal("a body without end is not refused")
		}
		qt.Assert(t, budget.Used() <= limit, qt.IsTrue)
		qt.Assert(t, h.do(t, "POST", "/r/x", "small", 0).status, qt.Equals, http.StatusOK)
	}
	for deadline := time.Now().Add(promptTimeout); budget.Used() != 0; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d bytes stay taken", budget.Used()))
	}
	qt.Assert(t, h.ledger.Arrivals(), qt.Equals, callers, qt.Commentf("only the small requests are passed on"))
}

// TestCopiesOfBodiesAreTaken guards against a request to many shards that is passed on although the
// copies of its body don't fit into the memory of the process.
func TestCopiesOfBodiesAreTaken(t *testing.T) {
	const body = 32 << 10
	var shards []string
	for i := range 8 {
		shards = append(shards, fmt.Sprint("s", i))
	}
	h := newHarness(t, shards...)
	h.gateway.config.Memory = memory.NewBudget(6 * body)
	h.configure(1, routing.Route{Shards: shards, Idempotent: true, MinShardShare: 1, TopK: 4})
	r := h.do(t, "POST", "/r/x", strings.Repeat("x", body), 0)
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, h.ledger.Arrivals(), qt.Equals, 0)
	qt.Assert(t, h.do(t, "POST", "/r/x", "small", 0).status, qt.Equals, http.StatusOK)
}

// TestSlowBodyEndsAtDeadline guards against a body that is sent slowly and held longer than the
// request may take. The answer must not promise less than is known: the request has not run.
func TestSlowBodyEndsAtDeadline(t *testing.T) {
	h := newHarness(t, "one")
	h.configureBodies(300 * time.Millisecond)
	for _, length := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		c := h.open(t, length)
		qt.Assert(t, readAnswer(t, c).StatusCode, qt.Equals, http.StatusRequestTimeout, qt.Commentf("%s", length))
	}
	qt.Assert(t, h.ledger.Arrivals(), qt.Equals, 0)
}

// TestBrokenOffBodyIsNoRequest guards against a body that breaks off and is passed on as whole.
func TestBrokenOffBodyIsNoRequest(t *testing.T) {
	h := newHarness(t, "one")
	budget := memory.NewBudget(1 << 20)
	h.gateway.config.Memory = budget
	h.configureBodies(time.Minute)
	for _, length := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		c := h.open(t, length)
		_, err := io.WriteString(c, "5\r\nhello\r\n")
		qt.Assert(t, err, qt.IsNil)
		closer, ok := c.(*net.TCPConn)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, closer.CloseWrite(), qt.IsNil)
		qt.Assert(t, readAnswer(t, c).StatusCode, qt.Equals, http.StatusBadRequest)
	}
	qt.Assert(t, h.ledger.Arrivals(), qt.Equals, 0)
	qt.Assert(t, budget.Used(), qt.Equals, int64(0))
}

// TestBodyDoesNotOutlastStop guards against a request that ends without an answer because its body
// is still arriving at the end of a planned stop.
func TestBodyDoesNotOutlastStop(t *testing.T) {
	h := newHarness(t, "one")
	h.configureBodies(time.Minute)
	c := h.open(t, "Content-Length: 100")
	_, err := io.WriteString(c, "begin")
	qt.Assert(t, err, qt.IsNil)
	eventually(t, func() bool { return h.gateway.InFlight() == 1 })
	h.beginStop(100 * time.Millisecond)
	qt.Assert(t, readAnswer(t, c).StatusCode, qt.Equals, http.StatusRequestTimeout)
	qt.Assert(t, h.ledger.Arrivals(), qt.Equals, 0)
}
