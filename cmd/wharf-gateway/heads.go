package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

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
)

// headListener accepts connections whose heads take from a memory budget.
type headListener struct {
	net.Listener
	budget *memory.Budget
}

// Accept implements net.Listener.
func (l *headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &headConn{TCPConn: tcp, held: l.budget.Hold(), inHead: true}, nil
}

// headConn is a connection whose bytes take from a memory budget while a head is read. They are
// given back when its request is answered or the connection closed.
type headConn struct {
	*net.TCPConn

	mu     sync.Mutex
	held   *memory.Holding
	inHead bool
}

// setState follows the state of the connection in the HTTP server.
func (c *headConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = state == http.StateNew || state == http.StateIdle
	if state != http.StateActive {
		c.held.Release()
	}
}

// Read implements net.Conn. If there is no memory for the head, it answers that the request was not
// run, and returns io.EOF, upon which the server closes the connection.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && !c.take(b[:n]) {
		c.refuse()
		return 0, io.EOF
	}
	return n, err
}

// take takes the memory of a part of a head, and reports whether there is enough.
func (c *headConn) take(part []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead {
		return true
	}
	return c.held.Grow(int64(len(part)+headerLineBytes*bytes.Count(part, []byte{'\n'}))) == nil
}

// refuse writes the answer to a request whose head was not read.
func (c *headConn) refuse() {
	answer := http.Response{StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Close: true}
	platform.SetRetryAfter(answer.Header, headRetryAfter)
	// A caller that doesn't read gets a closed connection.
	_ = c.SetWriteDeadline(time.Now().Add(headRefusalTimeout))
	_ = answer.Write(c.TCPConn)
}
