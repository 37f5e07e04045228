package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// replier is a searcher that answers each connection's first request with bytes, and closes it.
type replier struct {
	listener net.Listener
	// reply returns the bytes for a request ID.
	reply atomic.Pointer[func(id string) string]
}

func startReplier(t *testing.T) *replier {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	r := &replier{listener: listener}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *replier) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = c.Write([]byte((*r.reply.Load())(request.Header.Get("Request-Id")))) // the caller may have gone
}

// TestBrokenOffReplyIsNoSuccess guards against a searcher that closes within the head or the body
// of its reply, and whose callers get a success with an empty or short body. Each place is tried.
func TestBrokenOffReplyIsNoSuccess(t *testing.T) {
	const body = "0123456789abcdef"
	for name, form := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: %s\r\nContent-Length: 16\r\n\r\n" + body,
		"length last": "HTTP/1.1 200 OK\r\nContent-Length: 16\r\nRequest-Id: %s\r\nServer-Seal: s\r\n\r\n" + body,
		"chunks":      "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + body + "\r\n0\r\n\r\n",
		"no length":   "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: %s\r\n\r\n",
	} {
		for _, shards := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " shards ", shards), func(t *testing.T) {
				h := newHarness(t, "one") // its searchers are not used
				searcher := startReplier(t)
				h.dispatcher.PutSearcher(fleet.Searcher{ID: "r", Service: "raw", Address: searcher.listener.Addr().String(), FailureDomain: "a", Slots: 3})
				h.searchers["raw"] = nil
				route := routing.Route{Targets: []routing.WeightedService{{Service: "raw", Weight: 1}}}
				if shards {
					route = routing.Route{Shards: []string{"raw"}, Idempotent: true, MinShardShare: 1, TopK: 4}
				}
				h.configure(1, route)
				whole := func(id string) string { return fmt.Sprintf(form, id) }
				for cut := range len(whole("0123456789abcdef")) {
					reply := func(id string) string { return whole(id)[:cut] }
					searcher.reply.Store(&reply)
					r := h.do(t, "GET", "/r/x", "", 0)
					qt.Check(t, r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("cut at %d: body %q", cut, r.body))
				}
				searcher.reply.Store(&whole)
				if name != "no length" {
					r := h.do(t, "GET", "/r/x", "", 0)
					qt.Check(t, r.body, qt.Equals, body, qt.Commentf("status %d", r.status))
				}
			})
		}
	}
}
