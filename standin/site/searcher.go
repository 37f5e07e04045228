package site

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is a request that a searcher began to work on.
type Run struct {
	RequestID string
	Searcher  string
	Path      string
	Body      string
	// Header holds the headers of the request.
	Header http.Header
	// Reached is when the request reached the searcher, At when it began to run.
	Reached time.Time
	At      time.Time
	// Left is the time that the request had left.
	Left time.Duration
}

// Refusal is a request that a searcher refused, and asked for a pause with that.
type Refusal struct {
	RequestID string
	Searcher  string
	Reached   time.Time
	// Until is the end of the pause.
	Until time.Time
}

// Ledger records what ran, for all searchers of a site.
type Ledger struct {
	mu       sync.Mutex
	runs     []Run
	refusals []Refusal
	arrivals int
}

// Runs returns what ran so far.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Count returns how often a request ran.
func (l *Ledger) Count(requestID string) int {
	n := 0
	for _, r := range l.Runs() {
		if r.RequestID == requestID {
			n++
		}
	}
	return n
}

// Refusals returns the refusals so far that asked for a pause.
func (l *Ledger) Refusals() []Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Refusal(nil), l.refusals...)
}

func (l *Ledger) refused(r Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals = append(l.refusals, r)
}

// Arrivals returns how many requests reached searchers.
func (l *Ledger) Arrivals() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals
}

func (l *Ledger) arrived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals++
}

func (l *Ledger) ran(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// SearcherFaults is how a searcher misbehaves.
type SearcherFaults struct {
	// Shed is the share of requests that are refused and don't run, Fail of those
	// that run and fail, Lose of those whose answer is lost after the run.
	Shed, Fail, Lose float64
	// Garble makes replies break off, Stranger puts a reply to another request
	// before the right one, Extra sends each reply twice.
	Garble, Stranger, Extra bool
	// RepeatLate repeats the former reply on a connection when the next request has been read
	// there, before it runs. Unidentified leaves the request ID out of refusals.
	RepeatLate, Unidentified bool
	// Silent makes requests wait until their callers give up.
	Silent bool
	// Until, if not nil, makes requests run until it is closed.
	Until <-chan struct{}
	// Work is added to the time that a request takes.
	Work time.Duration
	// Slow is the share of requests that take SlowFactor times as long.
	Slow, SlowFactor float64
	// RateLimit is the rate limit that replies advertise, in requests a second. Zero is none.
	RateLimit float64
	// Leaving makes all replies say that the searcher leaves. Pause is what refusals state as the
	// pause that the searcher wants, in seconds, none if it is empty.
	Leaving bool
	Pause   string
}

// Searcher is a stand-in of one searcher. It listens on a loopback address.
type Searcher struct {
	ID      string
	Service string
	Domain  string
	// Version is the version in the entry. It is set before Entry is called.
	Version string
	// StartUnixMs is the start in the entry, as a Unix time in milliseconds.
	StartUnixMs int64
	ledger      *Ledger
	work        time.Duration
	slots       chan struct{}
	server      *http.Server
	address     string

	mu     sync.Mutex
	faults SearcherFaults
	// limitedSince is since when the present rate limit is advertised, zero if there is none.
	limitedSince time.Time
}

// queueLength is how many requests wait for a slot before more are refused.
const queueLength = 12

// StartSearcher starts a searcher whose requests take the given time.
func StartSearcher(id, service, domain string, work time.Duration, slots int, ledger *Ledger) (*Searcher, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Searcher{
		ID: id, Service: service, Domain: domain, Version: "v1", StartUnixMs: 1, ledger: ledger, work: work,
		slots: make(chan struct{}, slots), address: listener.Addr().String(),
	}
	s.server = &http.Server{Handler: s, ConnContext: withRecordingConn}
	go func() { _ = s.server.Serve(recordingListener{listener}) }() // ends with Stop
	return s, nil
}

// Stop ends the searcher and its connections.
func (s *Searcher) Stop() { _ = s.server.Close() }

// SetFaults changes how the searcher misbehaves.
func (s *Searcher) SetFaults(f SearcherFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.RateLimit == 0:
		s.limitedSince = time.Time{}
	case f.RateLimit != s.faults.RateLimit:
		s.limitedSince = time.Now()
	}
	s.faults = f
}

