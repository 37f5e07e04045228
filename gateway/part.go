package gateway

import (
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

// part is the state of a request at one service. A request of a route with targets has one
// part, for the service that was picked. A request of a route with shards has one part for
// each shard.
type part struct {
	service string
	// index is the index of the part's shard on the route. It is zero on a route with
	// targets.
	index int
	// running holds the attempts that have not ended, earlier those that have.
	running []*dispatch.Attempt
	earlier []*dispatch.Attempt
	// possibleRunners holds the IDs of the searchers that may have run the request in
	// attempts that have ended. refusedBy is the ID of the searcher that refused it last.
	// Searchers that refused it earlier may get it again.
	possibleRunners []string
	refusedBy       string
	// possibleDeliveries is the number of ended attempts whose request may have reached a
	// searcher.
	possibleDeliveries int
	// possibleRuns is the number of attempts that a searcher may have run.
	possibleRuns int
	// unsent is the number of attempts that ended before the request was sent.
	unsent int
	// hedgeAt is the time on the boot clock when the next hedge is due, or zero if none is.
	hedgeAt time.Duration
	// retryAt is the time on the boot clock of the next check whether the retry budget
	// allows a retry that it did not allow before. It is zero if no retry is scheduled.
	retryAt time.Duration
	// reply is a searcher's answer to the request, failedReply the last reply with the
	// outcome Failed.
	reply       *searcher.Reply
	failedReply *searcher.Reply
	// givenUp says that the part has no answer and that no further attempt is made.
	givenUp bool
	// attemptRecords holds, for the log, the attempts that have ended or were stopped by
	// stopAttempts, and the reasons why others were not made.
	attemptRecords []requestlog.AttemptRecord
}

// errCallerGone reports that an attempt was not started because the caller has closed its end.
const errCallerGone = errors.ConstError("caller closed its end")

// msSinceArrival returns the time since the arrival of the request in milliseconds.
func (c *call) msSinceArrival() int64 { return (c.now() - c.arrived).Milliseconds() }

// maxUnsent is the largest number of unsent attempts after which a part still gets another
// attempt.
const maxUnsent = 4

// startAttempt starts an attempt and sets when its hedge is due, if one is allowed. It
// reports whether the attempt was started. If not, it calls attemptNotStarted. Nothing is started
// for a caller that left while this process was stalled.
func (c *call) startAttempt(p *part, kind dispatch.Kind) bool {
	if c.leftInStall() {
		c.attemptNotStarted(p, kind, errCallerGone)
		return false
	}
	if c.revokedInStall() {
		c.attemptNotStarted(p, kind, errConfigOutdated)
		return false
	}
	a, err := c.dispatchAttempt(p, kind)
	if err != nil {
		c.attemptNotStarted(p, kind, err)
		return false
	}
	p.retryAt = 0
	p.running = append(p.running, a)
	c.open.started(a)
	p.hedgeAt = 0
	if c.route.Idempotent && len(p.running) < maxEventsPerPart && p.possibleRuns+len(p.running) < c.route.MaxAttempts {
		p.hedgeAt = c.now() + c.hedgeDelay()
	}
	return true
}

// attemptEnded records the end of an attempt. If it has no answer and no other attempt is
// running, attemptEnded starts the next one. If none is started and no retry is scheduled,
// it gives the part up.
func (c *call) attemptEnded(p *part, e dispatch.Event) {
	for i := range p.running {
		if p.running[i] == e.Attempt {
			p.running = append(p.running[:i], p.running[i+1:]...)
			break
		}
	}
	p.earlier = append(p.earlier, e.Attempt)
	c.open.ended(e.Attempt)
	if len(p.running) == 0 {
		p.hedgeAt = 0
	}
	ended := c.msSinceArrival()
	p.attemptRecords = append(p.attemptRecords, requestlog.AttemptRecord{
		Searcher: e.Attempt.SearcherID(), StartedMs: ended - e.Latency.Milliseconds(), EndedMs: ended, Outcome: e.Outcome.String(),
	})
	switch {
	case e.Outcome == dispatch.Refused:
		p.refusedBy = e.Attempt.SearcherID()
		p.possibleDeliveries++
	case e.Outcome.MayHaveRun():
		p.possibleRunners = append(p.possibleRunners, e.Attempt.SearcherID())
		p.possibleDeliveries++
		p.possibleRuns++
	}
	switch e.Outcome {
	case dispatch.Answered:
		if !e.Stalled {
			c.attemptLatency.add(c.now(), e.Latency)
		}
		p.reply = e.Reply
		return
	case dispatch.Failed:
		p.failedReply = e.Reply
	case dispatch.Unsent:
		p.unsent++
	}
	if len(p.running) > 0 || c.startNext(p, e.Outcome) || p.retryAt != 0 {
		return
	}
	p.givenUp = true
}

// retryBudgetPollInterval is the time between two checks whether the retry budget allows a
// retry.
const retryBudgetPollInterval = 12 * time.Millisecond

// attemptNotStarted records why an attempt was not started, unless the last record has the
// same reason. If a retry failed to start because the retry budget is spent, it schedules
// the retry again as long as the latency budget lasts, because the retry budget fills up
// again. It doesn't do so on a route with targets if no searcher can have run the request:
// then the request is refused, since the caller may safely repeat it at once. On a route
// with shards such a part waits for the retry budget, because a refusal by one shard delays
// only the part of that shard.
func (c *call) attemptNotStarted(p *part, kind dispatch.Kind, err error) {
	reason := err.Error()
	if len(p.attemptRecords) == 0 || p.attemptRecords[len(p.attemptRecords)-1].Outcome != reason {
		p.attemptRecords = append(p.attemptRecords, requestlog.AttemptRecord{StartedMs: c.msSinceArrival(), Outcome: reason})
	}
	p.retryAt = 0
	if kind != dispatch.Retry || !errors.Is(err, dispatch.ErrRetryBudgetSpent) || (p.possibleRuns == 0 && len(c.route.Shards) == 0) {
		return
	}
	if now := c.now(); now < c.arrived+c.latencyBudget() {
		p.retryAt = now + retryBudgetPollInterval
	}
}

// startDueAttempts starts the part's retry and hedge if they are due. It gives the part up
// if the retry was not started and is not scheduled again, and no attempt is running.
func (c *call) startDueAttempts(p *part, now time.Duration) {
	if p.retryAt != 0 && p.retryAt <= now {
		if !c.retryPart(p) && p.retryAt == 0 && len(p.running) == 0 {
			p.givenUp = true
		}
	}
	switch {
	case p.hedgeAt == 0 || p.hedgeAt > now:
	case now-p.hedgeAt > lateHedge:
		p.hedgeAt = now + minHedgeDelay
	default:
		c.hedge(p)
	}
}

// lateHedge is how late a hedge may be. If it is later, this process was late, so that the reply may
// lie unread: the hedge is postponed until it would have been read.
const lateHedge = 50 * time.Millisecond

// nextDue returns the time on the boot clock when the part's next retry or hedge is due, or
// limit if that is earlier or if none is due.
func (p *part) nextDue(limit time.Duration) time.Duration {
	if p.hedgeAt != 0 {
		limit = min(limit, p.hedgeAt)
	}
	if p.retryAt != 0 {
		limit = min(limit, p.retryAt)
	}
	return limit
}

// startNext starts the attempt that follows one without an answer, if another one is
// allowed. It reports whether the attempt was started.
func (c *call) startNext(p *part, last dispatch.Outcome) bool {
	if p.unsent > maxUnsent || p.possibleDeliveries >= maxEventsPerPart-maxUnsent || c.now() >= c.deadline {
		return false
	}
	if p.possibleRuns > 0 && (!c.route.Idempotent || p.possibleRuns >= c.route.MaxAttempts) {
		return false
	}
	// No searcher has received the request, so the next attempt takes nothing from the retry
	// budget.
	if last == dispatch.Unsent && p.possibleDeliveries == 0 {
		return c.startAttempt(p, dispatch.TransparentRetry)
	}
	return c.retryPart(p)
}

// retryPart retries a failed part, by a LateRetry if the latency budget is used up. It
// reports whether the attempt was started. If not, p.retryAt is zero unless the retry is
// scheduled again.
func (c *call) retryPart(p *part) bool {
	if c.deferRetry != nil && c.deferRetry(p) {
		c.attemptNotStarted(p, dispatch.Retry, dispatch.ErrRetryBudgetSpent)
		return false
	}
	if c.now() >= c.arrived+c.latencyBudget() {
		return c.startAttempt(p, dispatch.LateRetry)
	}
	return c.startAttempt(p, dispatch.Retry)
}

// searchersToAvoid returns the IDs of the searchers that must not get the next attempt.
func (p *part) searchersToAvoid() []string {
	var ids []string
	ids = append(ids, p.possibleRunners...)
	for _, a := range p.running {
		ids = append(ids, a.SearcherID())
	}
	if p.refusedBy != "" {
		ids = append(ids, p.refusedBy)
	}
	return ids
}

// hedge starts another attempt in parallel with those that are running.
func (c *call) hedge(p *part) {
	p.hedgeAt = 0
	// The latency of the first running attempt will be at least the time that has elapsed,
	// so that time is added as a sample.
	if !p.running[0].Stalled() {
		c.attemptLatency.add(c.now(), p.running[0].Elapsed())
	}
	c.startAttempt(p, dispatch.Hedge)
}

// ended reports whether the part has an answer or is given up.
func (p *part) ended() bool { return p.reply != nil || p.givenUp }

// lastOutcome returns the outcome of the last attempt, or the reason why it was not made.
// It returns "out of time" if nothing is recorded.
func (p *part) lastOutcome() string {
	if last := len(p.attemptRecords) - 1; last >= 0 {
		return p.attemptRecords[last].Outcome
	}
	return "out of time"
}

// stopAttempts stops the running attempts. If atOnce is true, they are cancelled and their
// connections are closed. Otherwise they are abandoned: their replies are awaited for a
// short time, so that the connections can be kept. The attempts are recorded in
// attemptRecords, and those whose request may have been sent are counted as possible runs.
func (p *part) stopAttempts(c *call, atOnce bool) {
	for _, a := range p.running {
		record := requestlog.AttemptRecord{Searcher: a.SearcherID(), StartedMs: c.msSinceArrival() - a.Elapsed().Milliseconds(), Outcome: "let go"}
		stop := a.Abandon
		if atOnce {
			stop = a.Cancel
		}
		if stop() {
			p.possibleRuns++
		} else {
			record.Outcome = "no searcher had room in time"
		}
		p.attemptRecords = append(p.attemptRecords, record)
	}
	p.running = nil
}
