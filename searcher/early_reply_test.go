package searcher

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// earlyConn is a connection whose write fails. Its reply is read when read is closed.
type earlyConn struct {
	net.Conn
	failed chan struct{}
	read   chan struct{}
	text   *strings.Reader
}

// Write implements net.Conn.
func (c *earlyConn) Write([]byte) (int, error) {
	close(c.failed)
	return 10, syscall.EPIPE
}

// Read implements net.Conn.
func (c *earlyConn) Read(b []byte) (int, error) {
	<-c.read
	return c.text.Read(b)
}

// SetWriteDeadline implements net.Conn.
func (c *earlyConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *earlyConn) SetReadDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (c *earlyConn) Close() error { return nil }

// TestReplyAfterFailedWriteReadLate guards against a reply that is dropped because this process was
// slow to read it after the searcher had closed before it read the whole request.
func TestReplyAfterFailedWriteReadLate(t *testing.T) {
	raw := &earlyConn{failed: make(chan struct{}), read: make(chan struct{}), text: strings.NewReader("HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")}
	c := NewConn(raw, Limits{}, func(*Conn) {})
	type end struct {
		reply *Reply
		err   error
	}
	ends := make(chan end, 2)
	c.Send(&Exchange{Method: "POST", Encode: func() []byte { return make([]byte, 8<<10) }, Size: 8 << 10, Done: func(r *Reply, err error) { ends <- end{r, err} }})
	<-raw.failed
	time.AfterFunc(50*time.Millisecond, func() { close(raw.read) })
	e := <-ends
	qt.Assert(t, e.err, qt.IsNil)
	qt.Assert(t, e.reply.Status, qt.Equals, 200)
}