// LimitedSince returns since when the searcher advertises its present rate limit, zero if it
// advertises none.
func (s *Searcher) LimitedSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limitedSince
}

// Entry returns what the searcher says of itself in the store.
func (s *Searcher) Entry(state string) map[string]any {
	return map[string]any{
		"backend": s.Service, "address": s.address, "zone": s.Domain, "version": s.Version,
		"slots": cap(s.slots), "state": state, "warmup_left_ms": 0, "sequence": 1, "born": s.StartUnixMs,
	}
}

// Records returns the body of the searcher's service for a path: records that
// differ between services.
func Records(service, path string) []byte {
	var b bytes.Buffer
	for i := range 4 {
		fmt.Fprintf(&b, "%-16.16s", fmt.Sprintf("%d%s%s", i, service, path))
	}
	return b.Bytes()
}

// ServeHTTP runs one request.
func (s *Searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	reached := time.Now()
	s.ledger.arrived()
	beginReply(r.Context(), f.RepeatLate)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if f.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	left := s.timeLeft(r)
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	if rand.Float64() < f.Shed || !s.begin(ctx) {
		if f.Unidentified {
			w.Header().Del("Request-Id")
		}
		w.Header().Set("Not-Executed", "1")
		if f.Pause != "" {
			w.Header().Set("Retry-After", f.Pause)
			pause, _ := time.ParseDuration(f.Pause + "s") // zero if it is odd
			s.ledger.refused(Refusal{RequestID: id, Searcher: s.ID, Reached: reached, Until: time.Now().Add(pause)})
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.ledger.ran(Run{RequestID: id, Searcher: s.ID, Path: r.RequestURI, Body: string(body), Header: r.Header.Clone(), Reached: reached, At: time.Now(), Left: left})
	if f.Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	work := s.work
	if rand.Float64() < f.Slow {
		work = time.Duration(f.SlowFactor * float64(work))
	}
	select {
	case <-time.After(work + f.Work + askedWork(r)):
	case <-r.Context().Done():
		return
	}
	if f.Until != nil {
		select {
		case <-f.Until:
		case <-r.Context().Done():
			return
		}
	}
	s.answer(w, r, id, f)
}

func (s *Searcher) timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

// WorkQuery is the query parameter by which a request adds to its own work, in milliseconds.
const WorkQuery = "work_ms"

func askedWork(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get(WorkQuery))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (s *Searcher) begin(ctx context.Context) bool {
	if len(s.slots) == cap(s.slots)+queueLength {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Searcher) answer(w http.ResponseWriter, r *http.Request, id string, f SearcherFaults) {
	if rand.Float64() < f.Lose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Seal", Seal(s.Service, id))
	if f.RateLimit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(f.RateLimit, 'f', -1, 64))
	}
	if rand.Float64() < f.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body := Records(s.Service, r.URL.Path)
	switch {
	case f.Garble:
		s.raw(w, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\nServer-Seal: x\r\nContent-Length: 400\r\n\r\nshort")
	case f.Stranger:
		s.raw(w, s.whole("another", "strange")+s.whole(id, string(body)))
	case f.Extra:
		s.raw(w, s.whole(id, string(body))+s.whole(id, string(body)))
	default:
		_, _ = w.Write(body) // the caller may have gone
	}
}

// Seal returns the signature of a searcher's reply to a request.
func Seal(service, requestID string) string { return service + "." + requestID }

func (s *Searcher) whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, Seal(s.Service, id), len(body), body)
}

// raw writes bytes to the connection and ends it.
func (s *Searcher) raw(w http.ResponseWriter, text string) {
	conn, buffer, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = buffer.WriteString(text)
	_ = buffer.Flush()
	_ = conn.Close()
}
