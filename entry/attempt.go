package entry

import (
	"fmt"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// handle takes one event of a stream.
func (q *query) handle(ev event) {
	if ev.reply == nil {
		for _, p := range ev.batch.parts {
			if a := q.attempts[p.ID]; a != nil {
				q.refuse(a, ev.err)
			}
		}
		return
	}
	r := ev.reply
	a := q.attempts[r.PartID]
	switch {
	case r.QueryID != q.request.RequestID:
		q.entry.metrics.dropped.WithLabelValues("foreign").Inc()
		return
	case a == nil || a.batch != ev.batch:
		q.entry.metrics.dropped.WithLabelValues("unknown_part").Inc()
		return
	}
	q.entry.table.reportPart(a.replica, r.State, q.now())
	if r.Code != uint16(result.OK) {
		q.refuse(a, refusalOf(r.Code, r.Run, r.Detail))
		return
	}
	if r.Snapshot != q.pinned.ID || r.Shard != a.shard {
		q.entry.metrics.dropped.WithLabelValues("mismatch").Inc()
		q.refuse(a, &result.Error{
			Code: result.SnapshotMismatch, Run: result.RunYes,
			Detail: fmt.Sprintf("asked for shard %d of %q, got shard %d of %q", a.shard, q.pinned.ID, r.Shard, r.Snapshot),
		})
		return
	}
	q.merge(a, r.Body)
}

// merge takes the first answer to a shard and cancels its other parts.
func (q *query) merge(a *attempt, body string) {
	q.settle(a, false)
	s := &q.shards[a.shard]
	s.answered, s.body = true, body
	q.answered++
	if q.halfway == 0 && 2*q.answered >= len(q.shards) {
		q.halfway = q.now()
	}
	if a.hedge {
		q.entry.metrics.hedgesWon.WithLabelValues(q.service.Name).Inc()
	}
	for len(s.running) > 0 {
		loser := s.running[0]
		loser.batch.cancelLoser(loser.id)
		q.settle(loser, true)
	}
}

// settle ends an attempt. The latency of hedges is left out of the learned
// distribution, which is that of parts sent first. A part that was cut short
// counts only if it was slow by then: otherwise nothing is known of it.
func (q *query) settle(a *attempt, cut bool) {
	q.forget(a)
	if a.hedge {
		return
	}
	now := q.now()
	q.policy.mu.Lock()
	defer q.policy.mu.Unlock()
	if delay, _ := q.policy.Delay(0); cut && now-a.sentAt < delay {
		return
	}
	q.policy.Latency.Add(now, now-a.sentAt)
}

func (q *query) forget(a *attempt) {
	delete(q.attempts, a.id)
	q.entry.table.settled(a.replica, a.reports)
	s := &q.shards[a.shard]
	for i, r := range s.running {
		if r == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return
		}
	}
}

// refuse takes the failure of one attempt and sends its shard elsewhere.
func (q *query) refuse(a *attempt, e *result.Error) {
	q.forget(a)
	s := &q.shards[a.shard]
	s.last = e
	s.ran = s.ran || e.Run != result.RunNo
	q.trace.refusal(q.began, q.now(), a, e)
	switch e.Code {
	case result.QueueFull, result.TooLate, result.UpstreamShed:
		q.shortOfRoom = true
	case result.SnapshotGone:
		s.gone = true
	case result.NotOwner:
		q.entry.table.disown(a.replica)
	}
	if len(s.running) > 0 {
		return
	}
	r, _, ok := q.choose(a.shard, nil)
	if !ok {
		q.giveUp(a.shard, e)
		return
	}
	q.entry.metrics.failovers.WithLabelValues(q.service.Name, codeLabel(e.Code)).Inc()
	b := q.newBatch(r.broker)
	q.add(b, a.shard, r, false)
	q.send(b)
}

// giveUp marks a shard that no replica is left for. If its snapshot is gone the
// whole query needs a newer one.
func (q *query) giveUp(i uint32, e *result.Error) {
	s := &q.shards[i]
	s.failed, s.last = true, e
	q.failed++
	if s.gone {
		q.gone[layoutName(q.pinned)] = true
		q.waiting = true
	}
}
