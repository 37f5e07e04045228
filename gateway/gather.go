package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/gather"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
	"github.com/wisteriawharf/wisteriawharf/retry"
)

// gathering is a request to all shards of a route.
type gathering struct {
	*call
	parts []*part
	// answered and givenUp count the parts with an answer and without hope of one.
	answered int
	givenUp  int
	needed   int
	// partialAt is when an answer that suffices is given though parts are missing.
	partialAt time.Duration
}

// gather serves a request of a route that names shards.
func (c *call) gather() answer {
	q := &gathering{
		call:      c,
		needed:    c.route.MinShards(),
		partialAt: c.arrived + c.aim(),
	}
	c.rank = balance.Rank(rand.Float64(), c.route.Priority)
	c.holdsBack = func(p *part) bool { return !q.shards(p).WorthRetrying() }
	for i, service := range c.route.Shards {
		q.parts = append(q.parts, &part{service: service, tag: i})
	}
	if full := q.full(); len(q.parts)-full < q.needed {
		return answer{refusal: c.notRun("shards have no room")}
	}
	for _, p := range q.parts {
		if !c.launch(p, dispatch.First) {
			p.givenUp = true
			q.givenUp++
		}
	}
	for !q.done() {
		timer := time.NewTimer(q.untilNext())
		select {
		case e := <-c.events:
			q.took(e.Attempt.Tag, func(p *part) { c.took(p, e) })
		case <-c.ctx.Done():
			timer.Stop()
			q.letGo(true)
			return answer{gone: true}
		case <-timer.C:
			q.due()
		}
		timer.Stop()
	}
	q.letGo(false)
	q.logUnmet()
	return q.answer()
}

// full counts the shards that have no searcher, or no room for the request: where too
// many are, nothing is sent to the others.
func (q *gathering) full() int {
	n := 0
	for _, p := range q.parts {
		if !q.g.config.Dispatcher.HasRoom(q.request(p, dispatch.First)) {
			n++
		}
	}
	return n
}

// logUnmet tells why an answer is late, partial or missing: what became of the
// parts that were not answered in time.
func (q *gathering) logUnmet() {
	late := q.now() >= q.arrived+q.route.TargetLatency
	if (q.answered == len(q.parts) && !late) || !q.g.log.Allow() {
		return
	}
	open := make(map[string][]requestlog.Try)
	for _, p := range q.parts {
		last := len(p.tries) - 1
		if p.reply == nil || p.tries[last].EndedMs > (q.partialAt-q.arrived).Milliseconds() {
			open[p.service] = p.tries
		}
	}
	q.g.log.Write(requestlog.NotWhole, "request", q.says.ID, "route", q.route.Name,
		"shards", len(q.parts), "needed", q.needed, "answered", q.answered, "after_ms", q.sinceArrival(), "open", open)
}

// took lets a part go on, unless it has ended, and counts what became of it.
func (q *gathering) took(i int, goOn func(*part)) {
	p := q.parts[i]
	if p.ended() {
		return
	}
	goOn(p)
	switch {
	case p.reply != nil:
		q.answered++
		for _, a := range p.running {
			a.Abandon()
		}
		p.running = nil
	case p.givenUp:
		q.givenUp++
	}
}

// shards returns how the request stands for a repeat of the part.
func (q *gathering) shards(failed *part) retry.ShardedRequest {
	s := retry.ShardedRequest{Total: len(q.parts), Needed: q.needed, Lost: q.givenUp}
	for _, p := range q.parts {
		if p != failed && !p.ended() && !q.g.config.Dispatcher.HasRetryBudget(p.service) {
			s.WithoutBudget++
		}
	}
	return s
}

// done reports whether waiting longer is of no use.
func (q *gathering) done() bool {
	switch {
	case q.answered+q.givenUp == len(q.parts):
		return true
	case len(q.parts)-q.givenUp < q.needed:
		return true
	case q.now() >= q.deadline:
		return true
	}
	return q.answered >= q.needed && q.now() >= q.partialAt
}

func (q *gathering) untilNext() time.Duration {
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

// due makes the attempts whose time has come.
func (q *gathering) due() {
	now := q.now()
	for i := range q.parts {
		q.took(i, func(p *part) { q.call.due(p, now) })
	}
}

func (q *gathering) letGo(gone bool) {
	for _, p := range q.parts {
		p.letGo(q.call, gone)
	}
}

// answer merges the parts, or says why there is no answer.
func (q *gathering) answer() answer {
	if q.answered < q.needed {
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
	missing := len(q.parts) - q.answered
	header := make(http.Header)
	platform.SetParts(header, signatures, missing)
	return answer{status: http.StatusOK, header: header, body: gather.Greatest(bodies, q.route.TopK), partial: missing}
}

func (q *gathering) refusal() *refusal {
	asked := false
	for _, p := range q.parts {
		asked = asked || p.ran > 0
	}
	switch {
	case !asked:
		return q.notRun(q.parts[0].lastOutcome())
	case q.now() >= q.deadline:
		return &refusal{status: http.StatusGatewayTimeout, reason: "too few shards in time"}
	}
	return &refusal{status: http.StatusBadGateway, reason: "too few shards"}
}
