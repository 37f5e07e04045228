package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/admission"
	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/claim"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// Book forwards one booking to the owner of its claim partition.
func (e *Entry) Book(ctx context.Context, r caller.BookRequest) (*caller.BookAnswer, *result.Error) {
	began := e.config.Clock.Boottime()
	s, refusal := serviceIn(e.config.State.View(), r.Service, settings.KindBooking)
	if refusal != nil {
		return nil, e.refused(refusal)
	}
	if _, err := claim.IssueTime(r.Key, e.config.Clock.Now()); err != nil {
		return nil, e.refused(result.From(err))
	}
	ticket, refusal := e.admit(s.Name, r.Caller)
	if refusal != nil {
		return nil, e.refused(refusal)
	}
	reply, refusal := e.forward(ctx, s, r, began)
	e.done(ticket, bookingOutcome(refusal))
	e.metrics.bookings.WithLabelValues(s.Name).Observe((e.config.Clock.Boottime() - began).Seconds())
	if refusal != nil {
		return nil, e.refused(refusal)
	}
	return &caller.BookAnswer{RequestID: r.RequestID, Key: r.Key, Body: caller.Body(reply.Body), Repeated: reply.Repeated}, nil
}

func bookingOutcome(refusal *result.Error) admission.Outcome {
	if refusal == nil {
		return admission.Good
	}
	switch refusal.Code {
	case result.QueueFull, result.TooLate, result.UpstreamShed:
		return admission.Congested
	default:
		return admission.Neutral
	}
}

// forward offers a booking to the owner of its partition. Only when it is
// certain that a broker did not take the booking is the next one asked.
func (e *Entry) forward(ctx context.Context, s *settings.Service, r caller.BookRequest, began time.Duration) (*peer.BookReply, *result.Error) {
	budget := budgetOf(s, r.Deadline)
	wall := e.config.Clock.Now().Add(budget)
	// A caller that hangs up does not withdraw its booking: the outcome is to be
	// recorded for its next request with the same key.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), wall)
	defer cancel()
	request := &peer.Book{Service: s.Name, Key: r.Key, Item: r.Item, DeadlineUnixMs: wall.UnixMilli()}
	tried := make(map[string]bool)
	var last *result.Error
	for {
		owner, ok := e.claimOwner(s.Name, r.Key, tried)
		left := began + budget - e.config.Clock.Boottime()
		switch {
		case !ok && last != nil:
			return nil, last
		case !ok:
			return nil, result.NotRun(result.NoReplica, "no broker is known for bookings")
		case left <= 0:
			return nil, result.NotRun(result.DeadlineExceeded, "no broker took the booking in time")
		}
		tried[owner.ID] = true
		request.RemainingMs = max(left.Milliseconds(), 1)
		reply, err := e.callBook(ctx, owner, request)
		if err == nil {
			return reply, nil
		}
		if err.Run != result.RunNo || err.Code != result.ConnectionLost && err.Code != result.NotOwner && err.Code != result.Stopping {
			return nil, err
		}
		last = err
		e.metrics.failovers.WithLabelValues(s.Name, codeLabel(err.Code)).Inc()
	}
}

// claimOwner returns the broker that owns the partition of a key, among those
// not tried. Brokers that are suspected, or whose status stream is lost, are
// asked last: ownership is for efficiency only, so another may be asked.
func (e *Entry) claimOwner(service, key string, tried map[string]bool) (control.Member, bool) {
	view := e.config.State.View()
	doubted := e.table.doubted(view)
	var members, doubtful []control.Member
	for _, m := range brokersIn(view) {
		switch {
		case tried[m.ID]:
		case doubted(m.ID):
			doubtful = append(doubtful, m)
		default:
			members = append(members, m)
		}
	}
	if len(members) == 0 {
		members = doubtful
	}
	return assign.Owner(members, claim.OwnerKey(service, claim.Partition(key)))
}

// callBook sends a booking to one broker. Once the frame is written, every
// failure to read its reply leaves the outcome unknown; peer.Node.Call is not
// used, because it reports a reply that does not parse as not run.
func (e *Entry) callBook(ctx context.Context, owner control.Member, request *peer.Book) (*peer.BookReply, *result.Error) {
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := e.config.Node.Open(opening, owner.Address, peer.KindBook)
	if err != nil {
		return nil, result.NotRun(result.ConnectionLost, "broker %s: %v", owner.ID, err)
	}
	defer stream.Cancel()
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	if err := stream.Send(request); err != nil {
		if e, ok := errors.AsType[*result.Error](err); ok && e.Code == result.TooLarge {
			return nil, e
		}
		return nil, unknownOutcome(owner, err)
	}
	_ = stream.CloseSend()
	var reply peer.BookReply
	if err := stream.Receive(&reply); err != nil {
		e.config.Node.Retest(owner.Address)
		return nil, unknownOutcome(owner, err)
	}
	if reply.Code != uint16(result.OK) {
		return nil, refusalOf(reply.Code, reply.Run, reply.Detail)
	}
	return &reply, nil
}

// openTimeout leaves time for another owner when the first cannot be reached.
const openTimeout = 250 * time.Millisecond

func unknownOutcome(owner control.Member, err error) *result.Error {
	return result.MayHaveRun(result.OutcomeUnknown, "broker %s: %v", owner.ID, err)
}
