package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/routing"
)

// TestStopAnswersPipelinedRequests guards against requests that were read together with the one
// before them, and end without an answer because a planned stop closes the connection after that.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	const requests = 10
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget, Idempotent: true, TargetLatency: 200 * time.Millisecond})
	h.beginStop(time.Minute)
	c, err := net.Dial("tcp", h.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	var text strings.Builder
	for i := range requests {
		fmt.Fprintf(&text, "GET /r/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: p%d\r\n\r\n", i)
	}
	_, err = io.WriteString(c, text.String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.SetReadDeadline(time.Now().Add(promptTimeout)), qt.IsNil)
	all, _ := io.ReadAll(c) // the connection may be reset
	qt.Assert(t, strings.Count(string(all), "HTTP/1.1 200"), qt.Equals, requests)
}
