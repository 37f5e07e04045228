package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// putReplier adds a searcher of the service "raw" that answers each request with a status and the further header lines.
func (h *harness) putReplier(t *testing.T, id string, status int, lines string) {
	t.Helper()
	form := fmt.Sprintf("HTTP/1.1 %d Status\r\nRequest-Id: %%s\r\n%sContent-Length: 4\r\n\r\nbody", status, lines)
	h.dispatcher.PutSearcher(fleet.Searcher{ID: id, Service: "raw", Address: startKeepingReplier(t, form), FailureDomain: "a", Slots: 3})
	h.searchers["raw"] = nil
}

// TestFailureOfSearcherIsNoPromise guards against a caller that books twice, because the status with which a searcher
// failed after it had run the request is passed on, and says that the request has not run. Other failures stay as they are.
func TestFailureOfSearcherIsNoPromise(t *testing.T) {
	const signed = "Server-Seal: s\r\n"
	for _, c := range []struct {
		status   int
		lines    string
		want     int
		passedOn bool
	}{
		{503, signed, 502, false}, {429, signed, 502, false}, {408, signed, 502, false},
		{503, signed + "Retry-After: 0.01\r\n", 502, false}, {429, signed + "Content-Encoding: gzip\r\n", 502, false},
		{503, "", 502, false}, {429, "", 502, false}, {408, "", 502, false},
		{500, signed, 500, true}, {504, signed, 504, true}, {502, signed, 502, true},
		{404, signed, 404, true}, {409, signed, 409, true}, {302, signed, 302, true},
	} {
		for _, idempotent := range []bool{false, true} {
			h := newHarness(t)
			h.putReplier(t, "one", c.status, c.lines)
			h.configure(1, routing.Route{Targets: []routing.WeightedService{{Service: "raw", Weight: 1}}, Idempotent: idempotent})
			r := h.do(t, http.MethodPost, "/r/x", "", 0)
			note := qt.Commentf("%d %q, idempotent %v", c.status, c.lines, idempotent)
			qt.Check(t, r.status, qt.Equals, c.want, note)
			qt.Check(t, r.header.Get("Server-Seal") != "", qt.Equals, c.passedOn, note)
			qt.Check(t, r.body == "body", qt.Equals, c.passedOn, note)
		}
	}
}

// TestRefusalOfSearcherIsSentElsewhere guards against a request that may run once and is not served, although the searcher
// that got it first has said that it did not run it.
func TestRefusalOfSearcherIsSentElsewhere(t *testing.T) {
	const notRun = "Not-Executed: 1\r\n"
	for status, lines := range map[int]string{503: notRun, 429: "Server-Seal: s\r\n" + notRun, 400: notRun, 408: notRun, 421: ""} {
		h := newHarness(t)
		h.putReplier(t, "refuses", status, lines)
		h.putReplier(t, "runs", 200, "Server-Seal: s\r\n")
		h.configure(1, routing.Route{Targets: []routing.WeightedService{{Service: "raw", Weight: 1}}})
		for range 10 {
			qt.Check(t, h.do(t, http.MethodPost, "/r/x", "", 0).status, qt.Equals, 200, qt.Commentf("%d %q", status, lines))
		}
	}
}

// TestShardThatMayHaveRunIsNoPromise guards against a query over shards that is answered as not run although a searcher of one
// shard has run its part and failed with 503, and against one that is not answered so although all have refused it.
func TestShardThatMayHaveRunIsNoPromise(t *testing.T) {
	for _, c := range []struct {
		shards []string
		lines  string
		want   int
	}{
		{[]string{"full", "raw"}, "Server-Seal: s\r\n", 502}, {[]string{"full", "raw"}, "", 502},
		{[]string{"raw"}, "Server-Seal: s\r\n", 502}, {[]string{"raw"}, "Not-Executed: 1\r\n", 503},
	} {
		h := newHarness(t, "full")
		h.setFaults("full", site.SearcherFaults{Shed: 1})
		h.putReplier(t, "fails", 503, c.lines)
		h.configure(1, routing.Route{Shards: c.shards, Idempotent: true, MinShardShare: 1, TopK: 1})
		qt.Check(t, h.do(t, http.MethodGet, "/r/x", "", time.Second).status, qt.Equals, c.want, qt.Commentf("%v %q", c.shards, c.lines))
	}
}
