package balance

import "time"

// Report sums up what an instance has observed of one searcher since its last report. In a
// large deployment each instance sends too few requests to a searcher to notice soon that
// it fails or is slow. Together the instances send enough.
type Report struct {
	// Searcher is the ID of the searcher.
	Searcher string
	// Answered is the number of requests that got a successful reply or were given up as
	// slow, Failed the number of those that failed. MeanLatency is the mean latency of
	// the answered ones, zero if there are none.
	Answered    int
	Failed      int
	MeanLatency time.Duration
}

// Observations collects what this instance observes of one searcher, for its next report.
// Reports are made only if the searcher recently failed or was slow, here or at an instance
// that reported it. The zero value is ready for use.
type Observations struct {
	answered int
	failed   int
	// latency is the sum of the latencies of the answered requests.
	latency time.Duration
	// suspectUntil is the end of the time in which reports are made.
	suspectUntil time.Duration
}

const (
	// suspectDuration is how long reports are made after the last failure or slow reply.
	suspectDuration = 3 * time.Second
	// A reply is slow if its latency exceeds slowFactor times the usual latency of the
	// service.
	slowFactor = 4
)

// AddReply adds an answered request with its latency. A request that was given up as slow
// is added in the same way, with the time that it waited. serviceLatency is the usual
// latency of the service, zero if it is not known.
func (o *Observations) AddReply(now, latency, serviceLatency time.Duration) {
	o.answered++
	o.latency += latency
	if isSlow(latency, serviceLatency) {
		o.suspectUntil = now + suspectDuration
	}
}

// AddFailure adds a request that failed.
func (o *Observations) AddFailure(now time.Duration) {
	o.failed++
	o.suspectUntil = now + suspectDuration
}

// ReceiveReport handles a report of another instance. If the searcher fails or is slow
// there, this instance reports its own observations as well. serviceLatency is the same as
// for AddReply.
func (o *Observations) ReceiveReport(now time.Duration, r Report, serviceLatency time.Duration) {
	if r.Failed > 0 || isSlow(r.MeanLatency, serviceLatency) {
		o.suspectUntil = now + suspectDuration
	}
}

// isSlow reports whether a latency is much higher than the usual one of the service. It
// returns false if serviceLatency is zero, that is, not known.
func isSlow(latency, serviceLatency time.Duration) bool {
	return serviceLatency > 0 && latency > time.Duration(slowFactor*float64(serviceLatency))
}

// PendingCount returns the number of requests that a report would cover now. No report is to
// be made if no failure or slow reply was observed here, or reported by another instance,
// within suspectDuration. PendingCount then drops the observations and returns zero.
func (o *Observations) PendingCount(now time.Duration) int {
	if now >= o.suspectUntil {
		o.answered, o.failed, o.latency = 0, 0, 0
		return 0
	}
	return o.answered + o.failed
}

// TakeReport returns a report of the observations since the last one, and drops them.
// searcher is the ID of the searcher.
func (o *Observations) TakeReport(searcher string) Report {
	r := Report{Searcher: searcher, Answered: o.answered, Failed: o.failed}
	if o.answered > 0 {
		r.MeanLatency = o.latency / time.Duration(o.answered)
	}
	o.answered, o.failed, o.latency = 0, 0, 0
	return r
}

// maxReportedRequests is the number of failed and of answered requests that are used of one
// report, to bound its effect.
const maxReportedRequests = 50

// ownReplyPrecedence is how long reports are ignored after a reply to this instance. A
// report describes the time before it was sent, so it may be older than the reply.
const ownReplyPrecedence = 250 * time.Millisecond

// ApplyReport updates the statistics with a report of another instance. The report is
// ignored if this instance received a reply from the searcher within ownReplyPrecedence;
// ApplyReport then returns false.
func (s *Stats) ApplyReport(now time.Duration, report Report) bool {
	if s.lastReply != 0 && now-s.lastReply < ownReplyPrecedence {
		return false
	}
	for range min(report.Failed, maxReportedRequests) {
		s.updateFailureRate(now, true)
	}
	for range min(report.Answered, maxReportedRequests) {
		s.updateFailureRate(now, false)
		s.updateLatency(report.MeanLatency)
	}
	return true
}

// PendingReports holds reports of other instances that are to be passed on. The zero value is
// ready for use.
type PendingReports struct {
	bySearcher map[string]Report
}

// Add adds reports. Those about the same searcher are summed up.
func (p *PendingReports) Add(reports []Report) {
	if p.bySearcher == nil {
		p.bySearcher = make(map[string]Report)
	}
	for _, r := range reports {
		p.bySearcher[r.Searcher] = p.bySearcher[r.Searcher].sum(r)
	}
}

// Take returns at most limit of the reports, and drops them.
func (p *PendingReports) Take(limit int) []Report {
	var taken []Report
	for searcher, r := range p.bySearcher {
		if len(taken) == limit {
			break
		}
		taken = append(taken, r)
		delete(p.bySearcher, searcher)
	}
	return taken
}

// sum returns a report of all requests of r and of other.
func (r Report) sum(other Report) Report {
	total := Report{Searcher: other.Searcher, Answered: r.Answered + other.Answered, Failed: r.Failed + other.Failed}
	if total.Answered > 0 {
		latencies := time.Duration(r.Answered)*r.MeanLatency + time.Duration(other.Answered)*other.MeanLatency
		total.MeanLatency = latencies / time.Duration(total.Answered)
	}
	return total
}
