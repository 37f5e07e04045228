package gateway

import (
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

// part is a request's course at one service: the only one of a plain route, or
// one of the shards.
type part struct {
	service string
	index   int
	// running holds the attempts that have not ended.
	running []*dispatch.Attempt
	// avoid holds the searchers that may have run the request, refusedBy the one
	// that refused it last. Others that refused it may take it later.
	avoid     []string
	refusedBy string
	// delivered counts the attempts that reached a searcher.
	delivered int
	// possibleRuns counts the attempts that may have run.
	possibleRuns int
	// unsent counts the attempts that failed before the request left.
	unsent int
	// hedgeAt is when the next attempt is to be started beside those that run, zero
	// for never.
	hedgeAt time.Duration
	// retryAt is when an attempt is tried again for which the budget of repeats had
	// nothing left, zero for never.
	retryAt time.Duration
	// reply is the searcher's answer, failure its last reply that was none.
	reply       *searcher.Reply
	failedReply *searcher.Reply
	// givenUp says that no further attempt is made.
	givenUp bool
	// tries tells the course of the part for the log.
	tries []requestlog.Try
}

func (c *call) msSinceArrival() int64 { return (c.now() - c.arrived).Milliseconds() }

// maxUnsent bounds the attempts that end before the request leaves.
const maxUnsent = 4

// launch makes an attempt. It reports whether one was started.
func (c *call) launch(p *part, kind dispatch.Kind) bool {
	a, err := c.start(p, kind)
	if err != nil {
		c.recordNotStarted(p, kind, err)
		return false
	}
	p.retryAt = 0
	p.running = append(p.running, a)
	p.hedgeAt = 0
	if c.route.Idempotent && p.possibleRuns+len(p.running) < c.route.MaxAttempts {
		p.hedgeAt = c.now() + c.hedgeDelay()
	}
	return true
}

// attemptEnded notes the end of an attempt and makes the next one if that is allowed and
// of use.
func (c *call) attemptEnded(p *part, e dispatch.Event) {
	for i := range p.running {
		if p.running[i] == e.Attempt {
			p.running = append(p.running[:i], p.running[i+1:]...)
			break
		}
	}
	if len(p.running) == 0 {
		p.hedgeAt = 0
	}
	ended := c.msSinceArrival()
	p.tries = append(p.tries, requestlog.Try{
		Searcher: e.Attempt.SearcherID(), StartedMs: ended - e.Latency.Milliseconds(), EndedMs: ended, Outcome: e.Outcome.String(),
	})
	switch {
	case e.Outcome == dispatch.Refused:
		p.refusedBy = e.Attempt.SearcherID()
		p.delivered++
	case e.Outcome.MayHaveRun():
		p.avoid = append(p.avoid, e.Attempt.SearcherID())
		p.delivered++
		p.possibleRuns++
	}
	switch e.Outcome {
	case dispatch.Answered:
		c.latency.add(c.now(), e.Latency)
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

// budgetPollInterval is the time between two looks at a budget that is spent.
const budgetPollInterval = 12 * time.Millisecond

// recordNotStarted notes why an attempt was not made. A budget that is spent fills up
// again, so that a request which failed is tried once more while its answer would
// be in time. A request that no searcher has run is refused instead, since its
// caller may ask again at once; but a shard that refuses holds up only its part.
func (c *call) recordNotStarted(p *part, kind dispatch.Kind, err error) {
	reason := err.Error()
	if len(p.tries) == 0 || p.tries[len(p.tries)-1].Outcome != reason {
		p.tries = append(p.tries, requestlog.Try{StartedMs: c.msSinceArrival(), Outcome: reason})
	}
	p.retryAt = 0
	if kind != dispatch.Retry || !errors.Is(err, dispatch.ErrRetryBudgetSpent) || (p.possibleRuns == 0 && len(c.route.Shards) == 0) {
		return
	}
	if now := c.now(); now < c.arrived+c.latencyBudget() {
		p.retryAt = now + budgetPollInterval
	}
}

// startDueAttempts makes the attempts whose time has come.
func (c *call) startDueAttempts(p *part, now time.Duration) {
	if p.retryAt != 0 && p.retryAt <= now {
		if !c.retryPart(p) && p.retryAt == 0 && len(p.running) == 0 {
			p.givenUp = true
		}
	}
	if p.hedgeAt != 0 && p.hedgeAt <= now {
		c.hedge(p)
	}
}

// nextDue returns when the next attempt is due, at most the given time.
func (p *part) nextDue(at time.Duration) time.Duration {
	if p.hedgeAt != 0 {
		at = min(at, p.hedgeAt)
	}
	if p.retryAt != 0 {
		at = min(at, p.retryAt)
	}
	return at
}

// startNext makes the attempt that follows one which ended without an answer.
func (c *call) startNext(p *part, last dispatch.Outcome) bool {
	if p.unsent > maxUnsent || p.delivered >= maxEventsPerPart-maxUnsent || c.now() >= c.deadline {
		return false
	}
	if p.possibleRuns > 0 && (!c.route.Idempotent || p.possibleRuns >= c.route.MaxAttempts) {
		return false
	}
	// An attempt that was not sent reached no searcher, so that its successor
	// repeats nothing.
	if last == dispatch.Unsent && p.delivered == 0 {
		return c.launch(p, dispatch.TransparentRetry)
	}
	return c.retryPart(p)
}

// retryPart sends a failed part once more, or notes when to look at it again.
func (c *call) retryPart(p *part) bool {
	if c.deferRetry != nil && c.deferRetry(p) {
		c.recordNotStarted(p, dispatch.Retry, dispatch.ErrRetryBudgetSpent)
		return false
	}
	if c.now() >= c.arrived+c.latencyBudget() {
		return c.launch(p, dispatch.LateRetry)
	}
	return c.launch(p, dispatch.Retry)
}

// searchersToAvoid returns the searchers that must not get the request now.
func (p *part) searchersToAvoid() []string {
	var ids []string
	ids = append(ids, p.avoid...)
	for _, a := range p.running {
		ids = append(ids, a.SearcherID())
	}
	if p.refusedBy != "" {
		ids = append(ids, p.refusedBy)
	}
	return ids
}

// hedge makes the attempt that is due beside those that run.
func (c *call) hedge(p *part) {
	p.hedgeAt = 0
	// The attempts that run take at least as long as they have so far.
	c.latency.add(c.now(), p.running[0].Elapsed())
	c.launch(p, dispatch.Hedge)
}

// ended reports whether the part has its outcome.
func (p *part) ended() bool { return p.reply != nil || p.givenUp }

// lastOutcome returns what became of the last attempt, or why it was not made.
func (p *part) lastOutcome() string {
	if last := len(p.tries) - 1; last >= 0 {
		return p.tries[last].Outcome
	}
	return "out of time"
}

// stopAttempts ends the attempts that are still running. If the caller is gone, that is
// at once.
func (p *part) stopAttempts(c *call, atOnce bool) {
	for _, a := range p.running {
		t := requestlog.Try{Searcher: a.SearcherID(), StartedMs: c.msSinceArrival() - a.Elapsed().Milliseconds(), Outcome: "let go"}
		end := a.Abandon
		if atOnce {
			end = a.Cancel
		}
		if end() {
			p.possibleRuns++
		} else {
			t.Outcome = "no searcher had room in time"
		}
		p.tries = append(p.tries, t)
	}
	p.running = nil
}
