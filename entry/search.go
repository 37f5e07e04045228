package entry

import (
	"context"
	"time"

	"github.com/wisteriawharf/wisteriawharf/admission"
	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	// answerMargin is kept from a deadline for gathering and sending the answer.
	answerMargin = 2 * time.Millisecond
	// congestedShare is the share of its deadline in which a query has half of
	// its shards while its upstreams are not congested. The slowest shard would
	// be no measure: it is a straggler more often than a sign of congestion.
	congestedShare = 0.5
)

// Search runs one search. With an error, the answer is nil or carries the
// coverage that was reached.
func (e *Entry) Search(ctx context.Context, r caller.SearchRequest) (*caller.SearchAnswer, *result.Error) {
	began := e.config.Clock.Boottime()
	view := e.config.State.View()
	s, refusal := serviceIn(view, r.Service, settings.KindSearch)
	if refusal != nil {
		return nil, e.refused(refusal)
	}
	ticket, refusal := e.admit(s.Name, r.Caller)
	if refusal != nil {
		return nil, e.refused(refusal)
	}
	q := newQuery(e, s, r, began)
	answer, refusal := q.run(ctx)
	e.done(ticket, q.outcome())
	e.observe(q, answer)
	if refusal != nil {
		return answer, e.refused(refusal)
	}
	return answer, nil
}

// serviceIn returns the named service if it is of the given kind.
func serviceIn(view *control.View, name string, kind settings.Kind) (*settings.Service, *result.Error) {
	if view.Settings == nil {
		return nil, result.NotRun(result.SettingsUnknown, "no settings revision is known")
	}
	s := view.Settings.Services[name]
	if s == nil {
		return nil, result.NotRun(result.UnknownService, "%q", name)
	}
	if s.Kind != kind {
		return nil, result.NotRun(result.WrongKind, "service %q is a %s service", name, s.Kind)
	}
	return s, nil
}

// budgetOf returns the time that a request has: its own deadline, at most that
// of the service.
func budgetOf(s *settings.Service, stated time.Duration) time.Duration {
	if stated > 0 && (s.Deadline == 0 || stated < s.Deadline) {
		return stated
	}
	if s.Deadline == 0 {
		return settings.MaxDeadline
	}
	return s.Deadline
}

func (e *Entry) refused(r *result.Error) *result.Error {
	e.metrics.refusal(r.Code)
	return r
}

// outcome says what the query learned about the room at its upstreams.
func (q *query) outcome() admission.Outcome {
	took := q.halfway - q.began
	switch {
	case q.cancelled || q.pinned == nil:
		return admission.Neutral
	case q.shortOfRoom || q.halfway == 0 || float64(took) > congestedShare*float64(q.deadline-q.began):
		return admission.Congested
	default:
		return admission.Good
	}
}

func (e *Entry) observe(q *query, answer *caller.SearchAnswer) {
	took := q.now() - q.began
	e.metrics.search(q.service.Name, took, answer, q.trace.PartialReason)
	q.trace.Took = took
	if answer != nil {
		q.trace.Answered, q.trace.Asked = answer.Coverage.Answered, answer.Coverage.Asked
		q.trace.Missing = answer.Coverage.Missing
	}
	e.traces.add(q.trace)
}
