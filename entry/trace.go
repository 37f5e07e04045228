package entry

import (
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/result"
)

const (
	// traceCount is how many queries are remembered.
	traceCount = 256
	// traceSteps bounds the steps that one query keeps.
	traceSteps = 512
)

// Trace explains one query: where its parts went and why it ended as it did.
type Trace struct {
	RequestID string        `json:"request_id"`
	Service   string        `json:"service"`
	Caller    string        `json:"caller"`
	Began     time.Time     `json:"began"`
	Took      time.Duration `json:"took_ns"`
	// Snapshots are those pinned, the last one that of the answer.
	Snapshots []string `json:"snapshots"`
	Parts     int      `json:"parts"`
	Asked     int      `json:"asked"`
	Answered  int      `json:"answered"`
	Steps     []Step   `json:"steps"`
	// Missing lists the shards without a result, and why.
	Missing []caller.MissingShard `json:"missing,omitempty"`
	// PartialReason says why shards are missing; empty for a whole answer.
	PartialReason string `json:"partial_reason,omitempty"`
}

// Step is one part that was sent or refused. Code is OK for one that was sent.
type Step struct {
	After    time.Duration `json:"after_ns"`
	Shard    uint32        `json:"shard"`
	Searcher string        `json:"searcher"`
	Domain   string        `json:"failure_domain"`
	Broker   string        `json:"broker"`
	Hedge    bool          `json:"hedge,omitempty"`
	Code     result.Code   `json:"code,omitempty"`
	Reason   string        `json:"reason,omitempty"`
}

func (t *Trace) attempt(began, now time.Duration, shard uint32, r replica, isHedge bool) {
	t.step(Step{After: now - began, Shard: shard, Searcher: r.id, Domain: r.domain, Broker: r.broker.member.ID, Hedge: isHedge})
}

func (t *Trace) refusal(began, now time.Duration, a *attempt, e *result.Error) {
	t.step(Step{
		After: now - began, Shard: a.shard, Searcher: a.replica.id, Domain: a.replica.domain,
		Broker: a.replica.broker.member.ID, Hedge: a.hedge, Code: e.Code, Reason: e.Error(),
	})
}

func (t *Trace) step(s Step) {
	if len(t.Steps) < traceSteps {
		t.Steps = append(t.Steps, s)
	}
}

// traces keeps the newest queries. It is safe for concurrent use.
type traces struct {
	mu   sync.Mutex
	ring []Trace
	next int
}

func newTraces(count int) *traces { return &traces{ring: make([]Trace, 0, count)} }

func (t *traces) add(trace Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ring) < cap(t.ring) {
		t.ring = append(t.ring, trace)
		return
	}
	t.ring[t.next] = trace
	t.next = (t.next + 1) % len(t.ring)
}

// Explain returns the trace of a recent query.
func (e *Entry) Explain(requestID string) (Trace, bool) {
	for _, t := range e.Traces() {
		if t.RequestID == requestID {
			return t, true
		}
	}
	return Trace{}, false
}

// Traces returns the recent queries, oldest first. They must not be changed.
func (e *Entry) Traces() []Trace {
	e.traces.mu.Lock()
	defer e.traces.mu.Unlock()
	recent := append([]Trace(nil), e.traces.ring[e.traces.next:]...)
	return append(recent, e.traces.ring[:e.traces.next]...)
}
