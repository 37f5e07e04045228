package balance

import (
	"math"
	"time"
)

// QueuedRequest is a request that waits for a searcher that can take it.
type QueuedRequest struct {
	// Rank is the rank of the caller's request, the same at all shards. If not all
	// requests can be answered in time, those with low ranks are sent first at every
	// shard. Some requests then get all of their parts, instead of all requests getting
	// only some.
	Rank float64
	// DueBy is the time at which the answer is due.
	DueBy time.Duration
}

// Rank returns the rank of a request, between 0 and 1, from a random number drawn between
// 0 and 1 and the priority of its route. A low priority number means an urgent route, whose
// requests mostly get lower ranks than others, but not always, so that no route is shed
// completely. Negative priorities count as 0.
func Rank(drawn float64, priority int) float64 {
	return math.Pow(drawn, 1/float64(1+max(priority, 0)))
}

// NextQueued returns the index of the request to send next, or -1 if the queue is empty.
// Requests that can still be answered in time, given the usual latency, go before those
// that can't. Among these the lowest rank goes first, and among equal ranks the first in
// the queue.
func NextQueued(now, serviceLatency time.Duration, queue []QueuedRequest) int {
	next, nextInTime := -1, false
	for i, request := range queue {
		inTime := now+serviceLatency <= request.DueBy
		switch {
		case next < 0, inTime && !nextInTime, inTime == nextInTime && request.Rank < queue[next].Rank:
			next, nextInTime = i, inTime
		}
	}
	return next
}
