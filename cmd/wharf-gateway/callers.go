package main

import (
	"bytes"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/clock"
)

// callerConns holds the open connections of callers. Unlike connTracker it knows which of them
// have bytes of a request that the server has not parsed, so that none of these is closed as idle.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
	// ending says that each connection ends once it is idle.
	ending atomic.Bool
	// stalls notices when the process stands still. It may be nil.
	stalls *arrival.StallDetector
}

// callerConn is a connection of a caller. When idle connections are to end, its next Read
// decides: it returns the bytes that have arrived, or io.EOF if there are none, whereupon the
// server closes the connection. A close from outside could come between the arrival of a request
// and its Read, and reset the connection.
type callerConn struct {
	net.Conn
	all      *callerConns
	arrivals *arrival.Tracker

	mu sync.Mutex
	// idle says that no byte was read since the last request, ending that the connection ends
	// unless bytes have arrived.
	idle   bool
	ending bool
	// ended says that Read has ended the connection because no byte had arrived.
	ended bool

	// rest holds bytes that were read from the socket behind the end of a head. Only Read uses it.
	rest []byte
	// before holds the last two bytes that Read returned.
	before [2]byte
}

// add makes a connection one of the set.
func (s *callerConns) add(inner net.Conn) *callerConn {
	c := &callerConn{Conn: inner, all: s, idle: true, arrivals: arrival.NewTracker(inner, clock.System{}, s.stalls)}
	s.mu.Lock()
	if s.open == nil {
		s.open = make(map[*callerConn]struct{})
	}
	s.open[c] = struct{}{}
	s.mu.Unlock()
	if s.ending.Load() {
		c.end()
	}
	return c
}

// endIdle ends the idle connections, and from now on each one that becomes idle.
func (s *callerConns) endIdle() {
	s.ending.Store(true)
	s.mu.Lock()
	all := make([]*callerConn, 0, len(s.open))
	for c := range s.open {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.end()
	}
}

// count returns the number of open connections.
func (s *callerConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// past is a deadline that interrupts a Read.
var past = time.Unix(1, 0)

// end ends the connection if it is idle and no byte has arrived.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.ending = true
		_ = c.Conn.SetReadDeadline(past) // fails only if the connection is closed
	}
}

// endUnlessRequest ends the connection if it is idle. If bytes have arrived, it ends when they do
// not become a request within the timeout: the server waits for the next ones without a limit.
func (c *callerConn) endUnlessRequest(timeout time.Duration) {
	c.end()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		_ = c.Conn.SetReadDeadline(time.Now().Add(timeout)) // the server removes it for a request
	}
}

// becameIdle records that a request is answered and none has arrived since.
func (c *callerConn) becameIdle() {
	c.mu.Lock()
	c.idle = true
	c.mu.Unlock()
	if c.all.ending.Load() {
		c.end()
	}
}

// becameBusy records that bytes of a request were read.
func (c *callerConn) becameBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
	c.idle, c.ending = false, false
}

// endsNow reports whether the connection is to end unless bytes have arrived.
func (c *callerConn) endsNow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// Read implements net.Conn. It returns no bytes behind the end of a head together with those before
// it, so that the server does not read a request ahead that the connection does not know of.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(c.rest) > 0 {
		n := copy(p, c.rest)
		n = headEnd(c.before, p[:n])
		c.returned(p[:n], c.rest[n:])
		c.arrivals.BytesTaken(len(c.rest))
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.endsNow() {
		n, err = readArrived(c.Conn, p)
		c.setEnded(n == 0)
	}
	if n > 0 {
		end := headEnd(c.before, p[:n])
		c.returned(p[:end], slices.Clone(p[end:n]))
		c.arrivals.BytesRead(len(c.rest))
		n = end
	}
	return n, err
}

// returned records what Read returns and the bytes that are left.
func (c *callerConn) returned(b, rest []byte) {
	c.rest = rest
	for _, last := range b[max(len(b)-2, 0):] {
		c.before = [2]byte{c.before[1], last}
	}
	c.becameBusy()
}

