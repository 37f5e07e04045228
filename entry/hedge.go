package entry

import (
	"time"
)

// hedgeTime returns when a part sent now, after so many hedges, is hedged, or
// zero for never.
func (q *query) hedgeTime(now time.Duration, hedges int) time.Duration {
	q.policy.mu.Lock()
	defer q.policy.mu.Unlock()
	delay, ok := q.policy.Delay(hedges)
	if !ok {
		return 0
	}
	return now + delay
}

// hedgeDue sends hedges for the shards whose parts are slow.
func (q *query) hedgeDue() {
	now := q.now()
	for i := range q.shards {
		s := &q.shards[i]
		if s.hedgeAt == 0 || s.hedgeAt > now || s.answered || s.failed {
			continue
		}
		s.hedgeAt = 0
		if s.hedges < maxHedges {
			q.hedge(uint32(i))
		}
	}
}

// hedge sends a shard to a replica in a failure domain where none of its parts
// is running, if the budget allows and the replica can answer in time.
func (q *query) hedge(i uint32) {
	s := &q.shards[i]
	r, wait, ok := q.choose(i, func(r replica) bool {
		for _, a := range s.running {
			if a.replica.domain == r.domain {
				return true
			}
		}
		return false
	})
	if !ok || !q.timeFor(wait+q.policyTypical()) {
		return
	}
	q.policy.mu.Lock()
	paid := q.policy.Budget.Take()
	q.policy.mu.Unlock()
	if !paid {
		s.hedgeAt = q.hedgeTime(q.now(), s.hedges)
		q.entry.metrics.hedgesUnpaid.WithLabelValues(q.service.Name).Inc()
		return
	}
	s.hedges++
	b := q.newBatch(r.broker)
	q.add(b, i, r, true)
	q.send(b)
}
