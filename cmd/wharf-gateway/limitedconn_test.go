package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/memory"
)

// TestHeadWithoutMemoryIsRefused guards against a caller that gets no answer, or whose request is
// run, because there was no memory for its head, and against memory that is not given back.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	budget := memory.NewBudget(64 << 10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	served := make(chan int64, 100)
	server := &http.Server{
		Handler:   http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served <- budget.Used() }),
		ConnState: followLimited(nil),
	}
	go func() {
		_ = server.Serve(&limitingListener{Listener: listener, budget: budget, writeTimeout: answerWriteTimeout})
	}()
	t.Cleanup(func() { _ = server.Close() })
	head := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A:b\r\n", 100) + "\r\n"
	ask := func(c net.Conn) int {
		_, err := io.WriteString(c, head)
		qt.Assert(t, err, qt.IsNil)
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil)
		if answer.StatusCode == http.StatusServiceUnavailable {
			qt.Check(t, answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
		return answer.StatusCode
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	kept := dial()
	for range 20 { // more than the budget has, if an answered request kept its bytes
		qt.Assert(t, ask(kept), qt.Equals, http.StatusOK)
		qt.Assert(t, <-served >= int64(len(head)), qt.IsTrue)
	}
	eventually(t, "bytes of answered requests stay taken", func() bool { return budget.Used() == 0 })
	other := budget.Hold()
	qt.Assert(t, other.Grow(30<<10), qt.IsTrue)
	filled := int64(0)
	for budget.Grow(0, 1<<10) {
		filled++
	}
	refused := dial()
	qt.Assert(t, ask(refused), qt.Equals, http.StatusServiceUnavailable)
	_, err = refused.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF, qt.Commentf("the connection is closed"))
	qt.Assert(t, served, qt.HasLen, 0)
	other.Release()
	budget.Release(filled << 10)
	eventually(t, "bytes stay taken", func() bool { return budget.Used() == 0 })
}

// TestCallerThatDoesNotReadIsCut guards against a caller that doesn't read its answer and for which
// the answer is held for ever, and against one that reads slowly and is cut.
func TestCallerThatDoesNotReadIsCut(t *testing.T) {
	const answerBytes, writeTimeout, pause = 16 << 20, time.Second, time.Millisecond
	for _, reads := range []bool{false, true} {
		t.Run(fmt.Sprint("reads ", reads), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			written := make(chan error, 1)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
				_, err := w.Write(make([]byte, answerBytes))
				written <- err
			})}
			go func() { _ = server.Serve(&limitingListener{Listener: listener, writeTimeout: writeTimeout}) }()
			t.Cleanup(func() { _ = server.Close() })
			c, err := net.Dial("tcp", listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() { _ = c.Close() })
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			qt.Assert(t, err, qt.IsNil)
			if reads {
				answer, err := http.ReadResponse(bufio.NewReader(&slowReader{c, pause}), nil)
				qt.Assert(t, err, qt.IsNil)
				n, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{answer.Body}, make([]byte, 4<<10))
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, n, qt.Equals, int64(answerBytes))
			}
			select {
			case err := <-written:
				qt.Assert(t, err == nil, qt.Equals, reads, qt.Commentf("%v", err))
			case <-time.After(10 * time.Second):
				t.Fatal("the answer is held for a caller that does not read")
			}
		})
	}
}

// slowReader pauses before each read.
type slowReader struct {
	net.Conn
	pause time.Duration
}

// Read implements net.Conn.
func (r *slowReader) Read(b []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Conn.Read(b)
}
