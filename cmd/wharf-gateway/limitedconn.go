package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

const (
	// headerLineBytes is what a header line takes beside its text: its strings, the slice that
	// holds them and its place in a map that grows.
	headerLineBytes = 128
	// headRetryAfter is how long a caller should wait before it sends a head again for which
	// there was no memory.
	headRetryAfter = 300 * time.Millisecond
	// headRefusalTimeout is the time limit for writing a refusal.
	headRefusalTimeout = 100 * time.Millisecond
	// A caller must take writePieceBytes of an answer within answerWriteTimeout.
	writePieceBytes    = 64 << 10
	answerWriteTimeout = 20 * time.Second
)

// limitingListener accepts connections that are limited, see limitedConn.
type limitingListener struct {
	net.Listener
	budget *memory.Budget
	// writeTimeout is how long a piece of an answer may wait for a caller that doesn't read.
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l *limitingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.limit(c), nil
}

// limit returns a limited connection in place of a TCP connection, and any other one as it is.
func (l *limitingListener) limit(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &limitedConn{TCPConn: tcp, writeTimeout: l.writeTimeout, held: l.budget.Hold(), inHead: true}
}

// limitedConn is a connection whose bytes take from a memory budget while a head is read. They are
// given back when its request is answered or the connection closed. It doesn't wait for ever for a
// caller that doesn't read.
type limitedConn struct {
	*net.TCPConn
	writeTimeout time.Duration

	mu     sync.Mutex
	held   *memory.Holder
	inHead bool
	// refused says that a head was refused. Only Read uses it.
	refused bool
}

// errHeadRefused is the error of reads after a head was refused. Its type makes the server close
// the connection without an answer of its own.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.ConstError("head was refused")}

// followLimited returns a ConnState hook that tells connections their state before it calls next,
// which may be nil.
func followLimited(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(c net.Conn, state http.ConnState) {
		inner := c
		if caller, ok := c.(*callerConn); ok {
			inner = caller.Conn
		}
		if limited, ok := inner.(*limitedConn); ok {
			limited.setState(state)
		}
		if next != nil {
			next(c, state)
		}
	}
}

// setState follows the state of the connection in the HTTP server.
func (c *limitedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = state == http.StateNew || state == http.StateIdle
	if state != http.StateActive {
		c.held.Reset()
	}
}

// Read implements net.Conn. If there is no memory for the head, it answers that the request was not
// run, and fails from then on, upon which the server closes the connection.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.refused {
		return 0, errHeadRefused
	}
	n, err := c.TCPConn.Read(b)
	if n > 0 && !c.take(b[:n]) {
		c.refused = true
		c.refuse()
		return 0, errHeadRefused
	}
	return n, err
}

// take takes the memory of a part of a head, and reports whether there is enough.
func (c *limitedConn) take(part []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return true
	}
	return c.held.Grow(int64(len(part) + headerLineBytes*bytes.Count(part, []byte{'\n'})))
}

// Write implements net.Conn. It fails if the caller takes too long for one of the pieces, so that
// an answer is not held for ever.
func (c *limitedConn) Write(b []byte) (int, error) {
	written := 0
	for {
		piece := b[written:min(len(b), written+writePieceBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(piece)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// ReadFrom implements io.ReaderFrom by Write.
func (c *limitedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// refuse writes the answer to a request whose head was not read.
func (c *limitedConn) refuse() {
	answer := http.Response{StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Close: true}
	platform.SetRetryAfter(answer.Header, headRetryAfter)
	// A caller that doesn't read gets a closed connection.
	_ = c.SetWriteDeadline(time.Now().Add(headRefusalTimeout))
	_ = answer.Write(c.TCPConn)
	c.drain()
}

// drain ends the answers and drops what the caller still sends of its head, for a short time. A
// close with unread bytes would reset the connection before the caller has read the answer.
func (c *limitedConn) drain() {
	_ = c.CloseWrite() // fails only if the connection is closed
	_ = c.SetReadDeadline(time.Now().Add(headRefusalTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, maxHeaderBytes))
}
