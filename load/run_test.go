package load

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/settings"
)

// entry answers searches in turn with each of faults, and runs each booking
// key as often as it is asked to.
type entry struct {
	*httptest.Server
	runsPerKey int

	mu       sync.Mutex
	searches map[string]int
	runs     map[string]int
	bookings int
}

var faults = []string{"none", "mixed", "coverage", "foreign", "refused", "cut", "partial"}

func newEntry(t *testing.T, runsPerKey int) *entry {
	e := &entry{runsPerKey: runsPerKey, searches: make(map[string]int), runs: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"addresses":[%q],"lifetime_seconds":0.2}`, e.address())
	})
	mux.HandleFunc("POST /v1/search/desk", e.search)
	mux.HandleFunc("POST /v1/book/lane", e.book)
	mux.HandleFunc("GET /facts", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"bookings": map[string]any{"key_runs": e.runs}})
	})
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *entry) address() string { return e.Listener.Addr().String() }

func (e *entry) search(w http.ResponseWriter, r *http.Request) {
	var request searchRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	e.mu.Lock()
	total := 0
	for _, n := range e.searches {
		total += n
	}
	fault := faults[total%len(faults)]
	e.searches[fault]++
	e.mu.Unlock()
	asked, missing, results := 2, "", part(0, `"q"`, `"`+request.Query+`"`)
	second := part(1, `"q"`, `"`+request.Query+`"`)
	switch fault {
	case "mixed":
		second = strings.Replace(second, "s1", "s0", 1)
	case "coverage":
		asked = 3
	case "foreign":
		second = part(1)
	case "partial":
		second, missing = "", `{"shard":1,"code":2103}`
	case "refused":
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"code":2201,"message":"m","run":"no","request_id":"r"}`)
		return
	case "cut":
		panic(http.ErrAbortHandler)
	}
	if second != "" {
		results += "," + second
	}
	got := search(asked, strings.Count(results, `"body"`), missing, results)
	_, _ = w.Write(got.body)
}

func (e *entry) book(w http.ResponseWriter, r *http.Request) {
	var request bookingRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	key := r.Header.Get("Idempotency-Key")
	e.mu.Lock()
	_, repeated := e.runs[key]
	e.runs[key] = e.runsPerKey
	e.bookings++
	e.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"request_id":"r","key":%q,"body":{"key":%q,"item":%q,"work_id":"w"},"repeated":%t}`,
		key, key, request.Item, repeated)
}

func runConfig(e *entry, mix ...Share) Config {
	return Config{
		Entries: []string{e.address()}, Facts: []string{e.address()}, Mix: mix,
		Rate: 300, Duration: time.Second, Seed: 1, SearchDeadline: 10 * time.Second, BookingDeadline: 10 * time.Second,
		Callers: 2, RepeatShare: 0.5, ConcurrentShare: 0.5, MaxOutstanding: 10000, Log: slog.New(slog.DiscardHandler),
	}
}

// TestRunSearches guards against faults of a real exchange that the report
// does not show.
func TestRunSearches(t *testing.T) {
	e := newEntry(t, 1)
	report, err := Run(context.Background(), runConfig(e, Share{"desk", settings.KindSearch, 1}))
	qt.Assert(t, err, qt.IsNil)
	seen := map[string]int{
		"none": report.Good, "partial": report.PartialAnswers, "refused": report.Refused["2201"], "cut": report.RequestsCut,
		"mixed": report.MixedSnapshots, "coverage": report.FalseCoverage, "foreign": report.ForeignAnswers,
	}
	qt.Assert(t, seen, qt.DeepEquals, e.searches)
	qt.Assert(t, report.Requests, qt.Equals, report.Good+report.PartialAnswers+report.RefusedTotal+report.Errors)
	offered := 0
	for _, s := range report.Series {
		offered += s.Offered
	}
	qt.Assert(t, offered, qt.Equals, report.Requests)
	qt.Assert(t, report.CoverageMean < 1, qt.IsTrue)
	qt.Assert(t, report.P50Ms > 0 && report.P50Ms <= report.P99Ms && report.P99Ms <= report.P999Ms, qt.IsTrue)
}

// TestRunBookings guards against doubled bookings that count as good, and
// against repeats with another key.
func TestRunBookings(t *testing.T) {
	for _, runs := range []int{0, 1, 2} {
		e := newEntry(t, runs)
		report, err := Run(context.Background(), runConfig(e, Share{"lane", settings.KindBooking, 1}))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, report.FactsChecked, qt.IsTrue)
		qt.Assert(t, report.Requests, qt.Equals, e.bookings)
		qt.Assert(t, e.bookings > len(e.runs), qt.IsTrue)
		good, unrun, doubled := report.Requests, 0, 0
		switch runs {
		case 0:
			good, unrun = 0, len(e.runs)
		case 2:
			good, doubled = 0, len(e.runs)
		}
		qt.Assert(t, []int{report.Good, report.UnrunBookings, report.DoubledBookings}, qt.DeepEquals, []int{good, unrun, doubled})
	}
}

// TestSchedule guards against arrivals that differ between runs of one seed or
// do not have the rate.
func TestSchedule(t *testing.T) {
	config := Config{Rate: 100, Seed: 7, RepeatShare: 0.5, Mix: []Share{{"a", settings.KindSearch, 3}, {"b", settings.KindBooking, 1}}}
	first, second := newSchedule(config), newSchedule(config)
	const arrivals = 20000
	picked := make(map[string]int)
	var last arrival
	for range arrivals {
		last = first.next()
		qt.Assert(t, last, qt.Equals, second.next())
		picked[last.service.Service]++
	}
	near := func(got, want float64) bool { return got > 0.95*want && got < 1.05*want }
	qt.Assert(t, near(last.after.Seconds(), arrivals/config.Rate), qt.IsTrue)
	qt.Assert(t, near(float64(picked["a"]), 0.75*arrivals), qt.IsTrue)
}

// TestAddressLifetime guards against addresses that are used after their
// lifetime, and against idle connections kept to an address that left.
func TestAddressLifetime(t *testing.T) {
	e, left := newEntry(t, 1), newEntry(t, 1)
	p := newPool()
	defer p.close()
	a := newAddresses(runConfig(e), p)
	p.allow([]string{left.address()})
	_, err := a.lookup(context.Background(), left.address())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.idle[left.address()], qt.HasLen, 1)
	_, err = a.refresh(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.idle[left.address()], qt.HasLen, 0)

	a.listed, a.expires = []string{left.address()}, time.Now().Add(time.Hour)
	qt.Assert(t, a.candidates(), qt.DeepEquals, []string{left.address()})
	a.expires = time.Now().Add(-time.Second)
	qt.Assert(t, a.candidates(), qt.DeepEquals, []string{e.address()})
}

// TestIdleConnectionClosed guards against an orderly close of an idle
// connection that is reported as a cut request.
func TestIdleConnectionClosed(t *testing.T) {
	e := newEntry(t, 1)
	p := newPool()
	defer p.close()
	a := newAddresses(runConfig(e), p)
	p.allow([]string{e.address()})
	for range 20 {
		_, err := a.lookup(context.Background(), e.address())
		qt.Assert(t, err, qt.IsNil)
		e.CloseClientConnections()
	}
}
