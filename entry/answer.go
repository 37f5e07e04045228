package entry

import (
	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/result"
)

// answer returns what was gathered. Below the service's minimum coverage it is
// a refusal, and the answer carries the coverage but no results.
func (q *query) answer() (*caller.SearchAnswer, *result.Error) {
	answer := &caller.SearchAnswer{
		RequestID: q.request.RequestID,
		Snapshot:  q.pinned.ID,
		Coverage:  caller.Coverage{Asked: len(q.shards), Answered: q.answered},
		Results:   []caller.Result{},
	}
	for i := range q.shards {
		s := &q.shards[i]
		if s.answered {
			answer.Results = append(answer.Results, caller.Result{Shard: uint32(i), Body: caller.Body(s.body)})
			continue
		}
		answer.Coverage.Missing = append(answer.Coverage.Missing, q.missing(uint32(i)))
	}
	if q.answered < len(q.shards) {
		q.trace.PartialReason = q.partialReason()
	}
	if q.enough() {
		return answer, nil
	}
	answer.Results = nil
	return answer, &result.Error{Code: result.LowCoverage, Run: q.ran(), Detail: q.trace.PartialReason}
}

// missing says why a shard has no result. A shard whose part still runs has
// passed the deadline, whatever an earlier replica said.
func (q *query) missing(i uint32) caller.MissingShard {
	s := &q.shards[i]
	e := s.last
	if !s.failed || e == nil {
		e = &result.Error{Code: result.DeadlineExceeded}
	}
	return caller.MissingShard{Shard: i, Code: e.Code, Reason: e.Error()}
}

// partialReason names the cause of the first missing shard, for metrics and
// explanations.
func (q *query) partialReason() string {
	for i := range q.shards {
		s := &q.shards[i]
		switch {
		case s.answered:
		case s.failed && s.last != nil:
			return s.last.Code.String()
		case q.now() < q.deadline:
			return "soft deadline passed before an answer"
		default:
			return result.DeadlineExceeded.String()
		}
	}
	return ""
}

// ran says whether a refused query reached an upstream. It is certain that it
// did not only if every part was refused as not run.
func (q *query) ran() result.Run {
	if q.answered > 0 {
		return result.RunYes
	}
	for i := range q.shards {
		s := &q.shards[i]
		if len(s.running) > 0 || s.last == nil || s.ran {
			return result.RunUnknown
		}
	}
	if q.restarts > 0 {
		return result.RunUnknown
	}
	return result.RunNo
}

// refusalOf returns the error that a reply carries. A statement that is not
// known promises nothing.
func refusalOf(code uint16, run uint8, detail string) *result.Error {
	r := result.Run(run)
	if r != result.RunNo && r != result.RunYes {
		r = result.RunUnknown
	}
	return &result.Error{Code: result.Code(code), Run: r, Detail: detail}
}
