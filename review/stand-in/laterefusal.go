package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lateRefusalLength is how long requests are sent, at officePerSecond.
	lateRefusalLength = 90 * time.Second
	officePerSecond   = 1400
	// extraShare and extraSearchers are the dose of the trouble: two of four searchers repeat
	// this share of their answers.
	extraShare     = 0.04
	extraSearchers = 2
)

// lateRefusal plays requests that may run once at most, at a load near the capacity of their
// searchers. With trouble, half of the searchers repeat a share of their answers late. It ends
// soon after the first request that ran twice, or that was refused although it ran.
func lateRefusal(r *record, trouble bool) (int, error) {
	d, err := startDeployment([]string{"a", "b", "c"})
	if d != nil {
		defer d.end()
	}
	if err != nil {
		return couldNot, err
	}
	l := newLedger(r)
	for i, zone := range []string{"a", "b", "c", "a"} {
		s := &searcher{
			id: fmt.Sprintf("s-%d", i+1), service: "office", zone: zone, slots: make(chan struct{}, 2), queue: 3, ledger: l,
			work: func(string) time.Duration { return time.Duration((2.5 + 5*rand.Float64()) * float64(time.Millisecond)) },
		}
		if trouble && i < extraSearchers {
			s.extra = extraShare
		}
		if err := s.start(); err != nil {
			return couldNot, err
		}
		d.store.put("servers", s.id, s.entry("ready"))
	}
	d.store.put("config", "main", configuration("office", "non_idempotent", 3000, 80))
	if err := d.waitReady(); err != nil {
		return couldNot, err
	}
	time.Sleep(5 * time.Second)
	return bookings(r, d, l)
}

// bookings sends requests on kept connections to all gateways and judges them.
func bookings(r *record, d *deployment, l *ledger) (int, error) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	var stop atomic.Bool
	answers := make(map[string]outcome)
	clients := make([]*client, len(d.gateways))
	for i := range clients {
		clients[i] = newClient()
	}
	n := 0
	due := time.Now()
	for end := due.Add(lateRefusalLength); due.Before(end) && !stop.Load(); n++ {
		id := fmt.Sprintf("q%05d", n)
		i := rand.IntN(len(d.gateways))
		wait.Go(func() {
			o := clients[i].ask(d.gateways[i].front, "POST", "/book/x", id, 3*time.Second, "order "+id)
			r.note("answered  %s by %s with %d %v after %d ms", id, d.gateways[i].name, o.status, o.err, o.answered.Sub(o.sentAt).Milliseconds())
			if runs := l.of(id); len(runs) > 1 || len(runs) > 0 && promisesNotRun(o.status) {
				stop.Store(true)
			}
			mu.Lock()
			answers[id] = o
			mu.Unlock()
		})
		due = due.Add(time.Duration(rand.ExpFloat64() / officePerSecond * float64(time.Second)))
		time.Sleep(time.Until(due))
	}
	wait.Wait()
	time.Sleep(3 * time.Second) // a request that was refused may run later
	return judgeBookings(r, l, answers)
}

// judgeBookings applies TWICE and REFUSED to all requests.
func judgeBookings(r *record, l *ledger, answers map[string]outcome) (int, error) {
	twice, refused, served := 0, 0, 0
	for id, o := range answers {
		runs := l.of(id)
		if len(runs) > 1 {
			twice++
			r.note("TWICE     %s ran %d times, at %v, and was answered with %d", id, len(runs), searchersOf(runs), o.status)
		}
		if len(runs) > 0 && promisesNotRun(o.status) {
			refused++
			r.note("REFUSED   %s was answered with %d and ran at %v", id, o.status, searchersOf(runs))
		}
		if o.status == 200 {
			served++
		}
	}
	r.result("requests %d, served %d, run twice %d, refused and run %d", len(answers), served, twice, refused)
	if served == 0 {
		return couldNot, fmt.Errorf("no request was served")
	}
	if twice+refused > 0 {
		return broken, nil
	}
	return held, nil
}

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

func searchersOf(runs []run) []string {
	var ids []string
	for _, x := range runs {
		ids = append(ids, x.searcher)
	}
	return ids
}

// configuration returns a manifest with one route to one service.
func configuration(service, routeType string, timeoutMs, targetMs int) map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-book", "host": host, "path_prefix": "/book/", "route_type": routeType, "timeout_ms": timeoutMs,
			"target_latency_ms": targetMs, "priority": 2, "backend": service, "attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
