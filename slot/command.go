package slot

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// WorkID identifies one piece of work. The caller of a Searcher chooses it and never uses
// it twice.
type WorkID uint64

// ConnID identifies one connection. The Searcher chooses it and never uses it twice.
type ConnID uint64

// Action is the kind of a Command.
type Action uint8

// The actions that a Searcher asks for.
const (
	// Dispatch writes Work to Conn.
	Dispatch Action = iota + 1
	// Deliver passes the reply just reported by ExchangeEnded to the requester of Work.
	Deliver
	// Fail ends Work for its requester with Err.
	Fail
	// Open dials a connection that gets the identifier Conn.
	Open
	// Close closes Conn. The Searcher ignores later events of Conn.
	Close
	// Delete sends a DELETE on Conn that asks the upstream to cancel Work.
	Delete
	// ReadStatePage reads the upstream's state page on Conn.
	ReadStatePage
)

// Command is an output of a Searcher. The caller must carry out commands in order. Fields
// that the description of the action does not mention are zero.
type Command struct {
	Action Action
	Work   WorkID
	Conn   ConnID
	Err    *result.Error
}

// OutcomeKind classifies how an exchange on a connection ended.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	// Succeeded means that the upstream replied with the answer. For a DELETE, it means
	// that the upstream cancelled the work.
	Succeeded OutcomeKind = iota + 1
	// Failed means that the upstream replied without an answer, and that neither Shed nor
	// RefusedDraining applies. If the exchange dispatched work, the upstream is done with
	// it. If the exchange was a DELETE, the upstream may still be running the work.
	Failed
	// Shed means that the upstream refused because it has too much work.
	Shed
	// RefusedDraining means that the upstream refused because it is draining.
	RefusedDraining
	// NotWritten means that no byte of the request left this process.
	NotWritten
	// Broken means that the connection ended after the request was written.
	Broken
	// WorkUnknown means that the upstream answered a DELETE but does not have the work.
	// This proves nothing about the work, because its request may still be on the way.
	WorkUnknown
)

// Outcome describes the end of the exchange in progress on a connection. An exchange is
// one request and its reply: dispatched work, a DELETE or a read of the state page.
type Outcome struct {
	Kind OutcomeKind
	// Latency is the time from the start of the exchange to its reply. It is set if Kind
	// is Succeeded.
	Latency time.Duration
	// Closed reports that the connection cannot be used again. It need not be set if Kind
	// is Broken.
	Closed bool
	// StatePage is the state page that was read, or nil.
	StatePage *StatePage
	// Err is the error for the requester if Kind is NotWritten or Broken. If it is nil,
	// an error with the code result.ConnectionLost is used.
	Err *result.Error
}

// StatePage holds the fields of an upstream's state page that affect dispatching. The
// page lags and may be wrong, so it can lower the allowance but never raise it.
type StatePage struct {
	Draining bool
	// Load is the share of its capacity that the upstream uses. A value above one
	// lowers the allowance.
	Load float64
}
