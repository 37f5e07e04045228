package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/route"
	"github.com/wisteriawharf/wisteriawharf/settings"
	"github.com/wisteriawharf/wisteriawharf/snapshot"
)

const (
	// maxRestarts bounds the load of a query whose snapshots keep vanishing.
	maxRestarts = 3
	// maxHedges is the second and the third replica.
	maxHedges = 2
	// eventQueue holds replies between the streams and the query. A stream whose
	// reply finds no room waits, which slows the broker by flow control.
	eventQueue = 64
)

// query is one search in progress. Only the goroutine of run touches it; the
// streams report through events.
type query struct {
	entry   *Entry
	service *settings.Service
	policy  *policy
	request caller.SearchRequest

	began    time.Duration
	soft     time.Duration
	deadline time.Duration
	wall     time.Time

	ctx    context.Context
	events chan event
	// round is the context of the streams of the pinned snapshot; a restart
	// cancels it.
	round    context.Context
	endRound context.CancelFunc

	pinned   *snapshot.Layout
	gone     map[string]bool
	restarts int
	// waiting says that a newer snapshot is needed and none is known yet.
	waiting  bool
	shards   []shard
	attempts map[uint32]*attempt
	nextPart uint32
	answered int
	failed   int
	// halfway is when half of the shards were answered.
	halfway time.Duration

	cancelled   bool
	shortOfRoom bool
	trace       Trace
}

// shard is the progress of one shard of the pinned snapshot.
type shard struct {
	answered bool
	failed   bool
	body     string
	running  []*attempt
	tried    []replica
	hedges   int
	hedgeAt  time.Duration
	gone     bool
	// ran says that a failed attempt may have run.
	ran  bool
	last *result.Error
}

// attempt is one part sent to one replica.
type attempt struct {
	id      uint32
	shard   uint32
	replica replica
	reports uint64
	sentAt  time.Duration
	hedge   bool
	batch   *batch
}

// event is a reply, or the failure of a whole batch.
type event struct {
	batch *batch
	reply *peer.PartReply
	err   *result.Error
}

func newQuery(e *Entry, s *settings.Service, r caller.SearchRequest, began time.Duration) *query {
	budget := budgetOf(s, r.Deadline)
	q := &query{
		entry:    e,
		service:  s,
		policy:   e.policyOf(s.Name, s.HedgeBudget),
		request:  r,
		began:    began,
		deadline: began + max(budget-answerMargin, budget/2),
		wall:     e.config.Clock.Now().Add(budget),
		events:   make(chan event, eventQueue),
		gone:     make(map[string]bool),
		attempts: make(map[uint32]*attempt),
	}
	if s.SoftDeadline > 0 {
		q.soft = began + s.SoftDeadline
	}
	q.trace = Trace{RequestID: r.RequestID, Service: s.Name, Caller: r.Caller, Began: e.config.Clock.Now()}
	return q
}

func (q *query) now() time.Duration { return q.entry.config.Clock.Boottime() }

// run scatters the query and gathers its replies until it has an answer.
func (q *query) run(ctx context.Context) (*caller.SearchAnswer, *result.Error) {
	ctx, cancel := context.WithDeadline(ctx, q.wall)
	defer cancel()
	q.ctx = ctx
	plan := q.entry.table.plan(q.service)
	pinned := snapshot.Choose(plan.layouts, nil)
	if pinned == nil {
		q.trace.PartialReason = "no layout"
		return nil, result.NotRun(result.NoReplica, "no searcher of service %q is usable", q.service.Name)
	}
	q.pin(pinned)
	defer q.abandon()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !q.finished() {
		timer.Reset(max(q.nextWake()-q.now(), 0))
		var changed <-chan struct{}
		if q.waiting {
			changed = q.entry.table.changes()
			if q.restart() || !q.waiting {
				continue
			}
		}
		select {
		case ev := <-q.events:
			q.handle(ev)
		case <-timer.C:
			q.hedgeDue()
		case <-changed:
		case <-ctx.Done():
			if q.now() < q.deadline {
				q.cancelled = true
				return nil, result.MayHaveRun(result.Cancelled, "caller gave up the request")
			}
		}
	}
	return q.answer()
}

// finished reports whether the answer can or must be given now.
func (q *query) finished() bool {
	now := q.now()
	switch {
	case now >= q.deadline, q.answered == len(q.shards):
		return true
	case q.answered+q.failed == len(q.shards) && !q.waiting:
		return true
	default:
		return q.soft > 0 && now >= q.soft && q.enough()
	}
}

func (q *query) enough() bool {
	return route.MeetsMinCoverage(q.answered, len(q.shards), q.service.MinCoverage)
}

