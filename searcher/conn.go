// Package searcher sends requests to searchers over HTTP/1.1 connections. It does not use
// the transport of net/http, which may resend a request on its own when a reused connection
// breaks, and which can't tell a reply to an earlier request from the expected one.
package searcher

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/memory"
)

const (
	// maxBodyBytes is the largest accepted body of a reply.
	maxBodyBytes = 8 << 20
	// maxUnusedBodyBytes is the largest body that is read of a reply whose body is not used, so
	// that its connection can be kept.
	maxUnusedBodyBytes = 4 << 10
	// maxSkippedReplies is how many replies to other requests are skipped while waiting
	// for the expected one.
	maxSkippedReplies = 4
	// maxIdle is the longest time for which an idle connection stays usable. It applies
	// if the searcher states no idle timeout or a longer one.
	maxIdle = 60 * time.Second
	// idleMargin is how long before the searcher's idle timeout a connection stops being
	// usable, so that no request is sent while the searcher closes it.
	idleMargin = 700 * time.Millisecond
	// writeTimeout is the time limit for writing a request.
	writeTimeout    = 10 * time.Second
	readBufferBytes = 4 << 10
)

// Errors of an exchange. After any error other than ErrNotWritten it is unknown whether the
// searcher ran the request.
const (
	// ErrNotWritten reports that no byte of the request left this process.
	ErrNotWritten = errors.ConstError("request was not written")
	// ErrClosedLocally reports that this process closed the connection.
	ErrClosedLocally = errors.ConstError("connection was closed here")

	errUnsolicited  = errors.ConstError("searcher sent bytes that no request asked for")
	errTooLarge     = errors.ConstError("reply is too large")
	errWrongRequest = errors.ConstError("reply belongs to another request")
	errUnusable     = errors.ConstError("reply has no signature or is encoded")
	// errNoFinalStatus reports an interim status, or one that HTTP does not define.
	errNoFinalStatus = errors.ConstError("reply has no final status")
)

// Exchange is a request and the callback for its reply.
type Exchange struct {
	// RequestID is the caller's identifier of the request, empty if it has none. A reply that
	// states another one is not accepted. A connection must not carry two requests with the
	// same identifier, since a late repeat of the first reply would be taken for the second.
	RequestID string
	Method    string
	// Encode returns the bytes of the whole request, or nil if it must no longer be sent. It is called
	// once, right before they are written and perhaps in another goroutine, since they may state the
	// time that is left. Size is about how many bytes they have.
	Encode func() []byte
	Size   int
	// Done is called when the exchange has ended, with either a reply or an error; the
	// other one is nil. It must see to it that the reply is released. It is called once, except
	// that it can be called twice, with the error and with the reply, if Close or a failed write
	// closes the connection while the reply is being read. It is called from a goroutine of the
	// connection, or from within Send or Close. It must not block.
	Done func(reply *Reply, err error)
}

// Conn is a connection to a searcher. It runs one exchange at a time. It is safe for
// concurrent use.
type Conn struct {
	raw net.Conn
	// reader reads from bounded, which reads from raw. Only the goroutine of read uses them.
	reader  *bufio.Reader
	bounded *boundedReader
	// onClose is called once, when the connection is closed.
	onClose func(*Conn)
	limits  Limits
	// socket gives access to the socket of raw, nil if it has none.
	socket syscall.RawConn

	mu sync.Mutex
	// pending is the exchange in progress, nil if there is none. written says that its
	// request is fully written, or short enough to be written in one piece.
	pending *Exchange
	written bool
	// begun says that a byte of the request of pending may have been written. writer is the exchange
	// whose request is being written, nil if there is none or its end no longer matters.
	begun  bool
	writer *Exchange
	// writtenAt is when that write began.
	writtenAt time.Time
	// writeErr is why the request could not be written, nil if it could. writeEnded is closed when the
	// write of the request of pending has ended and writeErr is set. It is nil before the first write.
	writeErr   error
	writeEnded <-chan struct{}
	// err is why the connection was closed, nil while it is open.
	err error
	// replied says that it has carried a whole reply, rejected that the searcher rejected it. opened is
	// when it was opened.
	replied, rejected bool
	opened            time.Time
	// reusableUntil is the time up to which the idle connection may be used.
	reusableUntil time.Time
}

// Limits bounds and reports what a connection reads.
type Limits struct {
	// Memory is the budget of the process for the replies that it holds. It may be nil.
	Memory *memory.Budget
	// ReplyFailed is called when a reply has failed after its first byte, also if that is
	// because the connection was closed here. It must not block, and may be nil.
	ReplyFailed func(*ReplyError)
}

