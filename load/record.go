package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wisteriawharf/wisteriawharf/result"
)

const (
	// longestLatency is the highest value of the histograms; longer ones count
	// as this.
	longestLatency = time.Minute
	// digits are significant digits of the histogram of the run, and
	// secondDigits those of one second.
	digits       = 3
	secondDigits = 2
)

// sample is one finished request.
type sample struct {
	service  string
	intended time.Time
	latency  time.Duration
	verdict  verdict
}

// second collects the requests that were to be sent in one second of the run.
type second struct {
	offered, good, partial, refused, errors int
	served                                  *hdrhistogram.Histogram
}

// recorder collects the results of a run. It is safe for concurrent use.
type recorder struct {
	config Config

	mu           sync.Mutex
	start        time.Time
	seconds      []*second
	totals       second
	refusals     *hdrhistogram.Histogram
	services     map[string]*second
	codes        map[string]int
	kinds        map[string]int
	coverage     float64
	notRun       int
	mixed        int
	coverageBad  int
	foreign      int
	cut          int
	found        findings
	missing      map[string]map[uint32]int
	missingCodes map[string]map[string]int
	factsChecked bool
}

func newHistogram(significant int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatency.Microseconds(), significant)
}

func newSecond(significant int) *second { return &second{served: newHistogram(significant)} }

func newRecorder(config Config) *recorder {
	return &recorder{
		config:   config,
		totals:   *newSecond(digits),
		refusals: newHistogram(digits),
		services: make(map[string]*second),
		codes:    make(map[string]int),
		kinds:    make(map[string]int),
		missing:  make(map[string]map[uint32]int),

		missingCodes: make(map[string]map[string]int),
	}
}

func (r *recorder) begin(start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start = start
}

// add records one request.
func (r *recorder) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, counts := range r.counts(s) {
		counts.offered++
		counts.count(s)
	}
	v := s.verdict
	switch v.class {
	case classGood, classPartial:
		r.coverage += v.coverage
	case classRefused:
		r.codes[codeName(v.code)]++
		r.notRun += count(v.run == "no")
		record(r.refusals, s.latency)
	default:
		r.kinds[v.kind]++
	}
	r.mixed += count(v.mixed)
	r.foreign += count(v.foreign)
	r.coverageBad += count(v.falseCoverage)
	r.cut += count(v.class == classError && v.kind == kindCut)
}

// demote turns a good or partial answer into an error, after the facts refuted
// it.
func (r *recorder) demote(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, counts := range r.counts(s) {
		counts.good -= count(s.verdict.class == classGood)
		counts.partial -= count(s.verdict.class == classPartial)
		counts.errors++
	}
	r.coverage -= s.verdict.coverage
	r.kinds[kindFacts]++
}

// counts returns the sums that a sample belongs to. The caller holds the lock.
func (r *recorder) counts(s sample) []*second {
	at := max(0, int(s.intended.Sub(r.start)/time.Second))
	for len(r.seconds) <= at {
		r.seconds = append(r.seconds, newSecond(secondDigits))
	}
	service := r.services[s.service]
	if service == nil {
		service = newSecond(digits)
		r.services[s.service] = service
	}
	return []*second{&r.totals, r.seconds[at], service}
}

func (c *second) count(s sample) {
	switch s.verdict.class {
	case classGood:
		c.good++
		record(c.served, s.latency)
	case classPartial:
		c.partial++
		record(c.served, s.latency)
	case classRefused:
		c.refused++
	default:
		c.errors++
	}
}

// lacks counts an answer or refusal that lists a shard as missing, and why.
func (r *recorder) lacks(service string, shard uint32, code result.Code) {
	if r.missing[service] == nil {
		r.missing[service] = make(map[uint32]int)
		r.missingCodes[service] = make(map[string]int)
	}
	r.missing[service][shard]++
	r.missingCodes[service][codeName(code)]++
}

func record(h *hdrhistogram.Histogram, latency time.Duration) {
	// Both bounds of the histogram are kept, so that recording cannot fail.
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), longestLatency.Microseconds()))
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
