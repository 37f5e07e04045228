package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// TestBadRepliesToOneQueryLeaveOthersServed guards against searchers that are all left out because
// one query gets replies that are no answers, or are too large, from each of them.
func TestBadRepliesToOneQueryLeaveOthersServed(t *testing.T) {
	for name, bad := range map[string]string{
		"unsigned":  "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"malformed": "no reply\r\n\r\n",
		"too large": "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 1000000000\r\n\r\n" + strings.Repeat("x", 4096),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.searchers["raw"] = nil
			for n := range 3 {
				r := startReplier(t)
				reply := func(id string) string {
					if strings.HasSuffix(id, "1") || strings.HasSuffix(id, "3") || strings.HasSuffix(id, "5") {
						return bad
					}
					return fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
				}
				r.reply.Store(&reply)
				h.dispatcher.PutSearcher(fleet.Searcher{ID: fmt.Sprint("r", n), Service: "raw", Address: r.listener.Addr().String(), FailureDomain: "a", Slots: 3})
			}
			h.configure(1, routing.Route{Targets: []routing.WeightedService{{Service: "raw", Weight: 1}}, Idempotent: true, MaxAttempts: 2})
			for range 160 {
				r := h.do(t, http.MethodGet, "/r/x", "", 0)
				if !strings.ContainsAny(r.id[len(r.id)-1:], "135") {
					qt.Check(t, r.status, qt.Equals, http.StatusOK, qt.Commentf("request %s: %s", r.id, r.body))
				}
			}
		})
	}
}
