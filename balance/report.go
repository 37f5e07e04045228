package balance

import "time"

// Report is what an instance has seen of one searcher since its last report. Where
// many instances share the requests, each sees too little of a searcher to notice soon
// that it fails or is slow; together they see enough.
type Report struct {
	Searcher string
	// Answered and Failed count requests, Latency is the mean time of the answers.
	Answered    int
	Failed      int
	MeanLatency time.Duration
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
	// suspectDuration is how long reports are made after the last cause.
	suspectDuration = 3 * time.Second
	// slowFactor times the usual latency of its service makes an answer a slow one.
	slowFactor = 4
)

// AddReply notes an answer after a latency. Usual is that of the service, zero if it is
// not known.
func (o *Observations) AddReply(now, latency, usual time.Duration) {
	o.answered++
	o.latency += latency
	if isSlow(latency, usual) {
		o.suspectUntil = now + suspectDuration
	}
}

// AddFailure notes a request that failed.
func (o *Observations) AddFailure(now time.Duration) {
	o.failed++
	o.suspectUntil = now + suspectDuration
}

// ReceiveReport begins reports of what another instance reports as failing or slow.
func (o *Observations) ReceiveReport(now time.Duration, r Report, usual time.Duration) {
	if r.Failed > 0 || isSlow(r.MeanLatency, usual) {
		o.suspectUntil = now + suspectDuration
	}
}

func isSlow(latency, usual time.Duration) bool {
	return usual > 0 && latency > time.Duration(slowFactor*float64(usual))
}

// PendingCount returns the number of requests for a report, zero if none is to be made.
func (o *Observations) PendingCount(now time.Duration) int {
	if now >= o.suspectUntil {
		o.answered, o.failed, o.latency = 0, 0, 0
		return 0
	}
	return o.answered + o.failed
}

// TakeReport returns the report and begins the next one.
func (o *Observations) TakeReport(searcher string) Report {
	r := Report{Searcher: searcher, Answered: o.answered, Failed: o.failed}
	if o.answered > 0 {
		r.MeanLatency = o.latency / time.Duration(o.answered)
	}
	o.answered, o.failed, o.latency = 0, 0, 0
	return r
}

// maxReportedRequests bounds what one report can change.
const maxReportedRequests = 50

// ownReplyPrecedence is how recent an instance's own experience must be to outweigh reports,
// which tell of the time before them.
const ownReplyPrecedence = 250 * time.Millisecond

// ApplyReport notes what another instance reports of the searcher, unless this instance has
// just had a reply of its own.
func (s *Stats) ApplyReport(now time.Duration, report Report) {
	if s.lastReply != 0 && now-s.lastReply < ownReplyPrecedence {
		return
	}
	for range min(report.Failed, maxReportedRequests) {
		s.updateFailureRate(now, true)
	}
	for range min(report.Answered, maxReportedRequests) {
		s.updateFailureRate(now, false)
		s.updateLatency(report.MeanLatency)
	}
}
