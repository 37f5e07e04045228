package searcher

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// errClosedBySearcher reports a connection that the searcher closed while it was idle.
const errClosedBySearcher = errors.ConstError("searcher has closed the connection")

// rejectionTimeout is the time after the opening of a connection within which its end may be a rejection.
const rejectionTimeout = 1 * time.Second

// isRejection reports whether a connection that ends with err was rejected. A searcher that closes with unread bytes
// resets the connection. One that has read the request and is lost while it runs it does not. The caller holds the
// lock.
func (c *Conn) isRejection(err error) bool {
	if c.replied || time.Since(c.opened) > rejectionTimeout {
		return false
	}
	reset := errors.Is(err, unix.ECONNRESET) || errors.Is(err, unix.EPIPE)
	return reset || !c.begun && (errors.Is(err, errClosedBySearcher) || errors.Is(err, io.EOF))
}

// beginWrite records that the request of an exchange is being written, and returns a channel to close when that has
// ended. It returns nil if the request must not be written, because the connection was closed since Send.
func (c *Conn) beginWrite(e *Exchange) chan<- struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.pending != e {
		return nil
	}
	ended := make(chan struct{})
	c.begun, c.writer, c.writtenAt, c.writeEnded = true, e, time.Now(), ended
	return ended
}

// endWrite records the end of a write. If the connection was closed meanwhile and the exchange has not ended, it
// returns the error with which the exchange ends, else nil.
//
// A searcher may have replied and closed the connection before it read the whole request, so a failed write leaves
// the end of the exchange to the reader, which ends with the reply or with the end of the connection. The time
// that it gets bounds only the wait for a searcher that has not closed.
func (c *Conn) endWrite(e *Exchange, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writer != e {
		return nil
	}
	c.writer = nil
	switch {
	case c.err != nil && err != nil:
		return err
	case c.err != nil:
		return c.err
	case err == nil:
		c.written = true
		return nil
	}
	c.written, c.writeErr = false, err
	_ = c.raw.SetReadDeadline(time.Now().Add(earlyReplyWait)) // fails only if the connection is closed
	return nil
}

// socketOf returns access to the socket of a connection, nil if it has none.
func socketOf(raw net.Conn) syscall.RawConn {
	c, ok := raw.(syscall.Conn)
	if !ok {
		return nil
	}
	socket, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	return socket
}

// checkBeforeWrite returns an error if the searcher has closed the connection, or has sent bytes although no request
// was written, and the reader has not noticed yet. The kernel takes a request also for a closed connection, and then
// nothing tells whether the searcher had read it.
func (c *Conn) checkBeforeWrite() error {
	if c.socket == nil {
		return nil
	}
	var n int
	var readErr error
	var b [1]byte
	if err := c.socket.Control(func(fd uintptr) {
		for {
			n, _, readErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if !errors.Is(readErr, unix.EINTR) {
				return
			}
		}
	}); err != nil {
		return errors.Trace(err)
	}
	switch {
	case errors.Is(readErr, unix.EAGAIN):
		return nil
	case readErr != nil:
		return errors.Trace(readErr)
	case n == 0:
		return errClosedBySearcher
	}
	return errUnsolicited
}
