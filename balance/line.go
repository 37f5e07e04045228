package balance

import (
	"math"
	"time"
)

// QueuedRequest is a request that waits for a searcher that can take it.
type QueuedRequest struct {
	// Rank is the rank of the caller's request, the same at all shards. Requests with low
	// ranks are sent first at every shard. If not all requests can be answered in time,
	// some of them still get all of their parts, instead of all getting only some.
	Rank float64
	// DueBy is the time on the boot clock at which the answer is due.
	DueBy time.Duration
	// Expected is the expected time of the request at a searcher, zero if it is not known.
	Expected time.Duration
}

// Rank returns the rank of a request, between 0 and 1. drawn is a random number between 0
// and 1, priority is the priority of the request's route, 0 for the most urgent. Requests of
// urgent routes mostly get lower ranks than others. They do not always, so that no route is
// shed completely. Negative priorities count as 0.
func Rank(drawn float64, priority int) float64 {
	return math.Pow(drawn, 1/float64(1+max(priority, 0)))
}

// NextQueued returns the index of the request to send next, or -1 if the queue is empty.
// Requests that can still be answered in time go before those that can't. Within each of
// these two groups the lowest rank goes first, and among equal ranks the first in the queue.
// serviceLatency is the usual latency of the service; it is used for requests whose time is not known.
func NextQueued(now, serviceLatency time.Duration, queue []QueuedRequest) int {
	next, nextInTime := -1, false
	for i, request := range queue {
		expected := serviceLatency
		if request.Expected > 0 {
			expected = request.Expected
		}
		inTime := now+expected <= request.DueBy
		switch {
		case next < 0, inTime && !nextInTime, inTime == nextInTime && request.Rank < queue[next].Rank:
			next, nextInTime = i, inTime
		}
	}
	return next
}