// Dial connects to a searcher at address, an IP address with a port. See NewConn for limits and
// onClose.
func Dial(ctx context.Context, address string, limits Limits, onClose func(*Conn)) (*Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return NewConn(raw, limits, onClose), nil
}

// NewConn returns a connection over raw and starts reading from it. onClose is called once,
// when the connection is closed by either side. If that ends an exchange, onClose is called
// before the Done of the exchange, unless the searcher's host can't be reached: then it is called when
// the searcher knows of the end.
func NewConn(raw net.Conn, limits Limits, onClose func(*Conn)) *Conn {
	bounded := &boundedReader{reader: raw}
	c := &Conn{raw: raw, reader: bufio.NewReaderSize(bounded, readBufferBytes), bounded: bounded, limits: limits, onClose: onClose, opened: time.Now()}
	c.reusableUntil = c.opened.Add(maxIdle)
	c.socket = socketOf(raw)
	go c.read()
	return c
}

// Usable reports whether a request can be sent on the connection at the time now: it is open,
// has no exchange in progress, and its idle timeout has not passed.
func (c *Conn) Usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && c.pending == nil && now.Before(c.reusableUntil)
}

// Rejected reports whether the searcher closed the connection right after it was opened, without
// reading from it. It may have as many connections as it accepts.
func (c *Conn) Rejected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// Close closes the connection. An exchange in progress ends with ErrClosedLocally, or with
// ErrNotWritten if no byte of its request was written.
func (c *Conn) Close() { c.fail(ErrClosedLocally) }

// fail closes the connection and ends the exchange in progress with err. It does nothing if
// the connection is closed already.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.rejected = c.isRejection(err)
	if c.writeErr != nil {
		err = c.writeErr
	}
	c.err = err
	e := c.pending
	unacknowledged := errors.Is(err, ErrClosedLocally) && c.unacknowledged()
	c.pending = nil
	switch {
	case e == nil:
	case !c.begun:
		err = errors.WithType(errors.Trace(err), ErrNotWritten)
	case c.writer == e:
		// The close ends the write, which knows whether a byte was written.
		e = nil
	}
	c.mu.Unlock()
	c.closeRaw(unacknowledged)
	if e != nil {
		e.Done(nil, err)
	}
}

// Send writes a request. A request longer than maxInlineWrite is written in another
// goroutine, and Send doesn't wait for it. e.Done is called when the reply has arrived
// or the connection is closed. Conn sets no time limit for the reply: the caller ends the wait
// with Close. If the connection is closed already or another exchange is in progress, Send
// writes nothing and calls e.Done with ErrNotWritten.
func (c *Conn) Send(e *Exchange) {
	c.mu.Lock()
	if c.err != nil || c.pending != nil {
		c.mu.Unlock()
		e.Done(nil, ErrNotWritten)
		return
	}
	c.pending, c.begun = e, false
	// A short request is sent in one piece, so no reply to it can arrive before all of it
	// was sent. It counts as written here, because the reply may be read before write
	// returns.
	c.written = e.Size <= maxInlineWrite
	c.mu.Unlock()
	if e.Size > maxInlineWrite {
		go c.write(e)
		return
	}
	c.write(e)
}

// maxInlineWrite is the largest request, in bytes, that Send writes before it returns. Such
// a request fits into the send buffer of a new connection, so that writing it does not wait
// for the searcher.
const maxInlineWrite = 4 << 10

// write encodes and writes the request. If that fails and no reply arrives, it closes the connection. The
// exchange then ends with ErrNotWritten if no byte was written.
func (c *Conn) write(e *Exchange) {
	if err := c.checkBeforeWrite(); err != nil {
		c.fail(errors.Annotate(err, "before the request was written"))
		return
	}
	// If setting the deadline fails, the write fails as well.
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	request := e.Encode()
	if request == nil {
		c.fail(ErrNotWritten)
		return
	}
	ended := c.beginWrite(e)
	if ended == nil {
		c.fail(ErrNotWritten)
		return
	}
	n, err := c.raw.Write(request)
	if err != nil && n == 0 {
		err = errors.WithType(errors.Trace(err), ErrNotWritten)
	}
	closed := c.endWrite(e, err)
	close(ended)
	if closed != nil {
		e.Done(nil, closed)
		return
	}
	if err != nil && n == 0 {
		c.fail(err) // no reply can come
	}
}

// earlyReplyWait is the longest wait for a reply after a failed write.
const earlyReplyWait = 1 * time.Second
