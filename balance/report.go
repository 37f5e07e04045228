package balance

import "time"

// Report is what an instance has seen of one searcher since its last report. Where
// many instances share the requests, each sees too little of a searcher to notice soon
// that it fails or is slow; together they see enough.
type Report struct {
	Searcher string
	// Answered and Failed count requests, Latency is the mean time of the answers.
	Answered int
	Failed   int
	MeanLatency  time.Duration
}

// Observations collects what an instance sees of one searcher. Only of searchers that
// failed or were slow lately does it make reports.
type Observations struct {
	answered int
	failed   int
	latency  time.Duration
	// suspectUntil ends the time in which reports are made.
	suspectUntil time.Duration
}

const (
	// suspectTime is how long reports are made after the last cause.
	suspectTime = 3 * time.Second
	// slowAt times the usual latency of its service makes an answer a slow one.
	slowAt = 4
)

// AddReply notes an answer after a latency. Usual is that of the service, zero if it is
// not known.
func (s *Observations) AddReply(now, latency, usual time.Duration) {
	s.answered++
	s.latency += latency
	if slow(latency, usual) {
		s.suspectUntil = now + suspectTime
	}
}

// AddFailure notes a request that failed.
func (s *Observations) AddFailure(now time.Duration) {
	s.failed++
	s.suspectUntil = now + suspectTime
}

// ReceiveReport begins reports of what another instance reports as failing or slow.
func (s *Observations) ReceiveReport(now time.Duration, r Report, usual time.Duration) {
	if r.Failed > 0 || slow(r.MeanLatency, usual) {
		s.suspectUntil = now + suspectTime
	}
}

func slow(latency, usual time.Duration) bool {
	return usual > 0 && latency > time.Duration(slowAt*float64(usual))
}

// PendingCount returns the number of requests for a report, zero if none is to be made.
func (s *Observations) PendingCount(now time.Duration) int {
	if now >= s.suspectUntil {
		s.answered, s.failed, s.latency = 0, 0, 0
		return 0
	}
	return s.answered + s.failed
}

// TakeReport returns the report and begins the next one.
func (s *Observations) TakeReport(searcher string) Report {
	r := Report{Searcher: searcher, Answered: s.answered, Failed: s.failed}
	if s.answered > 0 {
		r.MeanLatency = s.latency / time.Duration(s.answered)
	}
	s.answered, s.failed, s.latency = 0, 0, 0
	return r
}

// maxReported bounds what one report can change.
const maxReported = 50

// ownEnough is how recent an instance's own experience must be to outweigh reports,
// which tell of the time before them.
const ownEnough = 250 * time.Millisecond

// ApplyReport notes what another instance reports of the searcher, unless this instance has
// just had a reply of its own.
func (r *Stats) ApplyReport(now time.Duration, report Report) {
	if r.used != 0 && now-r.used < ownEnough {
		return
	}
	for range min(report.Failed, maxReported) {
		r.note(now, true)
	}
	for range min(report.Answered, maxReported) {
		r.note(now, false)
		r.learn(report.MeanLatency)
	}
}
