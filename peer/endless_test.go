package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"

	"github.com/wisteriawharf/wisteriawharf/identity"
)

// TestPongWithoutEndIsNoPong guards against a peer that answers a ping without end, all of which is
// kept until the ping times out.
func TestPongWithoutEndIsNoPong(t *testing.T) {
	// window is how many bytes a peer may send before the first is read.
	const window = 512 << 10
	ca := newCA(t)
	id, err := identity.Load(issue(t, ca, "a", identity.RoleInstance))
	qt.Assert(t, err, qt.IsNil)
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = socket.Close() })
	listener, err := (&quic.Transport{Conn: socket}).Listen(id.Server([]string{protocol}, identity.RoleInstance), nil)
	qt.Assert(t, err, qt.IsNil)
	var sent atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept(context.Background())
		if err != nil {
			return
		}
		stream, err := conn.AcceptStream(context.Background())
		for piece := make([]byte, 4096); err == nil; {
			var n int
			n, err = stream.Write(piece)
			sent.Add(int64(n))
		}
	}()
	client := listen(t, issue(t, ca, "b", identity.RoleInstance), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	qt.Assert(t, client.Reachable(ctx, socket.LocalAddr().String()), qt.IsFalse)
	<-ended
	qt.Assert(t, sent.Load() < 2*window, qt.IsTrue, qt.Commentf("%d bytes were sent", sent.Load()))
}
