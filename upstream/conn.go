// Package upstream implements the client side of HTTP/1.1 connections to searchers. It
// writes requests and reads replies itself, because http.Transport may send a replayable
// request again if a reused connection breaks.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

const (
	// maxBodyBytes bounds the body of a reply. The body is forwarded to the entry in a peer
	// frame of at most 1 MiB, which also has to hold the other fields.
	maxBodyBytes = 1<<20 - 16<<10
	// maxReplyBytes bounds a reply including its headers.
	maxReplyBytes = maxBodyBytes + 16<<10
)

// Errors of an exchange. After any error other than ErrNotWritten, the searcher may have
// received the request.
const (
	// ErrNotWritten means that no byte of the request was sent.
	ErrNotWritten  = errors.ConstError("request was not written")
	errUnsolicited = errors.ConstError("upstream sent bytes that no request asked for")
	errTooLarge    = errors.ConstError("reply is too large")
	errClosed      = errors.ConstError("connection was closed here")
)

// Conn is a connection to a searcher. It carries one exchange at a time. Close, Done and
// Err may be called from any goroutine.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	limit  *limitReader

	mu      sync.Mutex
	pending *exchange
	err     error
	done    chan struct{}
}

// exchange is a request that waits for its reply. The reply channel has room for one, so
// that readLoop never blocks on it.
type exchange struct {
	request *Request
	reply   chan Reply
}

// Dial opens a TCP connection to the searcher at address, which has the form host:port.
// ctx bounds only the dialing. Dial fails if the connection cannot be opened.
func Dial(ctx context.Context, address string) (*Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return newConn(raw), nil
}

// newConn returns a Conn on raw and starts its readLoop.
func newConn(raw net.Conn) *Conn {
	limit := &limitReader{reader: raw}
	c := &Conn{raw: raw, limit: limit, reader: bufio.NewReader(limit), done: make(chan struct{})}
	go c.readLoop()
	return c
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection has ended, or nil while it is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close ends the connection and any exchange on it.
func (c *Conn) Close() { c.fail(errClosed) }

// fail closes the connection and records err as the reason. Only the first call counts.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	close(c.done)
	_ = c.raw.Close()
}

// Exchange writes a request and waits for its reply. It has no time limit of its own:
// it ends when the reply has been read or when the connection ends, for example by Close.
// It waits for the reply even if the caller no longer needs it, because the reply could
// otherwise be taken for that of a later request. If no byte of the request was written,
// the error matches ErrNotWritten: the connection had ended before, the write failed at
// its start, or another exchange is in progress. After any other error the connection has
// ended.
func (c *Conn) Exchange(r *Request) (Reply, error) {
	e := &exchange{request: r, reply: make(chan Reply, 1)}
	c.mu.Lock()
	if c.err != nil || c.pending != nil {
		err := c.err
		if err == nil {
			err = errors.New("another exchange is in progress")
		}
		c.mu.Unlock()
		return Reply{}, errors.WithType(errors.Annotate(err, "before the write"), ErrNotWritten)
	}
	c.pending = e
	c.mu.Unlock()
	if n, err := c.raw.Write(r.wire); err != nil {
		c.fail(errors.Annotatef(err, "after %d of %d bytes", n, len(r.wire)))
		if n == 0 {
			return Reply{}, errors.WithType(err, ErrNotWritten)
		}
	}
	select {
	case reply := <-e.reply:
		return reply, nil
	case <-c.done:
		select {
		case reply := <-e.reply:
			reply.Closed = true
			return reply, nil
		default:
			return Reply{}, errors.Annotate(c.Err(), "after the write")
		}
	}
}

// readLoop reads replies until the connection ends. Between exchanges it detects that
// the searcher closed the connection or sent unsolicited bytes; both end the connection.
func (c *Conn) readLoop() {
	for {
		c.limit.remaining = maxReplyBytes
		if _, err := c.reader.Peek(1); err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		e := c.pending
		c.mu.Unlock()
		if e == nil {
			c.fail(errUnsolicited)
			return
		}
		reply, err := c.readReply(e.request)
		if err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		c.pending = nil
		c.mu.Unlock()
		if reply.Closed || c.reader.Buffered() > 0 {
			reply.Closed = true
			e.reply <- reply
			c.fail(errClosed)
			return
		}
		e.reply <- reply
	}
}

// readReply reads one reply and checks it against the request r. It fails if the body is
// larger than maxBodyBytes.
func (c *Conn) readReply(r *Request) (Reply, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Reply{}, errors.Annotate(err, "reply")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return Reply{}, errors.Annotate(err, "reply body")
	}
	if len(body) > maxBodyBytes {
		return Reply{}, errTooLarge
	}
	return r.parseReply(response, body)
}

// limitReader fails with errTooLarge once remaining is used up. Conn resets remaining
// before each reply.
type limitReader struct {
	reader    io.Reader
	remaining int
}

func (l *limitReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.reader.Read(p)
	l.remaining -= n
	return n, err
}
