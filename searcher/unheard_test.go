package searcher

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// setCut makes the kernel drop all that arrives at a connection, or ends that.
func setCut(t *testing.T, c *net.TCPConn, cut bool) {
	t.Helper()
	raw, err := c.SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	var setErr error
	qt.Assert(t, raw.Control(func(fd uintptr) {
		if !cut {
			setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		setErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	}), qt.IsNil)
	qt.Assert(t, setErr, qt.IsNil)
}

// TestCloseThatSearcherDoesNotLearnOf guards against a connection that counts as closed while the searcher, which
// can't be reached, still holds it, and against one that counts for longer than that.
func TestCloseThatSearcherDoesNotLearnOf(t *testing.T) {
	for name, cut := range map[string]bool{"reached": false, "cut off": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caller, searcher := tcpPair(t)
			if cut {
				setCut(t, searcher, true)
			}
			closed := make(chan struct{})
			conn := NewConn(caller, Limits{}, func(*Conn) { close(closed) })
			done := send(conn, "a")
			time.Sleep(unacknowledgedFor + 50*time.Millisecond)
			conn.Close()
			qt.Assert(t, (<-done).err, qt.IsNotNil)
			if cut {
				select {
				case <-closed:
					t.Fatal("the connection counts as closed")
				case <-time.After(2 * closePollInterval):
				}
				setCut(t, searcher, false)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second): // the next repeat of the kernel
				t.Fatal("the connection still counts")
			}
		})
	}
}
