package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pausedConn holds back what was read until release is closed, once taken was closed.
type pausedConn struct {
	net.Conn
	taken   chan struct{}
	release chan struct{}
	once    sync.Once
}

// Read implements net.Conn.
func (c *pausedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.once.Do(func() { close(c.taken) })
	<-c.release
	return n, err
}

// idleConnTracker returns a tracker of which a connection has been idle for a minute.
func idleConnTracker(c net.Conn) *connTracker {
	t := newConnTracker(func() time.Duration { return time.Second })
	t.setState(c, http.StateIdle)
	t.idle[c] = idleConn{since: time.Now().Add(-time.Minute), timeout: time.Second}
	return t
}

// TestIdleCloseKeepsConnectionWithUnreadRequest guards against an idle connection that is closed
// while its next request lies unread.
func TestIdleCloseKeepsConnectionWithUnreadRequest(t *testing.T) {
	accepted, dialed := connectedPair(t)
	c := new(callerConns).add(accepted)
	tracker := idleConnTracker(c)
	_, err := dialed.Write([]byte("GET "))
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "the bytes do not arrive", func() bool { return hasUnread(accepted) })
	tracker.closeIdle(time.Now(), time.Second)
	b := make([]byte, 4)
	_, err = io.ReadFull(c, b)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(b), qt.Equals, "GET ")
}

// TestIdleCloseDropsNoReadRequest guards against a request that is read from a connection and
// served although the connection was closed as idle meanwhile: it keeps its connection.
func TestIdleCloseDropsNoReadRequest(t *testing.T) {
	accepted, dialed := connectedPair(t)
	held := &pausedConn{Conn: accepted, taken: make(chan struct{}), release: make(chan struct{})}
	c := new(callerConns).add(held)
	tracker := idleConnTracker(c)
	_, err := dialed.Write([]byte("GET "))
	qt.Assert(t, err, qt.IsNil)
	read := make(chan error, 1)
	go func() {
		n, err := c.Read(make([]byte, 4))
		qt.Check(t, n, qt.Equals, 4)
		read <- err
	}()
	<-held.taken
	tracker.closeIdle(time.Now(), time.Second)
	close(held.release)
	qt.Assert(t, <-read, qt.IsNil)
	_, err = dialed.Write([]byte("more"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(c, make([]byte, 4))
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Write([]byte("answer"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(dialed, make([]byte, 6))
	qt.Assert(t, err, qt.IsNil)
}

// TestIdleCloseKeepsConnectionWhoseRequestIsBeingRead guards against a request that is cut
// because its connection still counts as idle while the head is being read.
func TestIdleCloseKeepsConnectionWhoseRequestIsBeingRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	tracker := newConnTracker(func() time.Duration { return time.Second })
	v := &servers{connections: tracker, failed: make(chan error, 1)}
	v.serveCallers(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }), l)
	t.Cleanup(func() {
		v.stopping.Store(true)
		_ = v.callerServer.Close()
	})
	dialed, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = dialed.Close() }()
	replies := bufio.NewReader(dialed)
	ask := func(pieces ...string) error {
		for i, piece := range pieces {
			if _, err := dialed.Write([]byte(piece)); err != nil {
				return err
			}
			if i == 0 && len(pieces) > 1 {
				tracker.awaitRead(t)
				tracker.closeIdle(time.Now(), time.Second)
			}
		}
		response, err := http.ReadResponse(replies, nil)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	qt.Assert(t, ask("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), qt.IsNil)
	eventually(t, "the connection does not become idle", func() bool { return tracker.makeIdleSince(time.Now().Add(-time.Minute)) })
	qt.Assert(t, ask("GET / HTTP/1.1\r\nHo", "st: a\r\n\r\n"), qt.IsNil)
}

// awaitRead waits until bytes of the next request were read from the only connection.
func (t *connTracker) awaitRead(test *testing.T) {
	test.Helper()
	eventually(test, "the bytes are not read", func() bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		for c := range t.idle {
			cc := c.(*callerConn)
			cc.mu.Lock()
			defer cc.mu.Unlock()
			return !cc.idle
		}
		return true
	})
}

// makeIdleSince sets since when the idle connections are idle. It reports whether there is one.
func (t *connTracker) makeIdleSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.idle {
		t.idle[c] = idleConn{since: at, timeout: time.Second}
	}
	return len(t.idle) > 0
}

// TestPauseOfProcessClosesNoConnection guards against connections that are closed as idle after a
// pause of the process, before it has looked at the requests that came meanwhile.
func TestPauseOfProcessClosesNoConnection(t *testing.T) {
	accepted, _ := connectedPair(t)
	c := new(callerConns).add(accepted)
	tracker := idleConnTracker(c)
	start := time.Now()
	tracker.lastCheck = start.Add(-10 * idleCheckInterval)
	tracker.check(start)
	qt.Assert(t, tracker.idle, qt.HasLen, 1)
	tracker.check(start.Add(idleCheckInterval))
	qt.Assert(t, tracker.idle, qt.HasLen, 0)
}

// TestShorterIdleTimeoutLeavesKeptConnections guards against kept connections that are closed under
// their callers by a new configuration: a caller keeps a connection as long as was allowed when its
// last request ended.
func TestShorterIdleTimeoutLeavesKeptConnections(t *testing.T) {
	const before, after = 15 * time.Second, 1 * time.Second
	limit := before
	tracker := newConnTracker(func() time.Duration { return limit })
	first, _ := connectedPair(t)
	kept := new(callerConns).add(first)
	tracker.setState(kept, http.StateIdle)
	start := time.Now()
	limit = after
	second, _ := connectedPair(t)
	later := new(callerConns).add(second)
	tracker.setState(later, http.StateIdle)
	open := func(c *callerConn) bool {
		if !c.endsNow() {
			return true
		}
		_, err := c.Read(make([]byte, 1))
		return !errors.Is(err, io.EOF)
	}
	checkAt := func(at time.Duration) {
		tracker.lastCheck = start.Add(at)
		tracker.check(start.Add(at))
	}
	checkAt(after + idleSlack + time.Second)
	qt.Check(t, open(kept), qt.IsTrue)
	qt.Check(t, open(later), qt.IsFalse)
	checkAt(before + idleSlack + time.Second)
	qt.Check(t, open(kept), qt.IsFalse)
}

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

// hasUnread reports whether a connection has bytes from its peer that this process has not read
// yet. It neither waits nor removes them. It returns false if the peer has closed its end, the
// connection is closed or it has no socket.
func hasUnread(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // on an error n is not positive
	})
	return err == nil && n > 0
}
