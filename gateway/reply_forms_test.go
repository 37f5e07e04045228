package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// startKeepingReplier starts a searcher that answers each request with a form of a reply, in which
// it puts the request ID, and returns its address. It closes a connection only if the reply says so
// or the other side has closed it.
func startKeepingReplier(t *testing.T, form string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, err = fmt.Fprintf(c, form, request.Header.Get("Request-Id"))
			if err != nil || strings.Contains(form, "Connection: close") {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// TestWholeReplyNeverCutsCaller guards against a caller's connection that is cut, or an answer that
// is lost, because of the form of a searcher's whole reply.
func TestWholeReplyNeverCutsCaller(t *testing.T) {
	const head = "Server-Seal: s\r\nRequest-Id: %s\r\n"
	for _, c := range []struct {
		name, method, reply string
		status              int
	}{
		{"HEAD with a length", "HEAD", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 40\r\n\r\n", 200},
		{"HEAD with chunks", "HEAD", "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n", 200},
		{"HEAD with a body", "HEAD", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 4\r\n\r\nbody", 200},
		{"204", "GET", "HTTP/1.1 204 No Content\r\n" + head + "\r\n", 204},
		{"204 with a body", "GET", "HTTP/1.1 204 No Content\r\n" + head + "Content-Length: 4\r\n\r\nbody", 204},
		{"205 with a body", "GET", "HTTP/1.1 205 Reset Content\r\n" + head + "Content-Length: 4\r\n\r\nbody", 205},
		{"304 with a body", "GET", "HTTP/1.1 304 Not Modified\r\n" + head + "Content-Length: 4\r\n\r\nbody", 304},
		{"bytes after the body", "GET", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 4\r\n\r\nbodymore", 200},
		{"close", "POST", "HTTP/1.1 200 OK\r\n" + head + "Connection: close\r\nContent-Length: 4\r\n\r\nbody", 200},
		{"trailers", "GET", "HTTP/1.1 200 OK\r\n" + head + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n", 200},
		{"unknown final status", "GET", "HTTP/1.1 599 Odd\r\n" + head + "Content-Length: 4\r\n\r\nbody", 599},
		{"no final status", "GET", "HTTP/1.1 799 Odd\r\n" + head + "Content-Length: 4\r\n\r\nbody", 502},
		{"failure", "GET", "HTTP/1.1 500 Failed\r\n" + head + "Content-Length: 4\r\n\r\nbody", 500},
		{"headers of the connection", "GET", "HTTP/1.1 200 OK\r\n" + head + "Connection: A, keep-alive\r\nA: b\r\nUpgrade: x\r\nContent-Length: 4\r\n\r\nbody", 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			address := startKeepingReplier(t, c.reply)
			h.dispatcher.PutSearcher(fleet.Searcher{ID: "r", Service: "raw", Address: address, FailureDomain: "a", Slots: 3})
			h.searchers["raw"] = nil
			h.configure(1, routing.Route{Targets: []routing.WeightedService{{Service: "raw", Weight: 1}}})
			// The second request on a connection is answered only if the first answer was whole.
			kept, err := site.Connect(h.server.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer kept.Close()
			for n := range 3 {
				status, usable := kept.Ask(c.method, "/r/x", fmt.Sprint(c.name, n), promptTimeout)
				qt.Assert(t, status, qt.Equals, c.status)
				qt.Assert(t, usable, qt.IsTrue)
			}
		})
	}
}

// TestLargeAnswerIsWhole guards against an answer that ends early because its route and its
// searcher go away while it is written.
func TestLargeAnswerIsWhole(t *testing.T) {
	const size = 4 << 20
	h := newHarness(t)
	searcher := startReplier(t)
	h.dispatcher.PutSearcher(fleet.Searcher{ID: "r", Service: "raw", Address: searcher.listener.Addr().String(), FailureDomain: "a", Slots: 3})
	h.searchers["raw"] = nil
	h.configure(1, routing.Route{Targets: []routing.WeightedService{{Service: "raw", Weight: 1}}})
	reply := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, size, make([]byte, size))
	}
	searcher.reply.Store(&reply)
	request, err := http.NewRequest(http.MethodGet, h.server.URL+"/r/x", nil)
	qt.Assert(t, err, qt.IsNil)
	request.Host = "a.example"
	request.Header.Set("Request-Id", "large")
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	h.configure(2, routing.Route{Targets: []routing.WeightedService{{Service: "gone", Weight: 1}}})
	h.dispatcher.RemoveSearcher("r")
	n, err := io.Copy(io.Discard, response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, int64(size))
}
