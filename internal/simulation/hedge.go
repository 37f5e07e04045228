package simulation

import (
	"time"
)

// planHedge plans the next hedge of a shard, counted from now.
func (r *run) planHedge(q *search, shard int) {
	sent := q.hedges[shard]
	delay, ok := r.policies[q.entry].Delay(sent)
	if !ok || len(q.open[shard]) >= replicas {
		return
	}
	last := q.open[shard][len(q.open[shard])-1]
	r.after(delay+r.held(last), func() { r.hedgeDue(last, sent, delay) })
}

// hedgeDue hedges a shard of which the last attempt is slow, unless it was
// hedged or answered meanwhile.
func (r *run) hedgeDue(last *job, sent int, delay time.Duration) {
	q, shard := last.query, last.shard
	if last.done || q.answered[shard] || q.hedges[shard] != sent {
		return
	}
	age := r.now - last.sent
	if left := delay - (age - r.held(last)); r.Started && left > time.Microsecond && age < maxQueued*delay {
		r.after(max(left, hop), func() { r.hedgeDue(last, sent, delay) })
		return
	}
	r.send(q, shard, true)
}
