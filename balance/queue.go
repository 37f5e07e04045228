package balance

import (
	"math"
	"time"
)

// QueuedRequest is a request that waits until a searcher has room for it.
type QueuedRequest struct {
	// Rank is that of its caller's request, the same at all shards. Where not all can
	// be in time, those of a low rank go first everywhere, so that some requests get
	// all of their parts rather than all requests some of theirs.
	Rank float64
	// DueBy is when its answer is due.
	DueBy time.Duration
}

// Rank returns the rank of a request from a number between 0 and 1 that was drawn for
// it. Requests of urgent routes, whose priority is a low number, mostly get lower ranks
// than others, but not always, so that none are left out altogether.
func Rank(drawn float64, priority int) float64 {
	return math.Pow(drawn, 1/float64(1+max(priority, 0)))
}

// NextQueued returns the index of the request that is served next: of those that can still
// be answered in time after the usual latency, else of all, the first one of the
// lowest rank. It returns -1 if none waits.
func NextQueued(now, latency time.Duration, queue []QueuedRequest) int {
	next, nextInTime := -1, false
	for i, w := range queue {
		inTime := now+latency <= w.DueBy
		switch {
		case next < 0, inTime && !nextInTime, inTime == nextInTime && w.Rank < queue[next].Rank:
			next, nextInTime = i, inTime
		}
	}
	return next
}
