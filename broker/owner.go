package broker

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/queue"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
	"github.com/wisteriawharf/wisteriawharf/slot"
)

const (
	// maxInterval bounds the time between readings of the grant.
	maxInterval = 100 * time.Millisecond
	// inboxSpare is the room of the inbox above the queue limit, for
	// cancellations and orders.
	inboxSpare = 256
	// eventsPerConn is more than a connection can report before the owner has
	// handled any of it.
	eventsPerConn = 4
)

// input is handled by the goroutine of an owner.
type input func(now time.Duration)

// owner runs the state machine of one searcher. All fields below the atomics
// belong to its goroutine.
type owner struct {
	broker  *Broker
	id      string
	address string
	// inbox carries what users ask for; a full one refuses. events carries what
	// connections report; nothing of it may be lost.
	inbox  *queue.Ring[input]
	events *queue.Ring[input]
	// idle receives after a release, once no work is left.
	idle    chan struct{}
	stopped chan struct{}
	state   atomic.Pointer[peer.SearcherState]
	status  atomic.Pointer[SearcherStatus]

	placement settings.Placement
	searcher  *slot.Searcher
	// workPrefix makes work ids unique over all owners and processes.
	workPrefix string
	jobs       map[slot.WorkID]*job
	links      map[slot.ConnID]*link
	lastWork   slot.WorkID
	reply      outcome
	snapshots  []peer.HeldSnapshot
	// slowdown is that of the searcher, siblings that of the service, as bits of
	// a float64.
	slowdown   atomic.Uint64
	siblings   atomic.Uint64
	handedOver bool
	retired    bool
}

func slotConfig(p settings.Placement) slot.Config {
	return slot.Config{Limits: p.Service.Limits, QueueLimit: p.Service.QueueLimit, Deadline: p.Service.Deadline}
}

func newOwner(b *Broker, p settings.Placement) (*owner, error) {
	searcher, err := slot.New(slotConfig(p))
	if err != nil {
		return nil, errors.Trace(err)
	}
	o := &owner{
		broker:     b,
		id:         p.ID,
		address:    p.Address,
		inbox:      queue.NewRing[input](p.Service.QueueLimit + inboxSpare),
		events:     queue.NewRing[input](eventsPerConn*p.Service.Limits.Connections + inboxSpare),
		idle:       make(chan struct{}, 1),
		stopped:    make(chan struct{}),
		placement:  p,
		searcher:   searcher,
		workPrefix: uuid.NewString(),
		jobs:       make(map[slot.WorkID]*job),
		links:      make(map[slot.ConnID]*link),
	}
	o.publish(b.config.Clock.Boottime())
	return o, nil
}

// run handles inputs until ctx ends or the searcher was retired and has no
// work left.
func (o *owner) run(ctx context.Context) {
	defer o.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.inbox.Ready():
		case <-o.events.Ready():
		case <-timer.C:
		}
		o.searcher.SetSiblingSlowdown(math.Float64frombits(o.siblings.Load()))
		o.handle(o.events)
		o.handle(o.inbox)
		o.slowdown.Store(math.Float64bits(o.searcher.Slowdown()))
		now := o.clock()
		o.carryOut(o.searcher.SetGrant(now, o.broker.config.Ownership.Grant(o.id)))
		o.carryOut(o.searcher.Tick(now))
		o.publish(now)
		if o.workEnded(now) && o.retired {
			return
		}
		timer.Reset(o.interval(now))
	}
}

// workEnded reports whether the upstream is done with all work, and tells a
// handover that waits for it.
func (o *owner) workEnded(now time.Duration) bool {
	if len(o.jobs) > 0 || o.searcher.State(now).Running > 0 {
		return false
	}
	if o.handedOver {
		select {
		case o.idle <- struct{}{}:
		default:
		}
	}
	return true
}

func (o *owner) clock() time.Duration { return o.broker.config.Clock.Boottime() }

func (o *owner) interval(now time.Duration) time.Duration {
	next, ok := o.searcher.NextTick()
	if !ok {
		return maxInterval
	}
	return min(max(next-now, 0), maxInterval)
}