// nextWake returns when the query must act although no reply came.
func (q *query) nextWake() time.Duration {
	now := q.now()
	wake := q.deadline
	if q.soft > now {
		wake = min(wake, q.soft)
	}
	for i := range q.shards {
		if s := &q.shards[i]; s.hedgeAt > 0 && !s.answered && !s.failed {
			wake = min(wake, s.hedgeAt)
		}
	}
	return wake
}

// pin starts the query on a snapshot. Replies to parts that were sent before
// find no attempt and are dropped.
func (q *query) pin(l *snapshot.Layout) {
	q.pinned = l
	q.waiting = false
	q.round, q.endRound = context.WithCancel(q.ctx)
	q.shards = make([]shard, len(l.Replicas))
	q.answered, q.failed = 0, 0
	q.trace.Snapshots = append(q.trace.Snapshots, l.ID)
	batches := make(map[string]*batch)
	for i := range q.shards {
		r, _, ok := q.choose(uint32(i), nil)
		if !ok {
			q.giveUp(uint32(i), result.NotRun(result.NoReplica, "no replica of shard %d of snapshot %q is usable", i, l.ID))
			continue
		}
		b := batches[r.broker.member.ID]
		if b == nil {
			b = q.newBatch(r.broker)
			batches[r.broker.member.ID] = b
		}
		q.add(b, uint32(i), r, false)
	}
	for _, b := range batches {
		q.send(b)
	}
}

// restart pins a newer snapshot in place of one that is gone, and reports
// whether it could. A snapshot that covers less than what can still be answered
// here is not worth the loss of the answers.
func (q *query) restart() bool {
	if q.restarts >= maxRestarts || !q.timeFor(q.policyTypical()) {
		q.waiting = false
		return false
	}
	plan := q.entry.table.plan(q.service)
	next := snapshot.Choose(plan.layouts, func(l *snapshot.Layout) bool {
		return q.gone[layoutName(l)] || l.Number <= q.pinned.Number
	})
	if next == nil || route.Coverage(next.CoveredShards, len(next.Replicas)) <= route.Coverage(len(q.shards)-q.failed, len(q.shards)) {
		return false
	}
	q.abandon()
	q.restarts++
	q.entry.metrics.restarts.WithLabelValues(q.service.Name).Inc()
	q.pin(next)
	return true
}

func layoutName(l *snapshot.Layout) string {
	return fmt.Sprintf("%s/%d/%d", l.ID, l.Number, len(l.Replicas))
}

// timeFor reports whether work of the given length can still be answered.
func (q *query) timeFor(work time.Duration) bool { return q.now()+work < q.deadline }

func (q *query) policyTypical() time.Duration {
	q.policy.mu.Lock()
	defer q.policy.mu.Unlock()
	return q.policy.Median()
}

// abandon ends the streams of the pinned snapshot, which cancels their parts. A
// stream that stays open for the reply of a loser is told of the others.
func (q *query) abandon() {
	for id, a := range q.attempts {
		a.batch.cancelPart(id)
		q.settle(a, true)
	}
	q.endRound()
}

// choose picks a replica of a shard that was not tried. A nil avoid avoids no
// more.
func (q *query) choose(i uint32, avoid func(replica) bool) (replica, time.Duration, bool) {
	s := &q.shards[i]
	slots := max(q.service.Limits.Slots, 1)
	return q.entry.table.choose(choice{
		service: q.service,
		id:      q.pinned.ID,
		number:  q.pinned.Number,
		total:   len(q.shards),
		shard:   i,
		avoid: func(r replica) bool {
			for _, t := range s.tried {
				if t.id == r.id && t.broker.member.ID == r.broker.member.ID {
					return true
				}
			}
			return avoid != nil && avoid(r)
		},
		perPart: q.policyTypical() / time.Duration(slots),
		now:     q.now(),
	})
}

// add puts a part for a replica into a batch.
func (q *query) add(b *batch, i uint32, r replica, isHedge bool) {
	q.nextPart++
	now := q.now()
	a := &attempt{
		id: q.nextPart, shard: i, replica: r, sentAt: now, hedge: isHedge, batch: b,
		reports: q.entry.table.sent(r),
	}
	q.attempts[a.id] = a
	s := &q.shards[i]
	s.running = append(s.running, a)
	s.tried = append(s.tried, r)
	s.hedgeAt = q.hedgeTime(now, s.hedges)
	b.parts = append(b.parts, peer.Part{ID: a.id, Searcher: r.id, Index: r.index, Shard: i, Snapshot: q.pinned.ID})
	if len(s.tried) == 1 {
		q.trace.Parts++
		q.policy.mu.Lock()
		q.policy.Budget.Earn(1)
		q.policy.mu.Unlock()
	}
	q.entry.metrics.part(q.service.Name, isHedge)
	q.trace.attempt(q.began, now, i, r, isHedge)
}