// headEnd returns the length of b up to the end of its first empty line, which ends a head, or all of
// it if there is none. before holds the two bytes before b. Where b is part of a body, the result only
// makes a read shorter.
func headEnd(before [2]byte, b []byte) int {
	at := func(i int) byte {
		if i < 0 {
			return before[2+i]
		}
		return b[i]
	}
	for i := 0; i < len(b); i++ {
		next := bytes.IndexByte(b[i:], '\n')
		if next < 0 {
			break
		}
		i += next
		if at(i-1) == '\n' || at(i-1) == '\r' && at(i-2) == '\n' {
			return i + 1
		}
	}
	return len(b)
}

// SetReadDeadline implements net.Conn. It does not extend the deadline of an idle connection
// that is to end.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// setEnded records whether Read has ended the connection because no byte had arrived.
func (c *callerConn) setEnded(ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = ended
}

// Close implements net.Conn. A request that has arrived since Read ended the connection is refused: the
// close would reset it.
func (c *callerConn) Close() error {
	c.mu.Lock()
	ended := c.ended
	c.ended = false
	c.mu.Unlock()
	if limited, ok := c.Conn.(*limitedConn); ok && ended && c.arrivals.End() {
		limited.refuse()
	}
	err := c.Conn.Close()
	c.all.mu.Lock()
	delete(c.all.open, c)
	c.all.mu.Unlock()
	return err
}

// CloseWrite closes the writing side. The server uses it before it closes a connection on which
// the caller may still be sending, so that the caller can read the answer.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// readArrived reads the bytes that have arrived, without waiting and whatever the deadline is. It
// returns io.EOF if there are none.
func readArrived(c net.Conn, p []byte) (int, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, io.EOF
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, errors.Trace(err)
	}
	n := 0
	var readErr error
	err = raw.Control(func(fd uintptr) {
		for {
			if n, readErr = syscall.Read(int(fd), p); !errors.Is(readErr, syscall.EINTR) {
				return
			}
		}
	})
	if err == nil && readErr == nil && n > 0 {
		return n, nil
	}
	return 0, io.EOF
}

// callerListener accepts connections of callers, limits them and adds them to a set.
type callerListener struct {
	net.Listener
	limits  limitingListener
	conns   *callerConns
	closing atomic.Bool
}

// Accept implements net.Listener. Once the listener is closing, it returns the connections that
// were completed by then, and net.ErrClosed after the last of them.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.acceptInner()
	if err != nil {
		return nil, err
	}
	return l.conns.add(l.limits.limit(c)), nil
}

func (l *callerListener) acceptInner() (net.Conn, error) {
	if !l.closing.Load() {
		c, err := l.Listener.Accept()
		if err == nil || !l.closing.Load() {
			return c, err
		}
	}
	return acceptCompleted(l.Listener)
}

// finish makes Accept return the connections that the kernel has completed, and no others. A
// listener that is closed instead resets these.
func (l *callerListener) finish() {
	l.closing.Store(true)
	if inner, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && inner.SetDeadline(past) == nil {
		return
	}
	_ = l.Listener.Close() // it accepts no more connections, even if Close fails
}

// acceptCompleted accepts a connection without waiting and whatever the deadline is. It returns
// net.ErrClosed if there is none.
func acceptCompleted(l net.Listener) (net.Conn, error) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil, net.ErrClosed
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, net.ErrClosed
	}
	fd := -1
	var acceptErr error
	err = raw.Control(func(listening uintptr) {
		for {
			fd, _, acceptErr = syscall.Accept4(int(listening), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if !errors.Is(acceptErr, syscall.EINTR) && !errors.Is(acceptErr, syscall.ECONNABORTED) {
				return
			}
		}
	})
	if err != nil || acceptErr != nil {
		return nil, net.ErrClosed
	}
	file := os.NewFile(uintptr(fd), "caller")
	defer func() { _ = file.Close() }() // FileConn has its own descriptor
	c, err := net.FileConn(file)
	return c, errors.Trace(err)
}
