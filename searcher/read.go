package searcher

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// current returns the exchange in progress, nil if there is none or its request is not being
// written yet, so that no reply to it can have come.
func (c *Conn) current() *Exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		return nil
	}
	return c.pending
}

// read reads replies until the connection is closed, and calls Done of the exchange in
// progress with each reply to it. It closes the connection if the searcher has closed its
// end, bytes arrive that belong to no exchange, or a reply is malformed, is too large or asks
// for it. After a reply to another request, or one that does not state its request, the
// connection runs no further exchange: a repeat of it could not be told from the next reply.
func (c *Conn) read() {
	skipped := 0
	for {
		holder := c.limits.Memory.Hold()
		c.bounded.startHead(holder)
		if _, err := c.reader.Peek(1); err != nil {
			holder.Release()
			c.fail(errors.Annotate(err, "wait for a reply"))
			return
		}
		e := c.current()
		if e == nil {
			holder.Release()
			c.fail(errUnsolicited)
			return
		}
		reply, mustClose, err := c.readReply(e, holder)
		if err == nil && reply.Metadata.RequestID != "" && reply.Metadata.RequestID != e.RequestID {
			skipped++
			err = errWrongRequest
			if skipped <= maxSkippedReplies && !mustClose {
				reply.Release()
				continue
			}
		}
		if err != nil {
			holder.Release()
			c.fail(c.replyFailed(err))
			return
		}
		unidentified := reply.Metadata.RequestID == "" && e.RequestID != ""
		if !c.finish(e, mustClose || unidentified || skipped > 0 || c.reader.Buffered() > 0) {
			e.Done(reply, nil)
			return
		}
		e.Done(reply, nil)
	}
}

// finish ends the exchange and reports whether the connection can be used again. If mustClose
// is true or the request is not fully written yet, it closes the connection. It does not call
// Done.
func (c *Conn) finish(e *Exchange, mustClose bool) bool {
	c.mu.Lock()
	mustClose = mustClose || !c.written
	c.replied = true
	if c.err != nil {
		c.mu.Unlock()
		return false
	}
	if c.pending == e {
		c.pending = nil
	}
	if c.writer == e {
		c.writer = nil
	}
	c.mu.Unlock()
	if mustClose {
		c.fail(ErrClosedLocally)
		return false
	}
	return true
}

// setIdleTimeout sets for how long from now the connection may stay idle and be used again.
func (c *Conn) setIdleTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reusableUntil = time.Now().Add(d)
}

// keepAliveTimeout returns how long an idle connection stays usable, given the Keep-Alive
// header of a reply: the stated timeout less idleMargin, but at least a quarter of the
// timeout and at most maxIdle. It returns maxIdle if no valid timeout is stated.
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
