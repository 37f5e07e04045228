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

// logBuffer holds a log that is written while it is read.
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

// explain returns what the log tells of a request, once it tells anything: the line
// about an answer may be written after the caller has it.
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

// TestExplainRefused guards against a refusal whose cause the log does not tell. It
// follows the first of the three ways that docs/OPERATIONS.md shows.
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

// TestExplainPartial guards against an answer that lacks a shard without a word of what
// was tried there. It follows the second way.
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

// TestExplainTimedOut guards against a request that a silent searcher had, without a
// word of which one. It follows the third way.
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
