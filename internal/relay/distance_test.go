package relay

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUDPDistance guards against datagrams that are not delayed by the distance
// of their client in both directions.
func TestUDPDistance(t *testing.T) {
	r := relayUDP(t)
	const distance = 20 * time.Millisecond
	asked := make(chan string, 2)
	r.SetDistance(func(client netip.Addr) time.Duration {
		asked <- client.String()
		return distance
	})
	conn := dial(t, "udp", r.Address())
	began := time.Now()
	qt.Assert(t, answers(conn, "a", limit), qt.IsNil)
	qt.Assert(t, time.Since(began) >= 2*distance, qt.IsTrue)
	qt.Assert(t, answers(conn, "b", limit), qt.IsNil)
	qt.Assert(t, <-asked, qt.Equals, "127.0.0.1")
	qt.Assert(t, asked, qt.HasLen, 0)
}
