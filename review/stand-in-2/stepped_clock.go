package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["stepped-clock"] = steppedClock }

const (
	// clockStep is by how much the time of day of the searcher's machine jumps back.
	clockStep = 2000 * time.Millisecond
	// drainBound is drain_ms, drainSlack what is left to the record's own delays.
	drainBound = 3 * time.Second
	drainSlack = 300 * time.Millisecond
)

// steppedClock lets a searcher crash and start again under its id, shortly after its first start. The time of day of its
// machine has jumped back meanwhile, so that the new `born` is lower. Later the searcher reports `draining`.
func steppedClock(r *run) error {
	s, err := startStore()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	reached := make(map[string][]string)
	start := func(id, zone string) (*searcher, error) {
		var server *searcher
		server, err := startSearcher(id, "booking", zone, 4, func(c net.Conn, q *http.Request) bool {
			requestID := q.Header.Get("Request-Id")
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return false
			}
			mu.Lock()
			reached[requestID] = append(reached[requestID], id)
			mu.Unlock()
			r.log("%s runs %s", id, requestID)
			_, err := fmt.Fprintf(c, "%sContent-Length: 4\r\n\r\ndone", server.head("200 OK", requestID))
			return err == nil
		})
		return server, err
	}
	other, err := start("i-other", "nadi")
	if err != nil {
		return err
	}
	again, err := start("i-again", "suva")
	if err != nil {
		return err
	}
	s.put("config", "main", manifest(7, map[string]any{
		"name": "r-booking", "host": host, "path_prefix": "/book/", "route_type": "idempotent", "timeout_ms": 4000,
		"target_latency_ms": 250, "priority": 2, "backend": "booking", "attempts": 2,
	}, 262144, "booking"))
	s.put("servers", other.id, other.entry("ready"))
	s.put("servers", again.id, again.entry("ready"))
	g, err := r.newGateway("front-suva-1", "suva", s.address, defaultBounds, nil)
	if err != nil {
		return err
	}
	if err := g.start(); err != nil {
		return err
	}
	if err := g.awaitReady(); err != nil {
		return err
	}
	n := 0
	play := func(d time.Duration, check func(id string, got []string)) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			n++
			id := fmt.Sprintf("step%04d", n)
			a := ask(g, http.MethodGet, "/book/a", id, 4*time.Second, nil)
			r.log("client sent %s, got status %d", id, a.status)
			mu.Lock()
			got := reached[id]
			mu.Unlock()
			check(id, got)
		}
	}
	ignore := func(string, []string) {}
	play(time.Second, ignore)

	before, started := again.born, time.Now()
	again.crash()
	r.log("i-again has crashed")
	time.Sleep(200 * time.Millisecond)
	if err := again.start(); err != nil {
		return err
	}
	if r.trouble {
		again.born -= clockStep.Milliseconds()
		r.log("the time of day of the machine of i-again has jumped back by %v", clockStep)
	}
	s.put("servers", again.id, again.entry("ready"))
	r.log("i-again has started again under its id and address: born %d, before %d; it was down for %d ms", again.born, before, time.Since(started).Milliseconds())
	play(6*time.Second, ignore)

	revision := s.put("servers", again.id, again.entry("draining"))
	acknowledged := time.Now()
	r.log("the store has accepted that i-again is draining, revision %d", revision)
	play(drainBound+drainSlack, ignore)
	late, served := 0, 0
	play(5*time.Second, func(id string, got []string) {
		for _, server := range got {
			served++
			if server == again.id {
				late++
				r.violation("DRAIN: %s reached i-again, more than %d ms after the store accepted that it drains", id, (time.Since(acknowledged) - time.Second/10).Milliseconds())
			}
		}
	})
	r.log("of %d requests after the bound, %d reached the draining searcher", served, late)
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
