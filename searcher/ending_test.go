package searcher

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReplyWithoutLengthEndsInOrder guards against the first half of a reply that reaches the caller as the whole, because
// the connection was reset, and the write of the long request got the error that the reader needs. A reply whose end came in
// order is whole, whatever happens to the request afterwards.
func TestReplyWithoutLengthEndsInOrder(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: a\r\n"
	reset := func(s *net.TCPConn) { _, _ = s.SetLinger(0), s.Close() }
	end := func(s *net.TCPConn) { _ = s.CloseWrite() }
	for _, c := range []struct {
		name, reply string
		request     int
		end         func(s *net.TCPConn)
		whole       bool
	}{
		{"reset, long request", head + "\r\nhalf", 8 << 20, reset, false},
		{"reset, short request", head + "\r\nhalf", 100, reset, false},
		{"reset before the body", head + "\r\n", 8 << 20, reset, false},
		{"closed with unread bytes", head + "\r\nhalf", 8 << 20, func(s *net.TCPConn) { _ = s.Close() }, false},
		{"ended, long request", head + "\r\nbody", 8 << 20, end, true},
		{"ended, short request", head + "\r\nbody", 100, end, true},
		{"ended, then reset, long request", head + "\r\nbody", 8 << 20, func(s *net.TCPConn) { end(s); time.Sleep(20 * time.Millisecond); reset(s) }, true},
		{"ended, then reset, short request", head + "\r\nbody", 100, func(s *net.TCPConn) { end(s); time.Sleep(20 * time.Millisecond); reset(s) }, true},
		{"reset after a length", head + "Content-Length: 4\r\n\r\nbody", 8 << 20, reset, true},
		{"reset within a length", head + "Content-Length: 8\r\n\r\nhalf", 8 << 20, reset, false},
		{"reset after chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 8 << 20, reset, true},
		{"reset within chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", 8 << 20, reset, false},
	} {
		for _, readLate := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, read late %v", c.name, readLate), func(t *testing.T) {
				caller, searcher := tcpPair(t)
				raw := lateReader{caller, make(chan struct{})}
				if !readLate {
					close(raw.release)
				}
				conn := NewConn(raw, Limits{}, func(*Conn) {})
				done := make(chan outcome, 2)
				conn.Send(&Exchange{RequestID: "a", Method: http.MethodPost, Size: c.request, Encode: func() []byte { return make([]byte, c.request) },
					Done: func(r *Reply, err error) { done <- outcome{r, err} }})
				_, err := io.ReadFull(searcher, make([]byte, 100))
				qt.Assert(t, err, qt.IsNil)
				_, err = io.WriteString(searcher, c.reply)
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(20 * time.Millisecond) // so that it is delivered before the end
				c.end(searcher)
				time.Sleep(20 * time.Millisecond) // so that the write of a long request fails first
				if readLate {
					close(raw.release)
				}
				ended := <-done
				qt.Assert(t, ended.err == nil, qt.Equals, c.whole, qt.Commentf("%v", ended.err))
			})
		}
	}
}
