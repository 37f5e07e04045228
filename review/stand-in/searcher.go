package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a searcher began to work on.
type run struct {
	id, searcher string
	at           time.Time
}

// ledger records the runs of all searchers.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]run
	note func(format string, args ...any)
}

func newLedger(r *record) *ledger { return &ledger{runs: make(map[string][]run), note: r.note} }

func (l *ledger) add(r run) {
	l.mu.Lock()
	l.runs[r.id] = append(l.runs[r.id], r)
	l.mu.Unlock()
	l.note("run       %s at %s", r.id, r.searcher)
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// searcher is a stand-in of a searcher. It runs some requests at once, queues a few more, and
// rejects the others with 503 and Not-Executed. It echoes Request-Id in each response.
type searcher struct {
	id, service, zone, address string
	slots                      chan struct{}
	queue                      int
	work                       func(path string) time.Duration
	// extra is the share of its answers that it sends twice. The second copy comes late, when
	// the next response on the connection is expected.
	extra  float64
	ledger *ledger

	mu      sync.Mutex
	waiting int
	born    int64
	// lastBeat is when the searcher last was to write its entry.
	lastBeat time.Time
}

// start listens on a loopback address and serves connections.
func (s *searcher) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.born = l.Addr().String(), time.Now().UnixMilli()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// entry is what the searcher says of itself in the store.
func (s *searcher) entry(state string) map[string]any {
	return map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": cap(s.slots),
		"state": state, "warmup_left_ms": 0, "sequence": 1, "born": s.born,
	}
}

func (s *searcher) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	var late []byte
	former := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			s.ledger.note("extra     %s repeats its answer to %s before it works on %s", s.id, former, r.Header.Get("Request-Id"))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := s.answer(r, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if rand.Float64() < s.extra {
			late, former = answer, r.Header.Get("Request-Id")
		}
	}
}

// answer runs or rejects one request and returns the response.
func (s *searcher) answer(r *http.Request, body []byte) []byte {
	id := r.Header.Get("Request-Id")
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		return response(http.StatusMisdirectedRequest, "Instance-Id: "+s.id+"\r\nRequest-Id: "+id+"\r\n", nil)
	}
	left := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	arrived := time.Now()
	if !s.begin(left) {
		s.ledger.note("rejected  %s by %s", id, s.id)
		return response(http.StatusServiceUnavailable, "Not-Executed: 1\r\nRequest-Id: "+id+"\r\n", nil)
	}
	defer func() { <-s.slots }()
	s.ledger.add(run{id: id, searcher: s.id, at: time.Now()})
	work := s.work(r.URL.Path)
	seal := "Server-Seal: " + s.id + "." + id + "\r\nRequest-Id: " + id + "\r\n"
	if limit := left - time.Since(arrived); work > limit {
		time.Sleep(limit)
		return response(http.StatusGatewayTimeout, seal, nil)
	}
	time.Sleep(work)
	return response(http.StatusOK, seal, append([]byte("done "), body...))
}

// begin waits for a slot. It returns false if too many requests wait or the time limit passes.
func (s *searcher) begin(left time.Duration) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	full := s.waiting >= s.queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-time.After(left):
		return false
	}
}

func response(status int, header string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), header, len(body))
	b.Write(body)
	return b.Bytes()
}
