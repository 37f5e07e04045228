package broker

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/queue"
	"github.com/wisteriawharf/wisteriawharf/result"
)

const (
	// minStatusInterval and maxStatusInterval bound what a subscriber may ask
	// for. Changes in quick succession are also sent at most this often.
	minStatusInterval = 10 * time.Millisecond
	maxStatusInterval = 10 * time.Second
)

// Handlers returns the handlers of the streams that a broker serves.
func (b *Broker) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindBatch:  b.serveBatch,
		peer.KindRun:    b.serveRun,
		peer.KindStatus: b.serveStatus,
	}
}

// serveBatch sends the reply of each part as soon as it is known. The parts
// that are left end when the stream does; its peer closing only the sending
// side means that no Cancel follows.
func (b *Broker) serveBatch(ctx context.Context, s *peer.Stream) error {
	var batch peer.Batch
	if err := s.Receive(&batch); err != nil {
		return errors.Annotate(err, "batch")
	}
	if len(batch.Parts) == 0 {
		return nil
	}
	replies := queue.NewRing[*peer.PartReply](len(batch.Parts))
	jobs := b.batchJobs(&batch, replies)
	defer b.cancel(jobs)
	for _, j := range jobs {
		b.submit(j.job)
	}
	go b.receiveCancels(s, jobs)
	for sent := 0; sent < len(batch.Parts); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-replies.Ready():
		}
		for reply, ok := replies.Pop(); ok; reply, ok = replies.Pop() {
			if err := s.Send(reply); err != nil {
				return errors.Annotate(err, "part reply")
			}
			sent++
		}
	}
	return nil
}

// partJob is a job of a batch.
type partJob struct {
	*job
	part uint32
}

func (b *Broker) batchJobs(batch *peer.Batch, replies *queue.Ring[*peer.PartReply]) []partJob {
	deadline, unixMs := deadlineOf(b.config.Clock, batch.RemainingMs, batch.DeadlineUnixMs)
	jobs := make([]partJob, 0, len(batch.Parts))
	for _, p := range batch.Parts {
		j := searchJob(p, batch.Query)
		j.deadline, j.unixMs = deadline, unixMs
		j.done = func(o outcome) { replies.Push(partReply(batch.QueryID, p, o)) }
		jobs = append(jobs, partJob{job: j, part: p.ID})
	}
	return jobs
}

func partReply(query string, p peer.Part, o outcome) *peer.PartReply {
	reply := &peer.PartReply{
		QueryID: query, PartID: p.ID, Shard: p.Shard, Snapshot: o.snapshot, Body: o.body, State: o.state,
		Run: uint8(result.RunYes),
	}
	if o.err != nil {
		reply.Code, reply.Run, reply.Detail = uint16(o.err.Code), uint8(o.err.Run), o.err.Detail
	}
	return reply
}

// receiveCancels withdraws the parts named in Cancel frames until none follow.
func (b *Broker) receiveCancels(s *peer.Stream, jobs []partJob) {
	for {
		var c peer.Cancel
		if err := s.Receive(&c); err != nil {
			if !errors.Is(err, io.EOF) {
				b.cancel(jobs)
			}
			return
		}
		for _, id := range c.PartIDs {
			for _, j := range jobs {
				if j.part == id {
					b.cancel([]partJob{j})
				}
			}
		}
	}
}

func (b *Broker) cancel(jobs []partJob) {
	for _, j := range jobs {
		b.cancelJob(j.job)
	}
}

func (b *Broker) cancelJob(j *job) {
	if j.owner != nil && !j.finished.Load() {
		j.owner.cancel(j)
	}
}

// serveRun dispatches a claimed booking at most once.
func (b *Broker) serveRun(ctx context.Context, s *peer.Stream) error {
	var run peer.Run
	if err := s.Receive(&run); err != nil {
		return errors.Annotate(err, "run")
	}
	j := runJob(run)
	j.deadline, j.unixMs = deadlineOf(b.config.Clock, run.RemainingMs, run.DeadlineUnixMs)
	done := make(chan outcome, 1)
	j.done = func(o outcome) { done <- o }
	b.submit(j)
	select {
	case <-ctx.Done():
		b.cancelJob(j)
		return ctx.Err()
	case o := <-done:
		reply := &peer.RunReply{Run: uint8(result.RunYes), Body: o.body}
		if o.err != nil {
			reply.Code, reply.Run, reply.Detail = uint16(o.err.Code), uint8(o.err.Run), o.err.Detail
		}
		return errors.Annotate(s.Send(reply), "run reply")
	}
}

// serveStatus sends the states of all searchers at the interval asked for, and
// at once when an entry has to know of a change.
func (b *Broker) serveStatus(ctx context.Context, s *peer.Stream) error {
	var request peer.StatusRequest
	if err := s.Receive(&request); err != nil {
		return errors.Annotate(err, "status request")
	}
	interval := min(max(time.Duration(request.IntervalMs)*time.Millisecond, minStatusInterval), maxStatusInterval)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		changed := b.changes.next()
		if err := s.Send(b.statusFrame()); err != nil {
			return errors.Annotate(err, "status")
		}
		if !wait(ctx, minStatusInterval) {
			return ctx.Err()
		}
		timer.Reset(interval - minStatusInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-timer.C:
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (b *Broker) statusFrame() *peer.Status {
	frame := &peer.Status{Broker: b.config.ID}
	for _, o := range b.all() {
		if !o.ended() {
			frame.Searchers = append(frame.Searchers, *o.state.Load())
		}
	}
	return frame
}
