package searcher

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

// lateReader is a connection whose reads wait until the channel is closed.
type lateReader struct {
	*net.TCPConn
	release chan struct{}
}

// Read implements net.Conn.
func (c lateReader) Read(b []byte) (int, error) {
	<-c.release
	return c.TCPConn.Read(b)
}

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (caller, searcher *net.TCPConn) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	caller, err = net.DialTCP("tcp", nil, l.Addr().(*net.TCPAddr))
	qt.Assert(t, err, qt.IsNil)
	searcher, err = l.AcceptTCP()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _, _ = caller.Close(), searcher.Close() })
	return caller, searcher
}

// TestClosedBeforeWriteIsNotWritten guards against a request that counts as possibly run although the
// searcher, or this process, had closed the connection before its first byte was written.
func TestClosedBeforeWriteIsNotWritten(t *testing.T) {
	for name, c := range map[string]struct {
		before   func(*net.TCPConn)
		encoding func(*Conn)
		rejected bool
	}{
		"closed by the searcher, not read yet": {before: func(s *net.TCPConn) { _ = s.Close() }, rejected: true},
		"reset by the searcher, not read yet":  {before: func(s *net.TCPConn) { _, _ = s.SetLinger(0), s.Close() }, rejected: true},
		"bytes that nothing asked for":         {before: func(s *net.TCPConn) { _, _ = s.Write([]byte(okReply("a", "old"))) }},
		"closed here while it is encoded":      {encoding: (*Conn).Close},
	} {
		t.Run(name, func(t *testing.T) {
			caller, searcher := tcpPair(t)
			raw := lateReader{caller, make(chan struct{})}
			conn := NewConn(raw, Limits{}, func(*Conn) {})
			if c.before != nil {
				c.before(searcher)
				time.Sleep(20 * time.Millisecond) // the kernel delivers it at once on the loopback interface
			}
			ends := make(chan error, 2)
			conn.Send(&Exchange{RequestID: "a", Method: http.MethodGet, Done: func(_ *Reply, err error) { ends <- err }, Encode: func() []byte {
				if c.encoding != nil {
					c.encoding(conn)
				}
				return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			}})
			close(raw.release)
			err := <-ends
			qt.Assert(t, errors.Is(err, ErrNotWritten), qt.IsTrue, qt.Commentf("%v", err))
			qt.Assert(t, conn.Rejected(), qt.Equals, c.rejected)
		})
	}
}

// stuckWriter is a connection that takes no byte until it is closed, and whose reads end at once.
type stuckWriter struct {
	net.Conn
	writing, closed chan struct{}
}

// Read implements net.Conn.
func (c *stuckWriter) Read([]byte) (int, error) {
	<-c.writing
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *stuckWriter) Write([]byte) (int, error) {
	close(c.writing)
	<-c.closed
	return 0, net.ErrClosed
}

// Close implements net.Conn.
func (c *stuckWriter) Close() error {
	close(c.closed)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *stuckWriter) SetWriteDeadline(time.Time) error { return nil }

// TestReaderEndsBeforeWrite guards against a request that counts as possibly run because the reader
// notices the end of the connection before the write that takes no byte has failed.
func TestReaderEndsBeforeWrite(t *testing.T) {
	conn := NewConn(&stuckWriter{writing: make(chan struct{}), closed: make(chan struct{})}, Limits{}, func(*Conn) {})
	err := (<-send(conn, "a")).err
	qt.Assert(t, errors.Is(err, ErrNotWritten), qt.IsTrue, qt.Commentf("%v", err))
}
