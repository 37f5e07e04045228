package dispatch

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/cost"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered: the searcher ran the request and succeeded.
	Answered Outcome = iota + 1
	// Failed: the searcher ran the request and replied with a failure.
	Failed
	// Refused: the searcher replied that it has not run the request and will not run it.
	Refused
	// Broken: there is no reply, or none that can be trusted. The request may have run.
	Broken
	// Unsent: the request was not sent.
	Unsent
)

// String returns the name of the outcome as it stands in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"none", "answered", "failed", "refused", "broken", "unsent"}[o]
}

// MayHaveRun reports whether a searcher may have run the request.
func (o Outcome) MayHaveRun() bool { return o != Refused && o != Unsent }

// Event reports the end of an attempt.
type Event struct {
	Attempt *Attempt
	Outcome Outcome
	// Reply is the searcher's reply. It is set if the outcome is Answered, Failed or
	// Refused, and also for a Broken attempt if a reply came that can't be trusted. The
	// receiver of an Answered or Failed event releases it.
	Reply *searcher.Reply
	// Latency is the time from the choice of the searcher to the outcome. It is zero if
	// the request was never handed to a connection.
	Latency time.Duration
	// Stalled says that this process was stalled meanwhile, so that Latency says nothing of the
	// searcher.
	Stalled bool
}

// Kind is the reason why an attempt is made.
type Kind int

// Kinds of attempts.
const (
	// First is the first attempt: no searcher has got the request.
	First Kind = iota
	// TransparentRetry follows an attempt that was not sent: no searcher has got the
	// request.
	TransparentRetry
	// Retry follows an attempt that failed.
	Retry
	// LateRetry follows an attempt that failed, when the answer can no longer meet the
	// latency target.
	LateRetry
	// Hedge runs in parallel with an attempt that is slow.
	Hedge
)

// String returns the name of the kind as it stands in metrics.
func (k Kind) String() string {
	return [...]string{"first", "transparent retry", "retry", "late retry", "hedge"}[k]
}

// UsesRetryBudget reports whether the attempt takes a token from the retry budget. It
// does if a searcher may have got the request before.
func (k Kind) UsesRetryBudget() bool { return k == Retry || k.Optional() }

// Optional reports whether the attempt can be left out. It isn't made while the service is
// busy or its retry budget is low, and it isn't queued if no searcher has room.
func (k Kind) Optional() bool { return k == LateRetry || k == Hedge }

// Request describes a request to send and how to choose the searcher for it.
type Request struct {
	Service string
	// Route is the name of the route, by which roll-outs compare versions.
	Route string
	// Regions holds the regions that the searcher may be in; empty means any region.
	Regions   []string
	RequestID string
	Method    string
	// Encode returns the bytes of the whole request for a searcher, given the time that
	// is left until the deadline. Size is about how many they are.
	Encode func(searcherID string, left time.Duration) []byte
	Size   int
	// Deadline is the time on the boot clock when the request expires. It isn't sent after
	// that.
	Deadline time.Duration
	// LatencyTarget is the time within which the answer is due, counted from the arrival
	// of the caller's request. DueBy is the time on the boot clock when the answer is due.
	LatencyTarget time.Duration
	DueBy         time.Duration
	// CostKind says which requests are expected to cost the searchers as much as this one.
	CostKind cost.Kind
	// Rank, between 0 and 1, orders queued requests: the lowest goes first. If the
	// searchers lack room, requests with high ranks may not be queued.
	Rank float64
	// Avoid holds the IDs of the searchers that must not get the request.
	Avoid []string
	// Earlier holds the ended attempts of the same request. Their connections are not used
	// for it again, because a late repeat of the earlier reply would be taken for the reply
	// to this attempt.
	Earlier []*Attempt
	Kind    Kind
	// RunOnce says that the request may run only once, so that it is worth a wait to know whether
	// it was sent.
	RunOnce bool
	// Wanted reports whether the caller still waits. It is asked before the request is sent if this
	// process was stalled since the attempt was made: what it would have noticed may lie unread. Nil
	// means that the caller waits.
	Wanted func() bool
	// Tag is not used by the dispatcher. The caller can tell its attempts apart by it.
	Tag int
	// OnEnd is called once when the attempt has ended, unless it is cancelled or
	// abandoned before. It may be called before Start returns. It must not block.
	OnEnd func(Event)
}

// Attempt is one try to run a request on one searcher.
type Attempt struct {
	Request
	d       *Dispatcher
	service *service
	target  *target
	conn    *connection
	// startedAt is when the attempt was made, chosenAt when the searcher was chosen.
	startedAt time.Duration
	chosenAt  time.Duration
	// searcherID and address are those of the chosen searcher. They don't change once it is
	// chosen, while the target follows its entry.
	searcherID string
	address    string
	// outstanding is the number of requests from this instance that the searcher had not
	// answered when it was chosen for this one, this one included.
	outstanding int
	// work is what the searcher is expected to do for the request. dialTook is the time from the choice of
	// the searcher until a connection was opened for it, zero if it got an idle one.
	work     cost.Request
	dialTook time.Duration
	// rateLimited says that the attempt counts against the searcher's rate limit, cold that
	// it counts against the limit of a cold searcher.
	rateLimited bool
	cold        bool
	// order counts under the order that ran when the searcher was chosen, nil if none did.
	// toOrdered says that the searcher is of its target version, versionObserved that the end
	// of the attempt was counted.
	order           *orderCounts
	toOrdered       bool
	versionObserved bool
	// queued says that the attempt is or was in the queue.
	queued bool
	// detached says that the attempt was cancelled or abandoned, so that its outcome is
	// not reported. finished says that the attempt has ended, with outcome.
	detached bool
	finished bool
	outcome  Outcome
	// encoded says that the request was handed out to be written. It is not once the attempt is
	// detached.
	encoded bool
}

// carriedBy reports whether a connection was used for an earlier attempt of the request.
func (r *Request) carriedBy(c *connection) bool {
	return slices.ContainsFunc(r.Earlier, func(a *Attempt) bool { return a.conn == c })
}

// classify returns the outcome of an exchange from its reply or its error. A reply that
// has a content encoding or no signature counts as Broken, unless it is Refused.
func classify(reply *searcher.Reply, err error) Outcome {
	switch {
	case errors.Is(err, searcher.ErrNotWritten):
		return Unsent
	case err != nil:
		return Broken
	case reply.Metadata.NotExecuted:
		return Refused
	case !reply.Usable():
		return Broken
	case reply.Status/100 == 2:
		return Answered
	}
	return Failed
}
