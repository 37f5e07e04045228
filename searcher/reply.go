package searcher

import (
	"net/http"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// Reply is a complete reply of a searcher.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Metadata holds what the status and the platform's headers say about the reply.
	Metadata platform.ReplyMetadata
	// memory counts the reply against the budget of the process.
	memory *memory.Holder
}

// Release gives the memory of the reply back to the budget of the process. It is to be called
// when the reply is no longer needed, and can be called again.
func (r *Reply) Release() {
	if r != nil {
		r.memory.Release()
	}
}

// replyFailed reports a reply that failed with err, and returns the error for its exchange.
func (c *Conn) replyFailed(err error) error {
	c.mu.Lock()
	if errors.Is(c.err, ErrClosedLocally) {
		err = ErrClosedLocally
	}
	c.mu.Unlock()
	failed := &ReplyError{Cause: failureOf(err, c.bounded.ended), Read: c.bounded.read, err: err}
	if c.limits.ReplyFailed != nil {
		c.limits.ReplyFailed(failed)
	}
	return failed
}

// readReply reads one whole reply, whose memory holder counts. It also reports whether the
// connection must be closed after it, which is always true on an error. A reply that can't be an
// answer fails when its head is read. Of a refusal only the head is needed: a body that is long,
// or breaks off, is dropped with the connection.
func (c *Conn) readReply(e *Exchange, holder *memory.Holder) (*Reply, bool, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: e.Method})
	if err != nil {
		return nil, true, errors.Annotate(err, "read the head of the reply")
	}
	c.bounded.startBody()
	if response.StatusCode < http.StatusOK || response.StatusCode > maxFinalStatus {
		return nil, true, errors.Annotatef(errNoFinalStatus, "status %d", response.StatusCode)
	}
	reply := &Reply{
		Status:   response.StatusCode,
		Header:   response.Header,
		Metadata: platform.ReadReplyMetadata(response.StatusCode, response.Header),
		memory:   holder,
	}
	length, limit := response.ContentLength, int64(maxBodyBytes)
	if response.Body == http.NoBody {
		length = 0
	}
	if !reply.Usable() {
		limit = maxUnusedBodyBytes
		if length < 0 && !reply.Metadata.NotExecuted {
			return nil, true, errUnusable
		}
	}
	// The body is not closed: that would read on. A connection with an unread rest is closed.
	reply.Body, err = memory.ReadAll(response.Body, length, limit, holder)
	c.setIdleTimeout(keepAliveTimeout(response.Header.Get("Keep-Alive")))
	if err == nil && reply.Usable() && endsWithConnection(response) && !c.endedInOrder() {
		return nil, true, errReset
	}
	switch {
	case err == nil:
		return reply, response.Close, nil
	case reply.Metadata.NotExecuted:
		reply.Body = nil
		return reply, true, nil
	case !reply.Usable() && errors.Is(err, memory.ErrTooLarge):
		return nil, true, errUnusable
	case errors.Is(err, memory.ErrTooLarge):
		return nil, true, errTooLarge
	}
	return nil, true, errors.Annotate(err, "read the body of the reply")
}

// maxFinalStatus is the highest final status of HTTP.
const maxFinalStatus = 599

// Usable reports whether the reply can be an answer: it is signed and its body is as the searcher
// wrote it, and it is not a refusal.
func (r *Reply) Usable() bool {
	return !r.Metadata.NotExecuted && !r.Metadata.ContentEncoded && r.Metadata.Signature != ""
}
