package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
)

// cancelQueue holds the losers of one batch until its stream is open. A batch
// has few; one that finds no room is cancelled with the stream.
const cancelQueue = 16

// withdrawLinger is how long the stream of a batch stays open after its query
// for the replies of losers. They come within a round trip, and a price that is
// not returned only means fewer hedges.
const withdrawLinger = 50 * time.Millisecond

// batch is the parts of one query that go to one broker at one time, on a
// stream of their own. A hedge or a failover to the same broker is another
// batch, because a broker reads only Cancel frames after the first Batch.
type batch struct {
	broker  *broker
	parts   []peer.Part
	cancels chan uint32

	mu sync.Mutex
	// losers are the withdrawn parts whose hedge is refunded if their reply says
	// that they did not run.
	losers map[uint32]bool
}

func (q *query) newBatch(b *broker) *batch {
	return &batch{broker: b, cancels: make(chan uint32, cancelQueue), losers: make(map[uint32]bool)}
}

// cancelPart withdraws a part from the broker.
func (b *batch) cancelPart(id uint32) {
	select {
	case b.cancels <- id:
	default:
	}
}

// cancelLoser withdraws a part of a shard that another part has answered.
func (b *batch) cancelLoser(id uint32) {
	b.mu.Lock()
	b.losers[id] = true
	b.mu.Unlock()
	b.cancelPart(id)
}

// takeLoser reports whether the part lost against another one, once.
func (b *batch) takeLoser(id uint32) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	lost := b.losers[id]
	delete(b.losers, id)
	return lost
}

func (b *batch) awaitsLosers() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.losers) > 0
}

// send starts the stream of a batch. The frame is made here, since the query
// may change while the stream is opened.
func (q *query) send(b *batch) {
	frame := &peer.Batch{
		QueryID:        q.request.RequestID,
		Service:        q.service.Name,
		Query:          q.request.Query,
		DeadlineUnixMs: q.wall.UnixMilli(),
		RemainingMs:    max((q.deadline - q.now()).Milliseconds(), 1),
		Parts:          b.parts,
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(q.round))
	stop := context.AfterFunc(b.broker.session, cancel)
	stopRound := context.AfterFunc(q.round, func() {
		if b.awaitsLosers() {
			time.AfterFunc(withdrawLinger, cancel)
			return
		}
		cancel()
	})
	go func() {
		defer cancel()
		defer stop()
		defer stopRound()
		if err := q.exchange(ctx, b, frame); err != nil {
			q.post(event{batch: b, err: err})
		}
	}()
}

// exchange sends a batch and posts its replies. It returns when every part is
// answered, with nil, or when the stream fails.
func (q *query) exchange(ctx context.Context, b *batch, frame *peer.Batch) *result.Error {
	stream, err := q.entry.config.Node.Open(ctx, b.broker.member.Address, peer.KindBatch)
	if err != nil {
		return lost(b, err, result.RunNo)
	}
	defer stream.Cancel()
	defer context.AfterFunc(ctx, stream.Cancel)()
	if err := stream.Send(frame); err != nil {
		return lost(b, err, result.RunUnknown)
	}
	go b.sendCancels(ctx, stream)
	// A reply that came twice must not end the wait for another part.
	open := make(map[uint32]bool, len(frame.Parts))
	for _, p := range frame.Parts {
		open[p.ID] = true
	}
	for len(open) > 0 {
		var reply peer.PartReply
		if err := stream.Receive(&reply); err != nil {
			if ctx.Err() == nil {
				q.entry.config.Node.Retest(b.broker.member.Address)
			}
			return lost(b, err, result.RunUnknown)
		}
		if reply.QueryID == frame.QueryID {
			delete(open, reply.PartID)
		}
		if b.takeLoser(reply.PartID) {
			q.refund(&reply)
			continue
		}
		q.post(event{batch: b, reply: &reply})
	}
	_ = stream.CloseSend()
	return nil
}

// refund returns the price of a hedge if one of its two parts did not run: then
// it caused no extra load.
func (q *query) refund(r *peer.PartReply) {
	if r.QueryID != q.request.RequestID || r.Code == uint16(result.OK) || result.Run(r.Run) != result.RunNo {
		return
	}
	q.policy.mu.Lock()
	q.policy.Budget.Refund()
	q.policy.mu.Unlock()
	q.entry.metrics.hedgesRefunded.WithLabelValues(q.service.Name).Inc()
}

// lost returns the error of every part that a broken stream left open. A frame
// that is too large for the protocol keeps its own code.
func lost(b *batch, err error, run result.Run) *result.Error {
	if e, ok := errors.AsType[*result.Error](err); ok && e.Code == result.TooLarge {
		return e
	}
	return &result.Error{Code: result.ConnectionLost, Run: run, Detail: "broker " + b.broker.member.ID + ": " + err.Error()}
}

func (b *batch) sendCancels(ctx context.Context, stream *peer.Stream) {
	for {
		select {
		case id := <-b.cancels:
			if stream.Send(&peer.Cancel{PartIDs: []uint32{id}}) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// post hands an event to the query, unless the query is over.
func (q *query) post(ev event) {
	select {
	case q.events <- ev:
	case <-q.ctx.Done():
	}
}
