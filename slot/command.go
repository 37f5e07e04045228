package slot

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// WorkID names one piece of work. The user of a Searcher chooses it and never
// uses it twice.
type WorkID uint64

// ConnID names one connection. The Searcher chooses it and never uses it twice.
type ConnID uint64

// Action is what a Command asks for.
type Action uint8

// Actions of commands.
const (
	// Dispatch writes Work to Conn.
	Dispatch Action = iota + 1
	// Deliver hands the reply just reported to whoever asked for Work.
	Deliver
	// Fail ends Work for whoever asked for it, with Err.
	Fail
	// Open dials a connection, to be known as Conn.
	Open
	// Close closes Conn. It no longer counts as open.
	Close
	// Delete asks the upstream on Conn to cancel Work.
	Delete
	// ReadStatePage reads the state page on Conn.
	ReadStatePage
)

// Command is an output of a Searcher. Commands are carried out in order.
type Command struct {
	Action Action
	Work   WorkID
	Conn   ConnID
	Err    *result.Error
}

// OutcomeKind is how an exchange on a connection ended.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// Succeeded is a reply with the answer.
	Succeeded OutcomeKind = iota + 1
	// Failed is any other reply after which the upstream is done with the work.
	Failed
	// Shed is a refusal because the upstream has too much work.
	Shed
	// RefusedDraining is a refusal because the upstream is draining.
	RefusedDraining
	// NotWritten means that no byte of the request left this process.
	NotWritten
	// Broken means that the connection ended after the request was written.
	Broken
	// WorkUnknown answers a DELETE of work that the upstream does not have. It proves
	// nothing of the work, because its request may still be under way.
	WorkUnknown
)

// Outcome ends the exchange that is in progress on a connection.
type Outcome struct {
	Kind OutcomeKind
	// Latency is the time from dispatch to reply of a success.
	Latency time.Duration
	// Closed says that the connection cannot be used again.
	Closed bool
	// StatePage is the state page that was read, if any.
	StatePage *StatePage
	// Err is passed on for work that was not written or whose connection broke;
	// nil selects a general text.
	Err *result.Error
}

// StatePage is the part of an upstream's state page that bears on dispatching.
// The page lags and may be wrong, so that a report only ever lowers.
type StatePage struct {
	Draining bool
	// Load is the share of its capacity that the upstream uses. A value above
	// one lowers the allowance.
	Load float64
}
