package searcher

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/memory"
)

// Failure says why an exchange has no reply.
type Failure int

// Kinds of failures.
const (
	// BrokeOff: the connection ended before the whole reply came.
	BrokeOff Failure = iota + 1
	// ClosedLocally: this process closed the connection.
	ClosedLocally
	// TooLarge: the reply is larger than any answer may be.
	TooLarge
	// Malformed: the bytes are no reply to a request.
	Malformed
	// Unusable: the head of the reply shows that it can't be an answer.
	Unusable
	// NoMemory: the memory budget of the process did not have the bytes for the reply.
	NoMemory
)

// String returns the name of the failure as it stands in logs and metrics.
func (f Failure) String() string {
	return [...]string{"none", "broke off", "closed here", "too large", "malformed", "unusable", "no memory"}[f]
}

// ReplyError is the error of an exchange whose reply failed after its first byte.
type ReplyError struct {
	Cause Failure
	// Read is the number of bytes that were read of the reply.
	Read int64
	err  error
}

// Error implements error.
func (e *ReplyError) Error() string {
	return fmt.Sprintf("%s after %d bytes: %v", e.Cause, e.Read, e.err)
}

// Unwrap returns the error that ended the reply.
func (e *ReplyError) Unwrap() error { return e.err }

// failureOf returns the kind of failure that an error stands for. ended says that the connection
// ended by then: a reply that is cut off may look malformed.
func failureOf(err error, ended bool) Failure {
	switch {
	case errors.Is(err, ErrClosedLocally):
		return ClosedLocally
	case errors.Is(err, memory.ErrExhausted):
		return NoMemory
	case errors.Is(err, errTooLarge):
		return TooLarge
	case errors.Is(err, errUnusable):
		return Unusable
	case ended:
		return BrokeOff
	}
	return Malformed
}
