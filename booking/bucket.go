package booking

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/claim"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/queue"
	"github.com/wisteriawharf/wisteriawharf/result"
)

const (
	// platformTimeout bounds one call, so that a slow platform leaves time to
	// refuse a booking truthfully before its deadline.
	platformTimeout = 800 * time.Millisecond
	// outcomeDelay is how long outcomes wait for others to share their write.
	outcomeDelay = 200 * time.Millisecond
	// retryDelay spaces attempts after a conflict or a failed read.
	retryDelay = 5 * time.Millisecond
	// outageDelay spaces attempts to write outcomes while the platform is away.
	outageDelay = time.Second
	// bucketIdle is how long a bucket without work stays in memory.
	bucketIdle = 30 * time.Second
)

// bucket drives the claims of one object. Its goroutine alone uses the state
// machine.
type bucket struct {
	service  *Service
	name     string
	claims   *claim.Bucket
	jobs     map[string]*job // by attempt
	inbox    *queue.Ring[*job]
	finished *queue.Ring[finished]
	// flushAt is when outcomes are written at the latest.
	flushAt time.Duration
}

// finished is the end of a dispatched booking.
type finished struct {
	job     *job
	outcome claim.Outcome
}

func newBucket(s *Service, name string) *bucket {
	return &bucket{
		service:  s,
		name:     name,
		claims:   claim.NewBucket(),
		jobs:     make(map[string]*job),
		inbox:    queue.NewRing[*job](inboxCapacity),
		finished: queue.NewRing[finished](maxInFlight),
	}
}

func (b *bucket) run(ctx context.Context) {
	defer b.service.running.Done()
	timer := time.NewTimer(bucketIdle)
	defer timer.Stop()
	stop := b.service.stop
	for {
		select {
		case <-stop:
			stop = nil
		case <-b.inbox.Ready():
		case <-b.finished.Ready():
		case <-timer.C:
			if b.claims.Idle() && b.service.retire(b) {
				return
			}
		}
		b.takeFinished()
		b.takeRequests()
		wait := b.work(ctx)
		if b.service.stopping() && b.settled(wait) && b.service.retire(b) {
			return
		}
		timer.Reset(wait)
	}
}

// settled reports whether a stopping process has nothing more to do here.
// Outcomes that cannot be written are given up: their claims stay, so a repeat
// learns that the booking may have run.
func (b *bucket) settled(wait time.Duration) bool {
	return b.claims.Idle() || wait == outageDelay && b.claims.Running() == 0
}

func (b *bucket) takeRequests() {
	for {
		j, ok := b.inbox.Pop()
		if !ok {
			return
		}
		b.jobs[j.Attempt] = j
		b.claims.Submit(j.Request)
	}
}

func (b *bucket) takeFinished() {
	for {
		f, ok := b.finished.Pop()
		if !ok {
			return
		}
		if !b.claims.HasOutcomes() {
			b.flushAt = b.now() + outcomeDelay
		}
		b.claims.Finish(f.job.Request, f.outcome)
	}
}

// work reads, decides and writes until no request waits for the platform. It
// returns how long the bucket may wait for the next event.
func (b *bucket) work(ctx context.Context) time.Duration {
	for {
		if !b.claims.Loaded() && !b.read(ctx) {
			if !b.claims.HasWaiting() {
				return outageDelay
			}
			pause(retryDelay)
			continue
		}
		b.act(b.claims.Decide(b.now()))
		if !b.claims.Loaded() {
			continue
		}
		if wait := b.untilWrite(); wait > 0 {
			return wait
		}
		b.write(ctx)
	}
}

// untilWrite returns how long the bucket may wait before it has to write. Claims
// are written at once; outcomes wait for claims or other outcomes to share a
// write with.
func (b *bucket) untilWrite() time.Duration {
	switch {
	case b.claims.HasWaiting():
		return 0
	case b.claims.HasOutcomes() && b.service.stopping():
		return 0
	case b.claims.HasOutcomes():
		return max(0, b.flushAt-b.now())
	case b.service.stopping():
		return retryDelay
	default:
		return bucketIdle
	}
}

func (b *bucket) now() time.Duration { return b.service.config.Clock.Boottime() }

// read loads the object. When the platform does not answer, all requests that
// wait for a claim are refused: no attempt is dispatched without a confirmed
// claim.
func (b *bucket) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	o, err := b.service.config.Store.Get(ctx, b.name)
	if errors.Is(err, objectstore.ErrNotFound) {
		o, err = objectstore.Object{}, nil
	}
	if err != nil {
		b.act(b.claims.RefuseWaiting(result.NotRun(result.PlatformAway, "claims cannot be read")))
		return false
	}
	if err := b.claims.Load(o.Version, o.Value); err != nil {
		b.service.config.Log.Warn("claims were not taken", "object", b.name, "error", err)
		b.act(b.claims.Decide(b.now()))
		return false
	}
	return true
}

// write makes one conditional write of all that waits. A write whose outcome is
// not known is resolved by the next reading.
func (b *bucket) write(ctx context.Context) {
	if err := b.service.limiter.Wait(ctx); err != nil {
		return
	}
	b.takeRequests()
	w, refused, ok := b.claims.PrepareWrite()
	b.act(refused)
	if !ok {
		return
	}
	version, err := b.put(ctx, w)
	switch {
	case err == nil:
		b.claims.ConfirmWrite(w, version)
		b.act(b.claims.Decide(b.now()))
	case errors.Is(err, objectstore.ErrUnavailable):
		b.claims.Invalidate()
		b.act(b.claims.RefuseWaiting(result.NotRun(result.PlatformAway, "claims cannot be written")))
	default:
		b.service.metrics.rereads.Inc()
		b.claims.Invalidate()
		pause(retryDelay)
	}
}

func (b *bucket) put(ctx context.Context, w claim.Write) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	b.service.metrics.writes.Inc()
	if w.Version == 0 {
		return b.service.config.Store.Create(ctx, b.name, w.Value)
	}
	return b.service.config.Store.Update(ctx, b.name, w.Version, w.Value)
}

// act carries out decisions.
func (b *bucket) act(decisions []claim.Decision) {
	for _, d := range decisions {
		j := b.jobs[d.Request.Attempt]
		delete(b.jobs, d.Request.Attempt)
		switch {
		case d.Action == claim.ActionDispatch:
			go b.dispatch(j)
		case d.Err != nil:
			b.service.finish(j, refusal(d.Err))
		default:
			b.service.finish(j, peer.BookReply{
				Code: uint16(d.Outcome.Code), Run: uint8(d.Outcome.Run),
				Body: d.Outcome.Body, Repeated: d.Repeated,
			})
		}
	}
}

// dispatch runs a claimed booking and reports its end to the bucket before it
// frees the job's place, so that the ring of ends cannot overflow.
func (b *bucket) dispatch(j *job) {
	reply := b.service.dispatch(j)
	b.finished.Push(finished{job: j, outcome: claim.Outcome{
		Code: result.Code(reply.Code), Run: result.Run(reply.Run), Body: reply.Body,
	}})
	b.service.finish(j, reply)
}

// pause waits d, varied by half so that several processes do not meet again.
func pause(d time.Duration) {
	time.Sleep(d/2 + rand.N(d))
}
