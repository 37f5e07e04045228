package searcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"
)

// newTestConn returns a connection, the searcher's end of it, and a channel that is closed
// when the connection is closed.
func newTestConn(t *testing.T) (*Conn, net.Conn, chan struct{}) {
	t.Helper()
	callerEnd, searcherEnd := net.Pipe()
	closed := make(chan struct{})
	c := NewConn(callerEnd, Limits{}, func(*Conn) { close(closed) })
	t.Cleanup(func() { c.Close(); _ = searcherEnd.Close() })
	return c, searcherEnd, closed
}

// outcome holds the arguments of a call of Done.
type outcome struct {
	reply *Reply
	err   error
}

// send sends a GET request with the given ID and returns a channel for its outcome.
func send(c *Conn, id string) chan outcome {
	done := make(chan outcome, 1)
	go c.Send(&Exchange{
		RequestID: id, Method: http.MethodGet, Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n") },
		Done: func(r *Reply, err error) { done <- outcome{r, err} },
	})
	return done
}

// replyOnce reads one request at the searcher's end and writes raw as the reply.
func replyOnce(searcherEnd net.Conn, raw string) {
	if _, err := http.ReadRequest(bufio.NewReader(searcherEnd)); err == nil {
		_, _ = io.WriteString(searcherEnd, raw)
	}
}

// okReply returns the bytes of a complete reply with status 200 to the request id.
func okReply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestReplyParsing guards against accepting a reply that is incomplete, malformed, or belongs
// to another request, and against reporting such an exchange as not written.
func TestReplyParsing(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		closes    bool
		body      string // empty for an error
	}{
		{"whole", okReply("a", "text"), false, "text"},
		{"chunked", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n", false, "text"},
		{"until the end of the connection", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Seal: s\r\n\r\ntext", true, "text"},
		{"of another request", okReply("b", "text"), true, ""},
		{"of another request first", okReply("b", "strange") + okReply("a", "text"), false, "text"},
		{"cut off", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Seal: s\r\nContent-Length: 9\r\n\r\ntext", true, ""},
		{"cut off in a chunk", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ntext", true, ""},
		{"not HTTP", "garbage\r\n\r\n", true, ""},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\n", true, ""},
		{"nothing", "", true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, searcherEnd, _ := newTestConn(t)
			done := send(conn, "a")
			go func() {
				replyOnce(searcherEnd, c.raw)
				if c.closes {
					_ = searcherEnd.Close()
				}
			}()
			o := <-done
			if c.body == "" {
				qt.Assert(t, o.err, qt.IsNotNil)
				qt.Assert(t, errors.Is(o.err, ErrNotWritten), qt.IsFalse)
				return
			}
			qt.Assert(t, o.err, qt.IsNil)
			qt.Assert(t, string(o.reply.Body), qt.Equals, c.body)
		})
	}
}

// TestStatusThatIsNoFinalStatus guards against a reply of a searcher in trouble that is taken for an
// answer although its status line states no final status of HTTP, from 200 to 599.
func TestStatusThatIsNoFinalStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-12", "+99", "20", "2000", "199", "600", "777", "999", "101", "+200", "0200", "20x"} {
		for _, more := range []string{"", "Not-Executed: 1\r\n"} {
			t.Run(status, func(t *testing.T) {
				conn, searcherEnd, closed := newTestConn(t)
				done := send(conn, "a")
				go replyOnce(searcherEnd, "HTTP/1.1 "+status+" Odd\r\nRequest-Id: a\r\nServer-Seal: s\r\n"+more+"Content-Length: 4\r\n\r\ntext")
				o := <-done
				qt.Assert(t, o.err, qt.IsNotNil)
				qt.Assert(t, errors.Is(o.err, ErrNotWritten), qt.IsFalse, qt.Commentf("the request may have run"))
				<-closed
			})
		}
	}
}

// TestReuse guards against reusing a connection after unsolicited bytes, a reply to another
// request, or a reply with "Connection: close".
func TestReuse(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		reusable  bool
	}{
		{"whole", okReply("a", "text"), true},
		{"more bytes", okReply("a", "text") + "x", false},
		{"doubled", okReply("a", "text") + okReply("a", "text"), false},
		{"reply to another request first", okReply("b", "x") + okReply("a", "text"), false},
		{"without the request's ID", "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n", false},
		{"refusal without the request's ID", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", false},
		{"close announced", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, searcherEnd, closed := newTestConn(t)
			done := send(conn, "a")
			go replyOnce(searcherEnd, c.raw)
			o := <-done
			qt.Assert(t, o.err, qt.IsNil)
			if c.reusable {
				qt.Assert(t, conn.Usable(time.Now()), qt.IsTrue)
				return
			}
			<-closed
			qt.Assert(t, conn.Usable(time.Now()), qt.IsFalse)
		})
	}
}

// TestReplyBeforeSendReturns guards against closing a connection because the reply is read
// before the goroutine that wrote the request has returned from the write.
func TestReplyBeforeSendReturns(t *testing.T) {
	conn, searcherEnd, _ := newTestConn(t)
	go func() {
		reader := bufio.NewReader(searcherEnd)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(searcherEnd, okReply("a", "text"))
		}
	}()
	for range 2000 {
		o := <-send(conn, "a")
		qt.Assert(t, o.err, qt.IsNil)
	}
}

