package main

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestHeadsWithoutEndTogether guards against callers, or other instances, whose heads have no end,
// and that together exceed the memory of a process although each head is bounded.
func TestHeadsWithoutEndTogether(t *testing.T) {
	t.Run("callers", func(t *testing.T) { sendHeads(t, func(p *limitedProcess) string { return p.caller }) })
	t.Run("instances", func(t *testing.T) { sendHeads(t, func(p *limitedProcess) string { return p.exchange }) })
}

// sendHeads starts a process and sends long heads to one of its addresses at once.
func sendHeads(t *testing.T, address func(*limitedProcess) string) {
	t.Helper()
	const heads, smallRequests = 2000, 20
	d := newDeployment(t)
	store := httptest.NewServer(d.store)
	t.Cleanup(func() { store.CloseClientConnections(); store.Close() })
	p := startLimitedProcess(t, strings.TrimPrefix(store.URL, "http://"))
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/r/")
	eventually(t, "the gateway does not serve", func() bool { return p.serve() == http.StatusOK })

	// All heads but the last bytes of each, so that none is refused for its size alone.
	head := "POST /r/x HTTP/1.1\r\nHost: " + host + "\r\n" + strings.Repeat("A: "+strings.Repeat("x", 100)+"\r\n", 200<<10/105)
	var sent sync.WaitGroup
	for range heads {
		c, err := net.Dial("tcp", address(p))
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = c.Close() })
		sent.Go(func() {
			qt.Check(t, c.SetWriteDeadline(time.Now().Add(time.Minute)), qt.IsNil)
			_, _ = io.WriteString(c, head) // a head that is refused is not read to its end
		})
	}
	sent.Wait()
	p.checkMemory(t)
	for range smallRequests {
		qt.Assert(t, p.serve(), qt.Equals, http.StatusOK)
	}
	p.checkMemory(t)
	t.Logf("peak of %d MB", p.peakMB)
}
