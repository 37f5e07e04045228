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
	tag     int
	// running holds the attempts that have not ended.
	running []*dispatch.Attempt
	// avoid holds the searchers that may have run the request, refusedBy the one
	// that refused it last. Others that refused it may take it later.
	avoid     []string
	refusedBy string
	// asked counts the attempts that reached a searcher.
	asked int
	// ran counts the attempts that may have run.
	ran int
	// unsent counts the attempts that failed before the request left.
	unsent int
	// hedgeAt is when the next attempt is to be started beside those that run, zero
	// for never.
	hedgeAt time.Duration
	// againAt is when an attempt is tried again for which the budget of repeats had
	// nothing left, zero for never.
	againAt time.Duration
	// reply is the searcher's answer, failure its last reply that was none.
	reply   *searcher.Reply
	failure *searcher.Reply
	// givenUp says that no further attempt is made.
	givenUp bool
	// tries tells the course of the part for the log.
	tries []requestlog.AttemptRecord
}

func (c *call) sinceArrival() int64 { return (c.now() - c.arrived).Milliseconds() }

// maxUnsent bounds the attempts that end before the request leaves.
const maxUnsent = 4

// launch makes an attempt. It reports whether one was started.
func (c *call) launch(p *part, kind dispatch.Kind) bool {
	a, err := c.start(p, kind)
	if err != nil {
		c.notStarted(p, kind, err)
		return false
	}
	p.againAt = 0
	p.running = append(p.running, a)
	p.hedgeAt = 0
	if c.route.Idempotent && p.ran+len(p.running) < c.route.MaxAttempts {
		p.hedgeAt = c.now() + c.hedgeDelay()
	}
	return true
}

// took notes the end of an attempt and makes the next one if that is allowed and
// of use.
func (c *call) took(p *part, e dispatch.Event) {
	for i := range p.running {
		if p.running[i] == e.Attempt {
			p.running = append(p.running[:i], p.running[i+1:]...)
			break
		}
	}
	if len(p.running) == 0 {
		p.hedgeAt = 0
	}
	ended := c.sinceArrival()
	p.tries = append(p.tries, requestlog.AttemptRecord{
		Searcher: e.Attempt.SearcherID(), StartedMs: ended - e.Latency.Milliseconds(), EndedMs: ended, Outcome: e.Outcome.String(),
	})
	switch {
	case e.Outcome == dispatch.Refused:
		p.refusedBy = e.Attempt.SearcherID()
		p.asked++
	case e.Outcome.MayHaveRun():
		p.avoid = append(p.avoid, e.Attempt.SearcherID())
		p.asked++
		p.ran++
	}
	switch e.Outcome {
	case dispatch.Answered:
		c.latency.add(c.now(), e.Latency)
		p.reply = e.Reply
		return
	case dispatch.Failed:
		p.failure = e.Reply
	case dispatch.Unsent:
		p.unsent++
	}
	if len(p.running) > 0 || c.next(p, e.Outcome) || p.againAt != 0 {
		return
	}
	p.givenUp = true
}

// againPause is the time between two looks at a budget that is spent.
const againPause = 12 * time.Millisecond

// notStarted notes why an attempt was not made. A budget that is spent fills up
// again, so that a request which failed is tried once more while its answer would
// be in time. A request that no searcher has run is refused instead, since its
// caller may ask again at once; but a shard that refuses holds up only its part.
func (c *call) notStarted(p *part, kind dispatch.Kind, err error) {
	reason := err.Error()
	if len(p.tries) == 0 || p.tries[len(p.tries)-1].Outcome != reason {
		p.tries = append(p.tries, requestlog.AttemptRecord{StartedMs: c.sinceArrival(), Outcome: reason})
	}
	p.againAt = 0
	if kind != dispatch.Retry || !errors.Is(err, dispatch.ErrRetryBudgetSpent) || (p.ran == 0 && len(c.route.Shards) == 0) {
		return
	}
	if now := c.now(); now < c.arrived+c.aim() {
		p.againAt = now + againPause
	}
}

// due makes the attempts whose time has come.
func (c *call) due(p *part, now time.Duration) {
	if p.againAt != 0 && p.againAt <= now {
		if !c.repeat(p) && p.againAt == 0 && len(p.running) == 0 {
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
	if p.againAt != 0 {
		at = min(at, p.againAt)
	}
	return at
}

// next makes the attempt that follows one which ended without an answer.
func (c *call) next(p *part, last dispatch.Outcome) bool {
	if p.unsent > maxUnsent || p.asked >= maxEvents-maxUnsent || c.now() >= c.deadline {
		return false
	}
	if p.ran > 0 && (!c.route.Idempotent || p.ran >= c.route.MaxAttempts) {
		return false
	}
	// An attempt that was not sent reached no searcher, so that its successor
	// repeats nothing.
	if last == dispatch.Unsent && p.asked == 0 {
		return c.launch(p, dispatch.TransparentRetry)
	}
	return c.repeat(p)
}

// repeat sends a failed part once more, or notes when to look at it again.
func (c *call) repeat(p *part) bool {
	if c.holdsBack != nil && c.holdsBack(p) {
		c.notStarted(p, dispatch.Retry, dispatch.ErrRetryBudgetSpent)
		return false
	}
	if c.now() >= c.arrived+c.aim() {
		return c.launch(p, dispatch.LateRetry)
	}
	return c.launch(p, dispatch.Retry)
}

// avoided returns the searchers that must not get the request now.
func (p *part) avoided() []string {
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

// letGo ends the attempts that are still running. If the caller is gone, that is
// at once.
func (p *part) letGo(c *call, gone bool) {
	for _, a := range p.running {
		t := requestlog.AttemptRecord{Searcher: a.SearcherID(), StartedMs: c.sinceArrival() - a.Elapsed().Milliseconds(), Outcome: "let go"}
		end := a.Abandon
		if gone {
			end = a.Cancel
		}
		if end() {
			p.ran++
		} else {
			t.Outcome = "no searcher had room in time"
		}
		p.tries = append(p.tries, t)
	}
	p.running = nil
}
