package broker

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/queue"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/slot"
	"github.com/wisteriawharf/wisteriawharf/upstream"
)

// eventRetryDelay is the wait before an event is offered again to an owner that
// has not kept up. Events are bounded by the connections, so that this is rare.
const eventRetryDelay = time.Millisecond

// link runs one connection of an owner. Exchanges are sent to it one at a time.
type link struct {
	owner     *owner
	id        slot.ConnID
	exchanges *queue.Ring[exchange]
	ctx       context.Context
	close     context.CancelFunc
}

// exchange is one request on a connection and what its end means.
type exchange struct {
	// check is called immediately before the write and may prevent it.
	check func() *result.Error
	build func(address string) (*upstream.Request, error)
	// read takes from a reply what it means for the slots and for the job.
	read func(upstream.Reply) (slot.Outcome, outcome)
}

func newLink(o *owner, id slot.ConnID) *link {
	l := &link{owner: o, id: id, exchanges: queue.NewRing[exchange](1)}
	l.ctx, l.close = context.WithCancel(context.Background())
	go l.run()
	return l
}

// send starts an exchange. The state machine sends only to idle connections.
func (l *link) send(e exchange) {
	if !l.exchanges.Push(e) {
		panic("broker: exchange sent on a connection in use")
	}
}

// post hands an event to the owner. Events after the link was closed are void.
func (l *link) post(in input) {
	for l.ctx.Err() == nil && !l.owner.events.Push(in) {
		time.Sleep(eventRetryDelay)
	}
}

func (l *link) run() {
	o := l.owner
	conn, err := upstream.Dial(l.ctx, o.address)
	if err != nil {
		o.broker.config.Log.Debug("searcher does not accept connections", "searcher", o.id, "error", err)
		l.post(func(now time.Duration) { l.forget(); o.carryOut(o.searcher.OpenFailed(now, l.id)) })
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(l.ctx, conn.Close)
	defer stop()
	l.post(func(now time.Duration) { o.carryOut(o.searcher.Opened(now, l.id)) })
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-conn.Done():
			if e, ok := l.exchanges.Pop(); ok {
				l.exchange(conn, e)
				return
			}
			o.broker.config.Log.Debug("idle connection ended", "searcher", o.id, "error", conn.Err())
			l.post(func(now time.Duration) { l.lost(now) })
			return
		case <-l.exchanges.Ready():
			if e, ok := l.exchanges.Pop(); ok && !l.exchange(conn, e) {
				return
			}
		}
	}
}

// lost reports the end of an idle connection. An exchange that was sent
// meanwhile was not written.
func (l *link) lost(now time.Duration) {
	o := l.owner
	if _, ok := l.exchanges.Pop(); ok {
		l.ended(now, slot.Outcome{Kind: slot.NotWritten, Closed: true}, outcome{})
		return
	}
	l.forget()
	o.carryOut(o.searcher.ConnectionEnded(now, l.id))
}

// forget removes the link from its owner's connections.
func (l *link) forget() {
	l.close()
	delete(l.owner.links, l.id)
}

func (l *link) ended(now time.Duration, end slot.Outcome, reply outcome) {
	o := l.owner
	if _, ok := o.links[l.id]; !ok {
		return
	}
	if end.Closed || end.Kind == slot.Broken {
		l.forget()
	}
	o.reply = reply
	o.carryOut(o.searcher.ExchangeEnded(now, l.id, end))
}

// exchange carries out e and reports its end. It returns false if the
// connection cannot be used again.
func (l *link) exchange(conn *upstream.Conn, e exchange) bool {
	start := l.owner.clock()
	end, reply, page := l.roundTrip(conn, e)
	l.post(func(now time.Duration) {
		if end.Kind == slot.Succeeded {
			end.Latency = now - start
		}
		if page != nil {
			l.owner.snapshots = page.Snapshots
		}
		l.ended(now, end, reply)
	})
	return !end.Closed && end.Kind != slot.Broken
}