// handle applies all inputs of a ring. The grant is read before each of them,
// because any input may cause a dispatch.
func (o *owner) handle(ring *queue.Ring[input]) {
	for {
		in, ok := ring.Pop()
		if !ok {
			return
		}
		now := o.clock()
		o.carryOut(o.searcher.SetGrant(now, o.broker.config.Ownership.Grant(o.id)))
		in(now)
	}
}

// close ends all connections and work when the owner's goroutine ends.
func (o *owner) close() {
	o.inbox.Close()
	close(o.stopped)
	for _, l := range o.links {
		l.close()
	}
	for id, j := range o.jobs {
		delete(o.jobs, id)
		if j.dispatched {
			j.finish(outcome{err: result.MayHaveRun(result.Stopping, "while it was in progress")})
		} else {
			o.broker.refuse(j, result.NotRun(result.Stopping, "while it was queued"))
		}
	}
	// An input that was queued last was not dispatched.
	for {
		in, ok := o.inbox.Pop()
		if !ok {
			break
		}
		in(math.MaxInt64)
	}
	o.broker.changes.notify()
	select {
	case o.broker.ended <- struct{}{}:
	default:
	}
}

func (o *owner) ended() bool {
	select {
	case <-o.stopped:
		return true
	default:
		return false
	}
}

// submit queues a job. It reports false if there is no room.
func (o *owner) submit(j *job) bool {
	return o.inbox.Push(func(now time.Duration) {
		if o.ended() {
			o.broker.refuse(j, result.NotRun(result.NotOwner, "%s", o.id))
			return
		}
		o.lastWork++
		j.id, j.queuedAt = o.lastWork, now
		j.workID = o.workID(j.id)
		o.jobs[j.id] = j
		o.carryOut(o.searcher.Submit(now, j.id, j.deadline))
	})
}

// cancel withdraws a job. If there is no room for it the job ends with its
// deadline.
func (o *owner) cancel(j *job) {
	o.inbox.Push(func(now time.Duration) {
		if !o.ended() && j.id != 0 {
			o.carryOut(o.searcher.Cancel(now, j.id))
		}
	})
}

// configure applies settings and orders.
func (o *owner) configure(p settings.Placement, blocked *result.Error) {
	o.inbox.Push(func(now time.Duration) {
		if o.ended() {
			return
		}
		o.placement = p
		commands, err := o.searcher.SetConfig(now, slotConfig(p))
		if err != nil {
			o.broker.config.Log.Error("limits are not usable, keeping the former", "searcher", o.id, "error", err)
		}
		o.carryOut(commands)
		o.retired = false
		switch {
		case o.handedOver:
		case blocked != nil:
			o.carryOut(o.searcher.Block(now, blocked))
		default:
			o.carryOut(o.searcher.Unblock(now))
		}
	})
}

// release stops new dispatches and signals idle when no work is left.
func (o *owner) release() {
	select {
	case <-o.idle: // of an earlier handover
	default:
	}
	o.inbox.Push(func(now time.Duration) {
		if o.ended() {
			return
		}
		o.handedOver = true
		o.carryOut(o.searcher.Block(now, result.NotRun(result.NotOwner, "%s is handed over", o.id)))
	})
}

// inherit applies the state that the former owner stated.
func (o *owner) inherit(r peer.ReleasedSearcher) {
	o.inbox.Push(func(now time.Duration) {
		if o.ended() {
			return
		}
		if o.handedOver {
			o.handedOver = false
			o.carryOut(o.searcher.Unblock(now))
		}
		o.carryOut(o.searcher.RestoreColdStart(now, r.Cold, int(r.Allowance)))
	})
}

// retire refuses new work and ends the owner after its last work.
func (o *owner) retire() {
	o.inbox.Push(func(now time.Duration) {
		if o.ended() {
			return
		}
		o.retired, o.handedOver = true, false
		o.carryOut(o.searcher.Block(now, result.NotRun(result.NotOwner, "%s", o.id)))
	})
}

// released returns the cold-start state for the next owner.
func (o *owner) released() peer.ReleasedSearcher {
	s := o.state.Load()
	return peer.ReleasedSearcher{ID: o.id, Cold: s.Cold, Allowance: int32(o.status.Load().Allowance)}
}
