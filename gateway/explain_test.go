package gateway

import (
	"bytes"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/requestlog"
	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// logBuffer is a log in memory that can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// explain waits until the log has a line about the request and returns the explanation of
// the request. The wait is needed because the line may be written after the caller has the
// answer.
func (l *logBuffer) explain(t *testing.T, request string) string {
	t.Helper()
	var out bytes.Buffer
	eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		out.Reset()
		return requestlog.Explain(&out, request, bytes.NewReader(l.text.Bytes())) == nil
	})
	return out.String()
}

// TestExplainRefused guards against a refusal whose reason is not in the log. It follows the
// first of the three ways that docs/OPERATIONS.md shows.
func TestExplainRefused(t *testing.T) {
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget, Idempotent: true})
	for _, s := range h.searchers["one"] {
		h.putSearcher(s, true)
	}
	r := h.do(t, "GET", "/r/x", "", 0)
	qt.Assert(t, r.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, h.log.explain(t, r.id), qt.Contains, "not answered with status 503: not run: no usable searcher")
}

// TestExplainPartial guards against a partial answer for which the log doesn't list the
// attempts at the missing shard. It follows the second of the ways in docs/OPERATIONS.md.
func TestExplainPartial(t *testing.T) {
	route, shards := shardRoute()
	h := newHarness(t, shards...)
	h.configure(1, route)
	h.setFaults("s2", site.SearcherFaults{Shed: 1})
	r := h.do(t, "GET", "/r/x", "", 0)
	qt.Assert(t, r.status, qt.Equals, http.StatusOK)
	qt.Assert(t, r.header.Get("Missing-Parts"), qt.Equals, "1")
	text := h.log.explain(t, r.id)
	qt.Assert(t, text, qt.Contains, "3 of 4 shards")
	qt.Assert(t, text, qt.Matches, `(?s).*\n  s2: .* at s2-[abc]: refused\n.*`)
}

// TestExplainTimedOut guards against a timeout for which the log doesn't name the searcher
// that did not reply. It follows the third of the ways in docs/OPERATIONS.md.
func TestExplainTimedOut(t *testing.T) {
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget, Timeout: 200 * time.Millisecond})
	h.setFaults("one", site.SearcherFaults{Silent: true})
	r := h.do(t, "POST", "/r/x", "booking", 0)
	qt.Assert(t, r.status, qt.Equals, http.StatusGatewayTimeout)
	text := h.log.explain(t, r.id)
	qt.Assert(t, text, qt.Contains, "not answered with status 504: no answer in time")
	qt.Assert(t, text, qt.Matches, `(?s).*\n  one: from \d+ ms on at one-[abc]: let go\n.*`)
}

// TestExplainOpenAtEnd guards against a request that a stop cuts and about which the log says
// neither how far it came nor which searcher has it.
func TestExplainOpenAtEnd(t *testing.T) {
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget, TargetLatency: time.Minute, Timeout: time.Minute})
	h.setFaults("one", site.SearcherFaults{Work: time.Minute})
	done := make(chan result, 1)
	go func() { done <- h.do(t, "POST", "/r/x", "book", 0) }()
	eventually(t, func() bool { return h.ledger.Arrivals() == 1 })
	qt.Assert(t, h.gateway.LogOpen(), qt.Equals, 1)
	h.beginStop(0)
	r := <-done
	qt.Assert(t, h.log.explain(t, r.id), qt.Matches, `(?s).*request is still open at the end: at a searcher after \d+ ms \(route .*\), with one-.*`)
	eventually(t, func() bool { return h.gateway.LogOpen() == 0 })
}