func (l *link) roundTrip(conn *upstream.Conn, e exchange) (slot.Outcome, outcome, *upstream.State) {
	request, err := e.build(l.owner.address)
	if err != nil {
		return notWritten(result.NotRun(result.Malformed, "%v", err)), outcome{}, nil
	}
	if e.check != nil {
		if err := e.check(); err != nil {
			return notWritten(err), outcome{}, nil
		}
	}
	reply, err := conn.Exchange(request)
	switch {
	case errors.Is(err, upstream.ErrNotWritten):
		return slot.Outcome{Kind: slot.NotWritten, Closed: true, Err: result.NotRun(result.ConnectionLost, "%v", err)}, outcome{}, nil
	case err != nil:
		return slot.Outcome{Kind: slot.Broken, Err: result.MayHaveRun(result.ConnectionLost, "%v", err)}, outcome{}, nil
	}
	end, out := e.read(reply)
	end.Closed = reply.Closed
	return end, out, reply.State
}

// notWritten leaves the connection as it was.
func notWritten(err *result.Error) slot.Outcome {
	return slot.Outcome{Kind: slot.NotWritten, Err: err}
}

// workExchange dispatches a job. The right to do so is checked once more
// immediately before the write, in the goroutine that writes.
func (o *owner) workExchange(j *job, cold bool) exchange {
	limits := o.placement.Service.Limits
	clock := o.broker.config.Clock
	return exchange{
		check: func() *result.Error {
			grant := o.broker.config.Ownership.Grant(o.id)
			if grant.Slots(limits) == 0 || grant.WarmOnly && cold {
				return result.NotRun(result.NoRight, "lost before the request was written")
			}
			if clock.Boottime() >= j.deadline {
				return result.NotRun(result.DeadlineExceeded, "before the request was written")
			}
			return nil
		},
		build: func(address string) (*upstream.Request, error) {
			remaining := max(j.deadline-clock.Boottime(), 0)
			return j.build(address, j.workID, upstream.Deadline{Remaining: remaining, UnixMs: j.unixMs})
		},
		read: func(r upstream.Reply) (slot.Outcome, outcome) { return readWork(j, r) },
	}
}

func readWork(j *job, r upstream.Reply) (slot.Outcome, outcome) {
	switch r.Status {
	case http.StatusOK:
		return slot.Outcome{Kind: slot.Succeeded}, j.read(r)
	case http.StatusGone:
		return slot.Outcome{Kind: slot.Failed}, outcome{err: result.NotRun(result.SnapshotGone, "")}
	case http.StatusTooManyRequests:
		return slot.Outcome{Kind: slot.Shed}, outcome{err: result.NotRun(result.UpstreamShed, "")}
	case http.StatusServiceUnavailable:
		return slot.Outcome{Kind: slot.RefusedDraining}, outcome{err: result.NotRun(result.UpstreamDraining, "")}
	case http.StatusGatewayTimeout:
		return slot.Outcome{Kind: slot.Failed}, outcome{err: result.NotRun(result.DeadlineExceeded, "at the upstream")}
	default:
		return slot.Outcome{Kind: slot.Failed}, outcome{err: result.MayHaveRun(result.OutcomeUnknown, "upstream answered status %d", r.Status)}
	}
}

func deleteExchange(workID string) exchange {
	return exchange{
		build: func(address string) (*upstream.Request, error) { return upstream.NewDeleteRequest(address, workID) },
		read: func(r upstream.Reply) (slot.Outcome, outcome) {
			if r.Status == http.StatusOK && !r.Cancelled {
				return slot.Outcome{Kind: slot.WorkUnknown}, outcome{}
			}
			return succeededOr(r), outcome{}
		},
	}
}

func stateExchange() exchange {
	return exchange{
		build: upstream.NewStateRequest,
		read: func(r upstream.Reply) (slot.Outcome, outcome) {
			end := succeededOr(r)
			if r.State != nil {
				end.StatePage = &slot.StatePage{Draining: r.State.Draining, Load: r.State.Load}
			}
			return end, outcome{}
		},
	}
}

func succeededOr(r upstream.Reply) slot.Outcome {
	if r.Status == http.StatusOK {
		return slot.Outcome{Kind: slot.Succeeded}
	}
	return slot.Outcome{Kind: slot.Failed}
}