// TestReplyOnIdleConnection guards against a second reply to a request, which arrives while
// the connection is idle, being taken for the reply to the next request.
func TestReplyOnIdleConnection(t *testing.T) {
	conn, searcherEnd, closed := newTestConn(t)
	done := send(conn, "a")
	go replyOnce(searcherEnd, okReply("a", "text"))
	qt.Assert(t, (<-done).err, qt.IsNil)
	go func() { _, _ = io.WriteString(searcherEnd, okReply("a", "text")) }()
	<-closed
	o := <-send(conn, "b")
	qt.Assert(t, errors.Is(o.err, ErrNotWritten), qt.IsTrue)
}

// TestReplyToIdentifiedRequest guards against a late repeat of a reply that is taken for the
// reply to a request without an ID.
func TestReplyToIdentifiedRequest(t *testing.T) {
	conn, searcherEnd, _ := newTestConn(t)
	done := send(conn, "")
	go func() {
		replyOnce(searcherEnd, okReply("b", "strange"))
		_ = searcherEnd.Close()
	}()
	qt.Assert(t, (<-done).err, qt.IsNotNil)
}

// TestKeepAlive guards against reusing an idle connection that the searcher is about to
// close because of its idle timeout.
func TestKeepAlive(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                  maxIdle,
		"timeout=5":         5*time.Second - idleMargin,
		"max=9, timeout=30": 30*time.Second - idleMargin,
		"timeout=0":         maxIdle,
		"timeout=1":         time.Second - idleMargin,
		"timeout=x":         maxIdle,
		"timeout=9000":      maxIdle,
	} {
		qt.Check(t, keepAliveTimeout(header), qt.Equals, want, qt.Commentf("%q", header))
	}
}

// TestReplyBeforeRequestRead guards against reusing a connection after the searcher replied
// before it had read the whole request, and against losing that reply.
func TestReplyBeforeRequestRead(t *testing.T) {
	conn, searcherEnd, closed := newTestConn(t)
	done := make(chan outcome, 1)
	request := []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 64<<10))
	conn.Send(&Exchange{
		RequestID: "a", Method: http.MethodPost,
		Encode: func() []byte { return request }, Size: len(request),
		Done: func(r *Reply, err error) { done <- outcome{r, err} },
	})
	_, err := http.ReadRequest(bufio.NewReaderSize(searcherEnd, 64))
	qt.Assert(t, err, qt.IsNil)
	_, _ = io.WriteString(searcherEnd, okReply("a", "no"))
	o := <-done
	qt.Assert(t, o.err, qt.IsNil)
	qt.Assert(t, string(o.reply.Body), qt.Equals, "no")
	<-closed
}

// TestArbitraryReplies guards against a panic, and against accepting a reply with the ID of
// another request, whatever bytes a faulty searcher sends.
func TestArbitraryReplies(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		conn, searcherEnd, _ := newTestConn(t)
		defer conn.Close()
		raw := string(rapid.SliceOf(rapid.Byte()).Draw(r, "raw"))
		if rapid.Bool().Draw(r, "framed") {
			raw = okReply(rapid.SampledFrom([]string{"a", "b"}).Draw(r, "id"), raw) + raw
		}
		done := send(conn, "a")
		go func() {
			replyOnce(searcherEnd, raw)
			_ = searcherEnd.Close()
		}()
		if o := <-done; o.err == nil && o.reply.Metadata.RequestID == "b" {
			r.Fatalf("reply to another request is accepted: %q", raw)
		}
	})
}

// slowConn is a connection whose write deadline takes long to set, as if the process stood still.
type slowConn struct {
	net.Conn
	began chan struct{}
	goOn  chan struct{}
}

// SetWriteDeadline implements net.Conn.
func (c *slowConn) SetWriteDeadline(t time.Time) error {
	close(c.began)
	<-c.goOn
	return c.Conn.SetWriteDeadline(t)
}

// TestTimeLeftIsThatOfWrite guards against a request that states more time than is left, because it
// was encoded long before it is written.
func TestTimeLeftIsThatOfWrite(t *testing.T) {
	for name, size := range map[string]int{"small": 100, "large": 2 * maxInlineWrite} {
		for _, expired := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " expired ", expired), func(t *testing.T) {
				near, far := net.Pipe()
				defer func() { _ = far.Close() }()
				slow := &slowConn{Conn: near, began: make(chan struct{}), goOn: make(chan struct{})}
				conn := NewConn(slow, Limits{}, func(*Conn) {})
				defer conn.Close()
				var left atomic.Int64
				left.Store(300)
				done := make(chan outcome, 1)
				go conn.Send(&Exchange{
					RequestID: "a", Method: http.MethodGet, Size: size,
					Encode: func() []byte {
						if left.Load() <= 0 {
							return nil
						}
						return fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: a\r\nLeft: %d\r\n\r\n", left.Load())
					},
					Done: func(r *Reply, err error) { done <- outcome{r, err} },
				})
				<-slow.began
				if expired {
					left.Store(0)
					close(slow.goOn)
					qt.Assert(t, errors.Is((<-done).err, ErrNotWritten), qt.IsTrue)
					return
				}
				left.Store(10)
				close(slow.goOn)
				request, err := http.ReadRequest(bufio.NewReader(far))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, request.Header.Get("Left"), qt.Equals, "10")
			})
		}
	}
}
