package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestHalfClosedCallerGetsNoFalseSuccess guards against an empty 200 for a caller that closed its
// sending side, whose request is cancelled because the close can't be told from a full one.
func TestHalfClosedCallerGetsNoFalseSuccess(t *testing.T) {
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget, Timeout: time.Minute})
	h.setFaults("one", site.SearcherFaults{Silent: true})
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "GET /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: half\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	eventually(t, func() bool { return h.ledger.Count("half") == 1 })
	qt.Assert(t, conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusBadGateway)
}
