package main

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestPausedProcessKeepsSearchers guards against searchers that count as unreachable because the
// process stood still while it waited for their replies.
func TestPausedProcessKeepsSearchers(t *testing.T) {
	const limit, openRequests, nextRequests = 800 * time.Millisecond, 20, 10
	for round := range 3 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			ledger := &site.Ledger{}
			p := processSite(t, ledger, 20*time.Millisecond)
			conns := connectAll(t, p, openRequests+nextRequests)
			before := ledger.Arrivals()
			for i, conn := range conns[:openRequests] {
				path := fmt.Sprintf("/safe/x?%s=%d", site.WorkQuery, (limit / 4).Milliseconds())
				sendTimed(t, conn, http.MethodGet, path, fmt.Sprint("open", i), limit)
			}
			eventually(t, "the requests do not run", func() bool { return ledger.Arrivals() >= before+openRequests/2 })
			p.pause(func() {})
			for i, conn := range conns[openRequests:] {
				sendTimed(t, conn, http.MethodGet, "/search/x", fmt.Sprint("next", i), requestDeadline)
			}
			refused := 0
			for _, conn := range conns[openRequests:] {
				if nextStatus(conn, bufio.NewReader(conn)) != http.StatusOK {
					refused++
				}
			}
			qt.Check(t, refused, qt.Equals, 0)
		})
	}
}
