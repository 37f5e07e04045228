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

// TestRefusedHeadGetsOneAnswer guards against a second answer, or a connection that stays open, after
// a head was refused of which a part had been read.
func TestRefusedHeadGetsOneAnswer(t *testing.T) {
	for _, lines := range []int{100, 900} {
		b := memory.NewBudget(64 << 10)
		c := dialServer(t, b, 0, nil)
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n")
		qt.Assert(t, err, qt.IsNil)
		eventually(t, "the part is not read", func() bool { return b.Used() > 0 })
		for n := int64(1 << 10); n > 0; n /= 2 {
			for b.Grow(0, n) {
			}
		}
		_, err = io.WriteString(c, strings.Repeat("A: b\r\n", lines)+"\r\n")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.SetReadDeadline(time.Now().Add(headerTimeout/2)), qt.IsNil)
		all, err := io.ReadAll(c)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(all), qt.Matches, `(?s)HTTP/1.1 503 .*`)
		qt.Assert(t, strings.Count(string(all), "HTTP/1.1 "), qt.Equals, 1)
	}
}

// dialServer starts a server for callers and returns a connection to it. set may change the
// tracker of its connections.
func dialServer(t *testing.T, b *memory.Budget, idleTimeout time.Duration, set func(*connTracker)) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	v := &servers{failed: make(chan error, 1), memory: b, connections: newConnTracker(func() time.Duration { return idleTimeout })}
	if set != nil {
		set(v.connections)
	}
	v.serveCallers(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), l)
	t.Cleanup(func() {
		v.stopping.Store(true)
		_ = v.callerServer.Close()
	})
	c, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestIdleTimeoutClosesAfterStrayBytes guards against a kept connection that is never closed because
// its caller sent bytes after its request that become no request.
func TestIdleTimeoutClosesAfterStrayBytes(t *testing.T) {
	for _, stray := range []string{"", "\r\n"} {
		var tracker *connTracker
		c := dialServer(t, nil, time.Second, func(tr *connTracker) { tracker, tr.headTimeout = tr, 50*time.Millisecond })
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		reader := bufio.NewReader(c)
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		_ = response.Body.Close()
		eventually(t, "the connection does not become idle", func() bool { idle, _ := tracker.count(); return idle == 1 })
		_, err = io.WriteString(c, stray)
		qt.Assert(t, err, qt.IsNil)
		tracker.awaitStray(t, len(stray) > 0)
		tracker.closeIdle(time.Now().Add(time.Hour), time.Second)
		qt.Assert(t, c.SetReadDeadline(time.Now().Add(headerTimeout/2)), qt.IsNil)
		_, err = reader.ReadByte()
		qt.Assert(t, err, qt.Equals, io.EOF)
	}
}

// awaitStray waits until bytes were read from the idle connection, if there are any.
func (t *connTracker) awaitStray(test *testing.T, sent bool) {
	if sent {
		t.awaitRead(test)
	}
}
