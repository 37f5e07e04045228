package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
)

// single serves a request of a route that names services, of which one searcher
// runs it.
func (c *call) single() answer {
	p := &part{service: c.route.PickService(rand.Float64())}
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
		c.g.log.Write(requestlog.UnansweredOrLate, "request", c.says.ID, "route", c.route.Name, "service", p.service,
			"after_ms", c.sinceArrival(), "tries", p.tries)
	}
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
