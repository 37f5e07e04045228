package datagram_test

import (
	"log/slog"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/datagram"
)

// TestHandler guards against a message that reaches the handler of another kind, and a message
// without a handler that ends the loop.
func TestHandler(t *testing.T) {
	s, err := datagram.Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	qt.Assert(t, err, qt.IsNil)
	go s.Run(t.Context())
	got := make(chan string, 1)
	s.Handle(datagram.Quota, func(_ netip.Addr, content []byte) { got <- string(content) })
	self := netip.MustParseAddr("127.0.0.1")
	s.Send(self, datagram.Rollout, "dropped")
	s.Send(self, datagram.Quota, "delivered")
	qt.Assert(t, <-got, qt.Equals, `"delivered"`)
}
