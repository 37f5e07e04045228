package searcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"
)

// pair returns a connection, the searcher's end of it, and a channel that is
// closed when the connection is of no more use.
func pair(t *testing.T) (*Conn, net.Conn, chan struct{}) {
	t.Helper()
	near, far := net.Pipe()
	ended := make(chan struct{})
	c := NewConn(near, func(*Conn) { close(ended) })
	t.Cleanup(func() { c.Close(); _ = far.Close() })
	return c, far, ended
}

type outcome struct {
	reply *Reply
	err   error
}

func send(c *Conn, id string) chan outcome {
	done := make(chan outcome, 1)
	go c.Send(&Exchange{
		RequestID: id, Method: http.MethodGet, RawRequest: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
		Done: func(r *Reply, err error) { done <- outcome{r, err} },
	})
	return done
}

func answer(far net.Conn, raw string) {
	if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
		_, _ = io.WriteString(far, raw)
	}
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestReplies guards against bytes that are not the whole reply to the request
// being taken for it.
func TestReplies(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		closes    bool
		body      string // empty for an error
	}{
		{"whole", whole("a", "text"), false, "text"},
		{"chunked", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n", false, "text"},
		{"until the end of the connection", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\ntext", true, "text"},
		{"of another request", whole("b", "text"), true, ""},
		{"of another request first", whole("b", "strange") + whole("a", "text"), false, "text"},
		{"cut off", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\ntext", true, ""},
		{"cut off in a chunk", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ntext", true, ""},
		{"not HTTP", "garbage\r\n\r\n", true, ""},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\n", true, ""},
		{"nothing", "", true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, far, _ := pair(t)
			done := send(conn, "a")
			go func() {
				answer(far, c.raw)
				if c.closes {
					_ = far.Close()
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

// TestReuse guards against a connection being used again after bytes that nobody
// asked for, a reply to another request, or the announcement of its end.
func TestReuse(t *testing.T) {
	for _, c := range []struct {
		name, raw string
		reusable  bool
	}{
		{"whole", whole("a", "text"), true},
		{"more bytes", whole("a", "text") + "x", false},
		{"doubled", whole("a", "text") + whole("a", "text"), false},
		{"a stranger before", whole("b", "x") + whole("a", "text"), false},
		{"close announced", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, far, ended := pair(t)
			done := send(conn, "a")
			go answer(far, c.raw)
			o := <-done
			qt.Assert(t, o.err, qt.IsNil)
			if c.reusable {
				qt.Assert(t, conn.Usable(time.Now()), qt.IsTrue)
				return
			}
			<-ended
			qt.Assert(t, conn.Usable(time.Now()), qt.IsFalse)
		})
	}
}

// TestQuickReply guards against a connection being given up because the reply came
// before the writer of the request went on.
func TestQuickReply(t *testing.T) {
	conn, far, _ := pair(t)
	go func() {
		reader := bufio.NewReader(far)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(far, whole("a", "text"))
		}
	}()
	for range 2000 {
		o := <-send(conn, "a")
		qt.Assert(t, o.err, qt.IsNil)
	}
}

// TestLateStranger guards against a second reply that comes when the connection is
// idle being taken for the next one.
func TestLateStranger(t *testing.T) {
	conn, far, ended := pair(t)
	done := send(conn, "a")
	go answer(far, whole("a", "text"))
	qt.Assert(t, (<-done).err, qt.IsNil)
	go func() { _, _ = io.WriteString(far, whole("a", "text")) }()
	<-ended
	o := <-send(conn, "b")
	qt.Assert(t, errors.Is(o.err, ErrNotWritten), qt.IsTrue)
}

// TestKeepAlive guards against use of a connection that the searcher is about to
// close for being idle.
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

// TestEarlyReply guards against a connection being used again whose searcher
// replied before it had read the whole request.
func TestEarlyReply(t *testing.T) {
	conn, far, ended := pair(t)
	done := make(chan outcome, 1)
	body := strings.Repeat("x", 64<<10)
	conn.Send(&Exchange{
		RequestID: "a", Method: http.MethodPost,
		RawRequest: []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n" + body),
		Done: func(r *Reply, err error) { done <- outcome{r, err} },
	})
	_, err := http.ReadRequest(bufio.NewReaderSize(far, 64))
	qt.Assert(t, err, qt.IsNil)
	_, _ = io.WriteString(far, whole("a", "no"))
	o := <-done
	qt.Assert(t, o.err, qt.IsNil)
	qt.Assert(t, string(o.reply.Body), qt.Equals, "no")
	<-ended
}

// TestAnyBytes guards against a crash, and against a reply that bears another
// request's identifier, whatever a broken searcher sends.
func TestAnyBytes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		conn, far, _ := pair(t)
		defer conn.Close()
		raw := string(rapid.SliceOf(rapid.Byte()).Draw(r, "raw"))
		if rapid.Bool().Draw(r, "framed") {
			raw = whole(rapid.SampledFrom([]string{"a", "b"}).Draw(r, "id"), raw) + raw
		}
		done := send(conn, "a")
		go func() {
			answer(far, raw)
			_ = far.Close()
		}()
		if o := <-done; o.err == nil && o.reply.Metadata.RequestID == "b" {
			r.Fatalf("%q is taken for the reply", raw)
		}
	})
}
