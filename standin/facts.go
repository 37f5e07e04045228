package standin

import (
	"sync"
	"time"
)

// SearcherFacts are what one searcher saw. Limits count each start or
// connection above them.
type SearcherFacts struct {
	Received                int   `json:"received"`
	Started                 int   `json:"started"`
	Completed               int   `json:"completed"`
	Cancelled               int   `json:"cancelled"`
	Abandoned               int   `json:"abandoned"`
	StoppedAtDeadline       int   `json:"stopped_at_deadline"`
	RefusedExpired          int   `json:"refused_expired"`
	RefusedShed             int   `json:"refused_shed"`
	RefusedDraining         int   `json:"refused_draining"`
	RefusedSnapshot         int   `json:"refused_snapshot"`
	BadRequests             int   `json:"bad_requests"`
	Running                 int   `json:"running"`
	PeakRunning             int   `json:"peak_running"`
	Connections             int   `json:"connections"`
	PeakConnections         int   `json:"peak_connections"`
	ConnectionsAccepted     int   `json:"connections_accepted"`
	SlotLimitExceeded       int   `json:"slot_limit_exceeded"`
	ConnectionLimitExceeded int   `json:"connection_limit_exceeded"`
	ColdLimitExceeded       int   `json:"cold_limit_exceeded"`
	ColdUnwarned            int   `json:"cold_unwarned"`
	WorkAfterDrain          int   `json:"work_after_drain"`
	WorkAfterDrainLastMs    int64 `json:"work_after_drain_last_ms"`
	Cold                    int   `json:"cold"`
	Draining                int   `json:"draining"`
}

// add sums counts and takes the greater of peaks.
func (f *SearcherFacts) add(o SearcherFacts) {
	f.Received += o.Received
	f.Started += o.Started
	f.Completed += o.Completed
	f.Cancelled += o.Cancelled
	f.Abandoned += o.Abandoned
	f.StoppedAtDeadline += o.StoppedAtDeadline
	f.RefusedExpired += o.RefusedExpired
	f.RefusedShed += o.RefusedShed
	f.RefusedDraining += o.RefusedDraining
	f.RefusedSnapshot += o.RefusedSnapshot
	f.BadRequests += o.BadRequests
	f.Running += o.Running
	f.PeakRunning = max(f.PeakRunning, o.PeakRunning)
	f.Connections += o.Connections
	f.PeakConnections = max(f.PeakConnections, o.PeakConnections)
	f.ConnectionsAccepted += o.ConnectionsAccepted
	f.SlotLimitExceeded += o.SlotLimitExceeded
	f.ConnectionLimitExceeded += o.ConnectionLimitExceeded
	f.ColdLimitExceeded += o.ColdLimitExceeded
	f.ColdUnwarned += o.ColdUnwarned
	f.WorkAfterDrain += o.WorkAfterDrain
	f.WorkAfterDrainLastMs = max(f.WorkAfterDrainLastMs, o.WorkAfterDrainLastMs)
	f.Cold += o.Cold
	f.Draining += o.Draining
}

// SearcherReport is one searcher in Facts.
type SearcherReport struct {
	Address       string   `json:"address"`
	FailureDomain string   `json:"failure_domain"`
	Services      []string `json:"services"`
	SearcherFacts
}

// DomainFacts are the starts of work in one failure domain.
type DomainFacts struct {
	Started         int           `json:"started"`
	LastStartUnixMs int64         `json:"last_start_unix_ms"`
	PerSecond       map[int64]int `json:"per_second"`
}

// BookingFacts are the runs of bookings.
type BookingFacts struct {
	Keys            int `json:"keys"`
	Runs            int `json:"runs"`
	DoubledBookings int `json:"doubled_bookings"`
	// KeyRuns holds the runs of each key; it is filled only on request.
	KeyRuns map[string]int `json:"key_runs,omitempty"`
}

// Facts are what all searchers of a process saw.
type Facts struct {
	Totals    SearcherFacts             `json:"totals"`
	Bookings  BookingFacts              `json:"bookings"`
	Domains   map[string]DomainFacts    `json:"failure_domains"`
	Searchers map[string]SearcherReport `json:"searchers"`
}

// Facts returns the facts so far, with the runs of each key if keys is true.
func (u *Upstream) Facts(keys bool) Facts {
	facts := Facts{
		Searchers: make(map[string]SearcherReport, len(u.searchers)),
		Domains:   u.starts.facts(),
		Bookings:  u.bookings.facts(keys),
	}
	for _, s := range u.searchers {
		report := s.report()
		facts.Totals.add(report.SearcherFacts)
		facts.Searchers[s.id] = report
	}
	return facts
}

// startLog keeps when work started in each failure domain.
type startLog struct {
	mu      sync.Mutex
	domains map[string]*DomainFacts
}

func newStartLog() *startLog { return &startLog{domains: make(map[string]*DomainFacts)} }

func (l *startLog) add(domain string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.domains[domain]
	if d == nil {
		d = &DomainFacts{PerSecond: make(map[int64]int)}
		l.domains[domain] = d
	}
	d.Started++
	d.LastStartUnixMs = now.UnixMilli()
	d.PerSecond[now.Unix()]++
}

func (l *startLog) facts() map[string]DomainFacts {
	l.mu.Lock()
	defer l.mu.Unlock()
	facts := make(map[string]DomainFacts, len(l.domains))
	for name, d := range l.domains {
		copied := *d
		copied.PerSecond = make(map[int64]int, len(d.PerSecond))
		for second, n := range d.PerSecond {
			copied.PerSecond[second] = n
		}
		facts[name] = copied
	}
	return facts
}

func (l *startLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.domains)
}

// bookingLog counts the runs of each key over all searchers of the process.
type bookingLog struct {
	mu   sync.Mutex
	runs map[string]int
}

func newBookingLog() *bookingLog { return &bookingLog{runs: make(map[string]int)} }

func (l *bookingLog) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

func (l *bookingLog) facts(keys bool) BookingFacts {
	l.mu.Lock()
	defer l.mu.Unlock()
	facts := BookingFacts{Keys: len(l.runs)}
	if keys {
		facts.KeyRuns = make(map[string]int, len(l.runs))
	}
	for key, n := range l.runs {
		facts.Runs += n
		if n > 1 {
			facts.DoubledBookings++
		}
		if keys {
			facts.KeyRuns[key] = n
		}
	}
	return facts
}

func (l *bookingLog) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.runs)
}
