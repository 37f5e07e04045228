package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/gather"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
	"github.com/wisteriawharf/wisteriawharf/retry"
)

// shardedQuery is the state of a request that is sent to all shards of a route.
type shardedQuery struct {
	*call
	parts []*part
	// answeredParts is the number of parts that have an answer, givenUpParts the number of
	// parts that will get none.
	answeredParts int
	givenUpParts  int
	// needed is the number of parts that an answer must have at least.
	needed int
	// partialAt is the time on the boot clock from which a partial answer is returned, once
	// it has the needed parts. A request that was read late is answered late anyway, so its parts
	// get half of the latency budget.
	partialAt time.Duration
}

// serveSharded serves a request of a route with shards: it sends the request to one
// searcher of each shard and merges their answers.
func (c *call) serveSharded() answer {
	q := c.newShardedQuery()
	if withoutRoom := q.countWithoutRoom(); len(q.parts)-withoutRoom < q.needed {
		return answer{refusal: c.notRunRefusal("shards have no room", q.pauseLeft())}
	}
	for _, p := range q.parts {
		if !c.startAttempt(p, dispatch.First) {
			p.givenUp = true
			q.givenUpParts++
		}
	}
	return q.awaitAnswer()
}

// newShardedQuery returns a query without attempts.
func (c *call) newShardedQuery() *shardedQuery {
	q := &shardedQuery{
		call:      c,
		needed:    c.route.MinShards(),
		partialAt: max(c.arrived+c.latencyBudget(), c.now()+c.latencyBudget()/2),
	}
	if !c.ranked {
		c.rank = balance.Rank(rand.Float64(), c.priority())
	}
	c.deferRetry = func(p *part) bool { return !q.retryState(p).WorthRetrying() }
	for i, service := range c.route.Shards {
		q.parts = append(q.parts, &part{service: service, index: i})
	}
	return q
}

// awaitAnswer waits for the parts and returns the answer.
func (q *shardedQuery) awaitAnswer() answer {
	for !q.done() {
		timer := time.NewTimer(q.untilNextDue())
		select {
		case e := <-q.events:
			q.updatePart(e.Attempt.Tag, func(p *part) { q.attemptEnded(p, e) })
		case <-q.ctx.Done():
			timer.Stop()
			q.stopAllAttempts(true)
			return answer{callerGone: true}
		case <-q.g.stop.answerNow:
			q.deadline = min(q.deadline, q.now()) // so that the loop ends
		case <-timer.C:
			q.startAllDueAttempts()
		}
		timer.Stop()
	}
	q.takeReplies()
	q.stopAllAttempts(false)
	q.logPartialOrLate()
	return q.answer()
}

// takeReplies adds the replies that are there already when the wait is over.
func (q *shardedQuery) takeReplies() {
	for len(q.events) > 0 { // no other goroutine receives
		if e := <-q.events; e.Outcome == dispatch.Answered {
			q.updatePart(e.Attempt.Tag, func(p *part) { q.attemptEnded(p, e) })
		}
	}
}

// countWithoutRoom returns the number of shards that can't take the request, because they
// have no usable searcher, or because all their searchers are busy and the request may not
// be queued. If the other shards are too few for an answer, the caller must not send the
// request to any shard.
func (q *shardedQuery) countWithoutRoom() int {
	n := 0
	for _, p := range q.parts {
		if !q.g.config.Dispatcher.HasRoom(q.dispatchRequest(p, dispatch.First)) {
			n++
		}
	}
	return n
}

// pauseLeft returns the time until so few shards are paused that the others are enough for an
// answer.
func (q *shardedQuery) pauseLeft() time.Duration {
	left := make([]time.Duration, len(q.parts))
	for i, p := range q.parts {
		left[i] = q.call.pauseLeft(p.service)
	}
	slices.Sort(left)
	return left[max(q.needed, 1)-1]
}

