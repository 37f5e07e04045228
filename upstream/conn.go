// Package upstream holds HTTP/1.1 connections to searchers. It writes requests
// and reads replies itself, because the transport of net/http resends a
// replayable request when a reused connection breaks.
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
	// maxBodyBytes leaves room for the rest of the frame that carries the body
	// on to the entry.
	maxBodyBytes = 1<<20 - 16<<10
	// maxReplyBytes bounds a reply with its headers.
	maxReplyBytes = maxBodyBytes + 16<<10
)

// Errors of an exchange. Any error other than ErrNotWritten leaves open whether
// the upstream received the request.
const (
	// ErrNotWritten reports that no byte of the request left this process.
	ErrNotWritten = errors.ConstError("request was not written")
	errUnasked    = errors.ConstError("upstream sent bytes that no request asked for")
	errTooLarge   = errors.ConstError("reply is too large")
	errClosed     = errors.ConstError("connection was closed here")
)

// Conn is one connection. Exchange is called by one goroutine at a time; Close
// may be called by any.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	limit  *limitReader

	mu      sync.Mutex
	pending *exchange
	err     error
	done    chan struct{}
}

type exchange struct {
	request *Request
	reply   chan Reply
}

// Dial connects to a searcher.
func Dial(ctx context.Context, address string) (*Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return newConn(raw), nil
}

func newConn(raw net.Conn) *Conn {
	limit := &limitReader{reader: raw}
	c := &Conn{raw: raw, limit: limit, reader: bufio.NewReader(limit), done: make(chan struct{})}
	go c.read()
	return c
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection has ended.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close ends the connection and any exchange on it.
func (c *Conn) Close() { c.fail(errClosed) }

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

// Exchange writes a request and waits for its reply. It has no time limit of
// its own; Close ends it. An exchange whose reply nobody waits for any more
// goes on until the reply has been read, so that the reply cannot be taken for
// that of a later request.
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

// read reads replies. Between exchanges it watches for the end of the
// connection and for bytes that nobody asked for.
func (c *Conn) read() {
	for {
		c.limit.left = maxReplyBytes
		if _, err := c.reader.Peek(1); err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		e := c.pending
		c.mu.Unlock()
		if e == nil {
			c.fail(errUnasked)
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
	return r.reply(response, body)
}

// limitReader fails once more than left bytes were read for one reply, headers
// included.
type limitReader struct {
	reader io.Reader
	left   int
}

func (l *limitReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	if len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.reader.Read(p)
	l.left -= n
	return n, err
}
