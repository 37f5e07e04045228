package main

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// connectedPair returns both ends of a TCP connection. The first is the accepted one.
func connectedPair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	accepted, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return accepted, dialed
}

// TestUnreadBytesAreSeenAndKept guards against a look at a connection that misses a request, takes bytes of it, or sees one where the caller has closed.
func TestUnreadBytesAreSeenAndKept(t *testing.T) {
	accepted, dialed := connectedPair(t)
	qt.Assert(t, hasUnread(accepted), qt.IsFalse)
	_, err := dialed.Write([]byte("ab"))
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "the bytes are not seen", func() bool { return hasUnread(accepted) })
	qt.Assert(t, hasUnread(accepted), qt.IsTrue)
	b := make([]byte, 4)
	n, err := accepted.Read(b)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(b[:n]), qt.Equals, "ab")
	qt.Assert(t, dialed.Close(), qt.IsNil)
	_, err = accepted.Read(b)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, hasUnread(accepted), qt.IsFalse)
	qt.Assert(t, accepted.Close(), qt.IsNil)
	qt.Assert(t, hasUnread(accepted), qt.IsFalse)
}
