package dispatch

import (
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/searcher"
)

// Outcome says what became of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered: the searcher ran the request and succeeded.
	Answered Outcome = iota + 1
	// Failed: the searcher ran the request and replied with a failure.
	Failed
	// Refused: the searcher replied that it has not run the request and will not.
	Refused
	// Broken: there is no reply to rely on. The request may have run.
	Broken
	// Unsent: the request was not sent.
	Unsent
)

// String returns the outcome for logs and metrics.
func (o Outcome) String() string {
	return [...]string{"none", "answered", "failed", "refused", "broken", "unsent"}[o]
}

// MayHaveRun reports whether the request may have run.
func (o Outcome) MayHaveRun() bool { return o != Refused && o != Unsent }

// Event is the end of an attempt.
type Event struct {
	Attempt *Attempt
	Outcome Outcome
	// Reply is set if the outcome is Answered, Failed or Refused.
	Reply *searcher.Reply
	// Latency is the time from the choice of the searcher to the outcome.
	Latency time.Duration
}

// Kind says what an attempt is made for.
type Kind int

// Kinds of attempts.
const (
	// First repeats nothing: no searcher has got the request.
	First Kind = iota
	// TransparentRetry follows an attempt that was not sent.
	TransparentRetry
	// Retry follows one that failed.
	Retry
	// LateRetry follows one that failed, when the answer comes late anyway.
	LateRetry
	// Hedge is made beside one that is slow.
	Hedge
)

// UsesRetryBudget reports whether a searcher may have got the request before, so that the
// attempt is paid from the budget of repeats.
func (k Kind) UsesRetryBudget() bool { return k == Retry || k.Optional() }

// Optional reports whether the attempt could be done without.
func (k Kind) Optional() bool { return k == LateRetry || k == Hedge }

// Request is what an attempt sends.
type Request struct {
	Service   string
	Regions   []string
	RequestID string
	Method    string
	// Encode returns the whole request for a searcher with the time that is left.
	Encode func(searcherID string, left time.Duration) []byte
	// Deadline is when the request is of no more use.
	Deadline time.Duration
	// LatencyTarget is the time within which the answer is to be given, from the arrival of the
	// request, DueBy when that time ends.
	LatencyTarget   time.Duration
	DueBy time.Duration
	// Rank orders requests that wait, the lowest first.
	Rank float64
	// Avoid holds the searchers that must not get it.
	Avoid []string
	Kind  Kind
	// Tag is for the caller.
	Tag int
	// OnEnd is called once, unless the attempt is cancelled or abandoned before.
	// It must not block.
	OnEnd func(Event)
}

// Attempt is one sending of a request to one searcher.
type Attempt struct {
	Request
	d       *Dispatcher
	service *service
	target  *target
	conn    *connection
	sent    time.Duration
	// outstanding is the number of requests that the searcher had when this one was
	// sent, itself included.
	outstanding int
	// silenced says that nobody waits for the outcome, closed that the attempt has
	// ended.
	silenced bool
	closed   bool
}

// classify returns the outcome of an exchange.
func classify(reply *searcher.Reply, err error) Outcome {
	switch {
	case errors.Is(err, searcher.ErrNotWritten):
		return Unsent
	case err != nil:
		return Broken
	case reply.Says.NotExecuted:
		return Refused
	case reply.Says.Encoded || reply.Says.Signature == "":
		return Broken
	case reply.Status/100 == 2:
		return Answered
	}
	return Failed
}
