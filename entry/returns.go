package entry

import (
	"slices"
	"time"
)

const (
	// maxReturns is how often a shard may be returned by owners with a longer
	// queue than assumed. Then the states of all its replicas are fresh.
	maxReturns = 2
	// returnMargin is by how many parts a queue may be longer than assumed. In the
	// model at 85 % load the p99 is 114, 116 and 118 ms at 1, 2 and 3 parts with
	// six entries, and 117, 121 and 127 ms with forty.
	returnMargin = 1
)

// maxWait returns the wait above which the owner of a searcher returns a part
// that the entry assumes to wait for the given time. States are up to 250 ms old,
// so that a queue may have grown since. Zero is no limit.
func (q *query) maxWait(i uint32, assumed time.Duration) time.Duration {
	margin := returnMargin * q.perPart()
	if q.shards[i].returns >= maxReturns || margin == 0 {
		return 0
	}
	return assumed + margin
}

// perPart is the time by which one part lengthens a queue.
func (q *query) perPart() time.Duration {
	return q.policyTypical() / time.Duration(max(q.service.Limits.Slots, 1))
}

// returned notes that an owner returned a part. The replica may be chosen again,
// as the wait there is known now.
func (s *shard) returned(r replica) {
	s.returns++
	s.tried = slices.DeleteFunc(s.tried, func(t replica) bool {
		return t.id == r.id && t.broker == r.broker
	})
}
