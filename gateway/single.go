package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// single serves a request of a route that names services, of which one searcher
// runs it.
func (c *call) single() answer {
	p := &part{service: chooseTarget(c.route.Targets)}
	if !c.launch(p, dispatch.First) {
		return answer{refusal: c.notRun(p.lastOutcome())}
	}
	for !p.ended() {
		timer := time.NewTimer(p.nextDue(c.deadline) - c.now())
		select {
		case e := <-c.events:
			c.took(p, e)
		case <-c.ctx.Done():
			timer.Stop()
			p.letGo(c, true)
			return answer{gone: true}
		case <-timer.C:
			if c.now() >= c.deadline {
				return c.outOfTime(p)
			}
			c.due(p, c.now())
		}
		timer.Stop()
	}
	p.letGo(c, false)
	c.logUnmet(p)
	if p.reply != nil {
		return answer{status: p.reply.Status, header: p.reply.Header, body: p.reply.Body}
	}
	return c.failed(p)
}

// logUnmet tells why there is no answer, or not in time.
func (c *call) logUnmet(p *part) {
	late := c.now() >= c.arrived+c.route.TargetLatency
	if (p.reply == nil || late) && c.g.log.Allow() {
		c.g.log.Write(requestlog.Unmet, "request", c.says.ID, "route", c.route.Name, "service", p.service,
			"after_ms", c.sinceArrival(), "tries", p.tries)
	}
}

// chooseTarget draws one of the services by weight.
func chooseTarget(targets []routing.Target) string {
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	drawn := rand.Float64() * total
	for _, t := range targets {
		drawn -= t.Weight
		if drawn < 0 {
			return t.Service
		}
	}
	if len(targets) == 0 {
		return ""
	}
	return targets[len(targets)-1].Service
}

// outOfTime ends a request whose time is over.
func (c *call) outOfTime(p *part) answer {
	p.letGo(c, true)
	c.logUnmet(p)
	if p.ran == 0 {
		return answer{refusal: c.notRun(p.lastOutcome())}
	}
	return answer{refusal: &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}}
}

// failed ends a request that no searcher answered.
func (c *call) failed(p *part) answer {
	switch {
	case p.failure != nil:
		return answer{status: p.failure.Status, header: p.failure.Header, body: p.failure.Body}
	case p.ran > 0:
		return answer{refusal: &refusal{status: http.StatusBadGateway, reason: "searcher broke off"}}
	}
	return answer{refusal: c.notRun(p.lastOutcome())}
}

// notRun refuses a request that no searcher has run or will run.
func (c *call) notRun(why string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "not run: " + why, retryAfter: retryAfter(c.deadline-c.now(), c.aim())}
}

// lastOutcome returns what became of the last attempt, or why it was not made.
func (p *part) lastOutcome() string {
	if last := len(p.tries) - 1; last >= 0 {
		return p.tries[last].Outcome
	}
	return "out of time"
}

const (
	// Callers come back after a part of the time that they have left, or sooner if the
	// answer can then still be in time; spread so that they do not come all at once.
	retryPart    = 0.15
	retryAimPart = 0.5
	maxRetry     = 1 * time.Second
	minRetry     = 20 * time.Millisecond
)

// retryAfter returns when a caller should ask again that waits for a time yet and
// wants its answer within the aim.
func retryAfter(left, aim time.Duration) time.Duration {
	part := min(retryPart*float64(left), retryAimPart*float64(aim))
	d := min(max(time.Duration(part), minRetry), maxRetry)
	return d/2 + rand.N(d)
}
