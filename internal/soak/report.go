package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// report is what a run showed.
type report struct {
	seed uint64

	mu        sync.Mutex
	answers   map[string]int
	addresses map[string]string
	// written holds when requests were written, by ID.
	written    map[string]time.Time
	good       int
	partial    int
	refused    int
	failed     int
	unanswered int
	faults     int
	inStops    int
	// unauthorized counts answers 401, flood is how many requests of the flooding account ran in a
	// quotaWindow at most, orders are the roll-outs.
	unauthorized, flood int
	orders              string
	violations          []string
}

func (r *report) answer(id string, status, missing int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = status
	switch {
	case status == http.StatusOK && missing == 0:
		r.good++
	case status == http.StatusOK:
		r.partial++
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		r.refused++
	default:
		r.failed++
	}
}

// sent notes the address to which a request is sent.
func (r *report) sent(id, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses[id] = address
}

// sentTo returns the address to which a request was sent, empty if it is not known.
func (r *report) sentTo(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addresses[id]
}

func (r *report) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered++
}

func (r *report) fault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

// inStop notes a request to an instance that was stopping.
func (r *report) inStop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inStops++
}

func (r *report) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// String returns the run as a line of the table.
func (r *report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.good + r.partial + r.refused + r.failed + r.unanswered
	return fmt.Sprint(r.seed, " ", total, " ", r.good, " ", r.partial, " ", r.refused, " ", r.failed, " ", r.unanswered, " ", r.faults, " ", len(r.violations), " ", r.inStops, " ", r.unauthorized, " ", r.flood, " ", r.orders)
}

// checkRuns compares what ran with what the callers were told.
func (s *soak) checkRuns() {
	ran := make(map[string]int)
	for _, run := range s.ledger.Runs() {
		if strings.HasPrefix(run.Path, "/book/") {
			ran[run.RequestID]++
		}
	}
	for id, n := range ran {
		if n > 1 {
			s.report.violate("TWICE: booking %s ran %d times", id, n)
		}
		if s.report.answers[id] == http.StatusServiceUnavailable {
			s.report.violate("REFUSED: booking %s ran, though it was refused as not run", id)
		}
	}
}