// logPartialOrLate logs the request if its answer is partial, missing, or later than the
// target latency, unless the rate limit of the log is reached. The line lists the attempts
// of the parts that have no answer or were answered after partialAt.
func (q *shardedQuery) logPartialOrLate() {
	late := q.now() >= q.arrived+q.route.TargetLatency
	if (q.answeredParts == len(q.parts) && !late) || !q.g.requestLog.Allow() {
		return
	}
	attemptsByShard := make(map[string][]requestlog.AttemptRecord)
	for _, p := range q.parts {
		last := len(p.attemptRecords) - 1
		if p.reply == nil || p.attemptRecords[last].EndedMs > (q.partialAt-q.arrived).Milliseconds() {
			attemptsByShard[p.service] = p.attemptRecords
		}
	}
	q.g.requestLog.Write(requestlog.PartialOrLate, "request", q.callerRequest.ID, "route", q.route.Name,
		"shards", len(q.parts), "needed", q.needed, "answered", q.answeredParts, "after_ms", q.msSinceArrival(), "open", attemptsByShard)
}

// updatePart calls update for the part at index i, unless the part has ended. If the part
// ends in update, updatePart counts it as answered or given up. The running attempts of an
// answered part are abandoned.
func (q *shardedQuery) updatePart(i int, update func(*part)) {
	p := q.parts[i]
	if p.ended() {
		return
	}
	update(p)
	switch {
	case p.reply != nil:
		q.answeredParts++
		for _, a := range p.running {
			a.Abandon()
		}
		p.running = nil
	case p.givenUp:
		q.givenUpParts++
	}
}

// retryState returns the state of the request that decides whether a retry of the failed
// part is worthwhile.
func (q *shardedQuery) retryState(failed *part) retry.ShardedRequest {
	s := retry.ShardedRequest{Total: len(q.parts), Needed: q.needed, Lost: q.givenUpParts}
	for _, p := range q.parts {
		if p != failed && !p.ended() && !q.g.config.Dispatcher.HasRetryBudget(p.service) {
			s.WithoutBudget++
		}
	}
	return s
}

// done reports whether the wait for parts is over: all parts have ended, too few can still
// be answered, the deadline has passed, or a partial answer can be returned.
func (q *shardedQuery) done() bool {
	switch {
	case q.answeredParts+q.givenUpParts == len(q.parts):
		return true
	case len(q.parts)-q.givenUpParts < q.needed:
		return true
	case q.now() >= q.deadline:
		return true
	}
	return q.answeredParts >= q.needed && q.now() >= q.partialAt
}

// untilNextDue returns the time until the next attempt is due, a partial answer may be
// returned, or the deadline passes, whichever comes first.
func (q *shardedQuery) untilNextDue() time.Duration {
	now := q.now()
	at := q.deadline
	if q.partialAt > now && q.partialAt < at {
		at = q.partialAt
	}
	for _, p := range q.parts {
		if !p.ended() {
			at = p.nextDue(at)
		}
	}
	return at - now
}

// startAllDueAttempts starts the retries and hedges of all parts that are due.
func (q *shardedQuery) startAllDueAttempts() {
	now := q.now()
	for i := range q.parts {
		q.updatePart(i, func(p *part) { q.call.startDueAttempts(p, now) })
	}
}

// stopAllAttempts stops the running attempts of all parts. It passes atOnce to
// part.stopAttempts.
func (q *shardedQuery) stopAllAttempts(atOnce bool) {
	for _, p := range q.parts {
		p.stopAttempts(q.call, atOnce)
	}
}

// answer returns the merged answers of the parts, or a refusal if there are too few.
func (q *shardedQuery) answer() answer {
	if q.answeredParts < q.needed {
		return answer{refusal: q.refusal()}
	}
	var signatures []string
	var bodies [][]byte
	for _, p := range q.parts {
		if p.reply != nil {
			signatures = append(signatures, p.reply.Metadata.Signature)
			bodies = append(bodies, p.reply.Body)
		}
	}
	missing := len(q.parts) - q.answeredParts
	header := make(http.Header)
	platform.SetParts(header, signatures, missing)
	return answer{status: http.StatusOK, header: header, body: gather.Greatest(bodies, q.route.TopK), missingParts: missing}
}

// refusal returns the refusal of a request for which too few parts were answered.
func (q *shardedQuery) refusal() *refusal {
	mayHaveRun := false
	for _, p := range q.parts {
		mayHaveRun = mayHaveRun || p.possibleRuns > 0
	}
	switch {
	case !mayHaveRun:
		return q.notRunRefusal(q.parts[0].lastOutcome(), q.pauseLeft())
	case q.now() >= q.deadline:
		return &refusal{status: http.StatusGatewayTimeout, reason: "too few shards in time"}
	}
	return &refusal{status: http.StatusBadGateway, reason: "too few shards"}
}
