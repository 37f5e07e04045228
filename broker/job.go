package broker

import (
	"sync/atomic"
	"time"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
	"github.com/wisteriawharf/wisteriawharf/slot"
	"github.com/wisteriawharf/wisteriawharf/upstream"
)

// outcome ends a job: either err, or body with the snapshot it comes from.
type outcome struct {
	err      *result.Error
	body     string
	snapshot string
	state    peer.SearcherState
}

// job is one part or booking on its way through an owner.
type job struct {
	// owner has the job since it was submitted; id is the owner's.
	owner    *owner
	id       slot.WorkID
	searcher string
	// workID names the work to the upstream. It is unique over all processes.
	workID   string
	deadline time.Duration
	unixMs   int64
	queuedAt time.Duration
	// build returns the request with the time that remains when it is written.
	build func(address, workID string, d upstream.Deadline) (*upstream.Request, error)
	// read takes the outcome from a reply of status 200.
	read func(upstream.Reply) outcome
	// dispatched is set by the owner before a connection receives the job.
	dispatched bool
	finished   atomic.Bool
	done       func(outcome)
}

// finish passes the outcome on. Only the first one counts.
func (j *job) finish(o outcome) {
	if j.finished.CompareAndSwap(false, true) {
		j.done(o)
	}
}

// deadlineOf returns the earlier of the two forms of a deadline as a reading of
// the boot clock and as absolute time, at most settings.MaxDeadline ahead.
func deadlineOf(c clock.Clock, remainingMs, unixMs int64) (time.Duration, int64) {
	now := c.Now()
	limit := int64(settings.MaxDeadline / time.Millisecond)
	left := min(remainingMs, unixMs-now.UnixMilli(), limit)
	return c.Boottime() + time.Duration(max(left, 0))*time.Millisecond, min(unixMs, now.UnixMilli()+limit)
}

func searchJob(p peer.Part, query string) *job {
	return &job{
		searcher: p.Searcher,
		build: func(address, workID string, d upstream.Deadline) (*upstream.Request, error) {
			return upstream.NewSearchRequest(address, workID, d, upstream.Search{
				Index: p.Index, Shard: p.Shard, Snapshot: p.Snapshot, Query: query,
			})
		},
		read: func(r upstream.Reply) outcome {
			s := r.Search
			if s.Index != p.Index || s.Shard != p.Shard || s.Snapshot != p.Snapshot {
				return outcome{err: &result.Error{Code: result.SnapshotMismatch, Run: result.RunYes,
					Detail: "answer is for " + s.Index + " " + s.Snapshot}}
			}
			return outcome{body: string(s.Body), snapshot: s.Snapshot}
		},
	}
}

func runJob(r peer.Run) *job {
	return &job{
		searcher: r.Searcher,
		build: func(address, workID string, d upstream.Deadline) (*upstream.Request, error) {
			return upstream.NewRunRequest(address, workID, d, upstream.Run{Key: r.Key, Item: r.Item})
		},
		read: func(reply upstream.Reply) outcome {
			if reply.Run.Key != r.Key {
				return outcome{err: result.MayHaveRun(result.OutcomeUnknown, "answer is for key %q", reply.Run.Key)}
			}
			return outcome{body: string(reply.Run.Body)}
		},
	}
}
