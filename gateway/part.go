package gateway

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

// part is a request's course at one service: the only one of a plain route, or
// one of the shards.
type part struct {
	service string
	tag     int
	// running holds the attempts that have not ended.
	running []*dispatch.Attempt
	// asked holds the searchers that the request was sent to.
	asked []string
	// ran counts the attempts that may have run.
	ran int
	// unsent counts the attempts that failed before the request left.
	unsent int
	// hedgeAt is when the next attempt is to be started beside those that run, zero
	// for never.
	hedgeAt time.Duration
	// reply is the searcher's answer, failure its last reply that was none.
	reply   *searcher.Reply
	failure *searcher.Reply
	// given says that no further attempt is made.
	given bool
	// tries tells the course of the part for the log.
	tries []try
}

// try is one attempt, or the reason why it was not made.
type try struct {
	Searcher string `json:"searcher,omitempty"`
	// StartedMs and EndedMs count from the arrival of the request.
	StartedMs int64  `json:"started_ms"`
	EndedMs   int64  `json:"ended_ms,omitempty"`
	Outcome   string `json:"outcome"`
}

func (c *call) sinceArrival() int64 { return (c.now() - c.arrived).Milliseconds() }

// maxUnsent bounds the attempts that end before the request leaves.
const maxUnsent = 4

// launch makes an attempt. It reports whether one was started.
func (c *call) launch(p *part, repeat bool) bool {
	a, err := c.start(p.service, p.tag, p.asked, repeat)
	if err != nil {
		p.tries = append(p.tries, try{StartedMs: c.sinceArrival(), Outcome: err.Error()})
		return false
	}
	p.running = append(p.running, a)
	p.hedgeAt = 0
	if c.route.Idempotent && p.ran+len(p.running) < c.route.Attempts {
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
	if e.Attempt.SearcherID != "" {
		p.asked = append(p.asked, e.Attempt.SearcherID)
	}
	ended := c.sinceArrival()
	p.tries = append(p.tries, try{
		Searcher: e.Attempt.SearcherID, StartedMs: ended - e.Latency.Milliseconds(), EndedMs: ended, Outcome: e.Outcome.String(),
	})
	if e.Outcome.MayHaveRun() {
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
	if len(p.running) > 0 || c.next(p, e.Outcome) {
		return
	}
	p.given = true
}

// next makes the attempt that follows one which ended without an answer.
func (c *call) next(p *part, last dispatch.Outcome) bool {
	if p.unsent > maxUnsent || len(p.asked) >= maxEvents-maxUnsent || c.now() >= c.deadline {
		return false
	}
	if p.ran > 0 && (!c.route.Idempotent || p.ran >= c.route.Attempts) {
		return false
	}
	// An attempt that was not sent reached no searcher, so that its successor
	// repeats nothing.
	repeat := last != dispatch.Unsent || len(p.asked) > p.unsent
	return c.launch(p, repeat)
}

// hedge makes the attempt that is due beside those that run.
func (c *call) hedge(p *part) {
	p.hedgeAt = 0
	// The attempts that run take at least as long as they have so far.
	c.latency.add(c.now(), p.running[0].Waited())
	c.launch(p, true)
}

// ended reports whether the part has its outcome.
func (p *part) ended() bool { return p.reply != nil || p.given }

// letGo ends the attempts that are still running. If the caller is gone, that is
// at once.
func (p *part) letGo(c *call, gone bool) {
	p.ran += len(p.running)
	for _, a := range p.running {
		p.tries = append(p.tries, try{Searcher: a.SearcherID, StartedMs: c.sinceArrival() - a.Waited().Milliseconds(), Outcome: "let go"})
		if gone {
			a.Cancel()
		} else {
			a.Abandon()
		}
	}
	p.running = nil
}
