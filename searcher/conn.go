// Package searcher holds HTTP/1.1 connections to searchers. It writes requests
// and reads replies itself: the transport of net/http resends a request by
// itself when a reused connection breaks, and it can't tell a reply to an
// earlier request from the expected one.
package searcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/platform"
)

const (
	// maxBodyBytes bounds the body of a reply.
	maxBodyBytes = 8 << 20
	// maxStrangers is how many replies to other requests are passed over while
	// the expected one is awaited.
	maxStrangers = 4
	// maxIdle bounds how long a connection without a stated timeout stays idle.
	maxIdle = 60 * time.Second
	// idleMargin is how much sooner than the searcher a connection is given up.
	idleMargin = 700 * time.Millisecond
	// writeTimeout bounds how long a searcher may take to receive a request.
	writeTimeout = 10 * time.Second
	readBuffer   = 4 << 10
)

// Errors of an exchange. Any error other than ErrNotWritten leaves open whether
// the searcher ran the request.
const (
	// ErrNotWritten reports that no byte of the request left this process.
	ErrNotWritten = errors.ConstError("request was not written")
	// ErrClosedLocally reports that the connection was closed here.
	ErrClosedLocally = errors.ConstError("connection was closed here")

	errUnasked  = errors.ConstError("searcher sent bytes that no request asked for")
	errTooLarge = errors.ConstError("reply is too large")
	errStranger = errors.ConstError("reply belongs to another request")
)

// Reply is a complete reply to the request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Metadata is what the head says beyond the status.
	Metadata platform.ReplyMetadata
}

// Exchange is a request and what to do with its reply.
type Exchange struct {
	// RequestID is the caller's identifier, which the reply repeats.
	RequestID string
	Method    string
	// RawRequest is the whole request.
	RawRequest []byte
	// Done is called once, from a goroutine of the connection. A reply is nil if
	// err is not. It must not block.
	Done func(reply *Reply, err error)
}

// Conn is one connection, on which one exchange runs at a time.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	// ended is called once when the connection is of no more use.
	ended func(*Conn)

	mu        sync.Mutex
	pending   *Exchange
	written   bool
	err       error
	idleUntil time.Time
}

// Dial connects to a searcher.
func Dial(ctx context.Context, address string, ended func(*Conn)) (*Conn, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return NewConn(raw, ended), nil
}

// NewConn returns a connection over raw. The function ended is called once, when
// the connection is of no more use.
func NewConn(raw net.Conn, ended func(*Conn)) *Conn {
	c := &Conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), ended: ended, idleUntil: time.Now().Add(maxIdle)}
	go c.read()
	return c
}

// Usable reports whether a request may be sent on the idle connection.
func (c *Conn) Usable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil && c.pending == nil && now.Before(c.idleUntil)
}

// Close ends the connection and any exchange on it.
func (c *Conn) Close() { c.fail(ErrClosedLocally) }

func (c *Conn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	e := c.pending
	c.pending = nil
	c.mu.Unlock()
	_ = c.raw.Close() // its error changes nothing: the connection is not used again
	c.ended(c)
	if e != nil {
		e.Done(nil, err)
	}
}

// Send writes a request. Done of the exchange is called in any case, also when
// Send returns while a long request is still being written.
func (c *Conn) Send(e *Exchange) {
	c.mu.Lock()
	if c.err != nil || c.pending != nil {
		c.mu.Unlock()
		e.Done(nil, ErrNotWritten)
		return
	}
	c.pending = e
	// A short request leaves in one piece, so that a reply to it can't come before its
	// end.
	c.written = len(e.RawRequest) <= maxInlineWrite
	c.mu.Unlock()
	if len(e.RawRequest) > maxInlineWrite {
		go c.write(e)
		return
	}
	c.write(e)
}

// maxInlineWrite is the largest request that fits the send buffer of a new
// connection, so that writing it does not wait for the searcher.
const maxInlineWrite = 4 << 10

func (c *Conn) write(e *Exchange) {
	// An error here shows in the write.
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.raw.Write(e.RawRequest)
	if err != nil {
		if n == 0 {
			err = errors.WithType(errors.Trace(err), ErrNotWritten)
		}
		c.failUnlessReplied(e, err)
		return
	}
	c.mu.Lock()
	if c.pending == e {
		c.written = true
	}
	c.mu.Unlock()
}

// failUnlessReplied ends the connection after a write failed. A searcher may
// have replied before it read the whole request, so what it sent is read first.
func (c *Conn) failUnlessReplied(e *Exchange, err error) {
	time.Sleep(replyAfterReset)
	c.mu.Lock()
	waiting := c.pending == e
	c.mu.Unlock()
	if waiting {
		c.fail(err)
	}
}

// replyAfterReset is how long a reply that came before a failed write may take to
// be read.
const replyAfterReset = 5 * time.Millisecond

func (c *Conn) current() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// read reads replies. Between exchanges it watches for the end of the
// connection and for bytes that nobody asked for.
func (c *Conn) read() {
	strangers := 0
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.fail(errors.Annotate(err, "waiting for a reply"))
			return
		}
		e := c.current()
		if e == nil {
			c.fail(errUnasked)
			return
		}
		reply, closes, err := c.readReply(e)
		if err == nil && e.RequestID != "" && reply.Metadata.RequestID != "" && reply.Metadata.RequestID != e.RequestID {
			strangers++
			err = errStranger
			if strangers <= maxStrangers && !closes {
				continue
			}
		}
		if err != nil {
			c.fail(err)
			return
		}
		if !c.finish(e, closes || strangers > 0 || c.reader.Buffered() > 0) {
			e.Done(reply, nil)
			return
		}
		e.Done(reply, nil)
	}
}

// finish ends the exchange and reports whether the connection can be used again.
func (c *Conn) finish(e *Exchange, closes bool) bool {
	c.mu.Lock()
	closes = closes || !c.written
	if c.err != nil {
		c.mu.Unlock()
		return false
	}
	if c.pending == e {
		c.pending = nil
	}
	c.mu.Unlock()
	if closes {
		c.fail(ErrClosedLocally)
		return false
	}
	return true
}

// readReply reads one whole reply. It reports whether the connection ends with
// it.
func (c *Conn) readReply(e *Exchange) (*Reply, bool, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: e.Method})
	if err != nil {
		return nil, true, errors.Annotate(err, "head of the reply")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusOK {
		return nil, true, errors.Errorf("interim status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return nil, true, errors.Annotate(err, "body of the reply")
	}
	if len(body) > maxBodyBytes {
		return nil, true, errTooLarge
	}
	reply := &Reply{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
		Metadata:   platform.ReadReplyMetadata(response.StatusCode, response.Header),
	}
	c.keepFor(keepAliveTimeout(response.Header.Get("Keep-Alive")))
	return reply, response.Close, nil
}

func (c *Conn) keepFor(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleUntil = time.Now().Add(d)
}

// keepAliveTimeout returns how long a connection may be idle, from the header of
// a reply.
func keepAliveTimeout(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			d := time.Duration(s) * time.Second
			return min(max(d-idleMargin, d/4), maxIdle)
		}
	}
	return maxIdle
}
