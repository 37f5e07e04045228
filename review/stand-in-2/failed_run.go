package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["failed-run"] = failedRun }

// failShare is the share of its runs that the failing searcher fails, in percent.
const failShare = 40

// failedRun sends requests that may run once to three searchers. One of them runs them and fails part of them with its own
// 503. The answer has no Not-Executed.
func failedRun(r *run) error {
	const requests, failing = 120, "i-book-suva"
	s, err := startStore()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	runs := make(map[string]int)
	runsOfFailing := 0
	for _, zone := range []string{"suva", "nadi", "lautoka"} {
		var server *searcher
		server, err = startSearcher("i-book-"+zone, "booking", zone, 4, func(c net.Conn, q *http.Request) bool {
			id := q.Header.Get("Request-Id")
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return false
			}
			mu.Lock()
			runs[id]++
			if server.id == failing {
				runsOfFailing++
			}
			n := runsOfFailing
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			status, body := "200 OK", "booked by "+server.id
			if r.trouble && server.id == failing && n*failShare%100 < failShare {
				status, body = "503 Service Unavailable", "booked, but the payment service did not answer"
			}
			r.log("searcher %s has run %s and answers %s without Not-Executed", server.id, id, status)
			_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", server.head(status, id), len(body), body)
			return err == nil
		})
		if err != nil {
			return err
		}
		s.put("servers", server.id, server.entry("ready"))
	}
	s.put("config", "main", manifest(7, map[string]any{
		"name": "r-booking", "host": host, "path_prefix": "/book/", "route_type": "non_idempotent", "timeout_ms": 4000,
		"target_latency_ms": 250, "priority": 2, "backend": "booking", "attempts": 2,
	}, 262144, "booking"))
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
	booked := 0
	for i := range requests {
		id := fmt.Sprintf("book%04d", i)
		a := ask(g, http.MethodPost, "/book/lane", id, 4*time.Second, []byte(strings.Repeat("x", 300)))
		mu.Lock()
		n := runs[id]
		mu.Unlock()
		r.log("client sent %s, got status %d, Server-Seal %q, Not-Executed %q; it has run %d times", id, a.status,
			a.header.Get("Server-Seal"), a.header.Get("Not-Executed"), n)
		switch {
		case a.err != nil:
			return fmt.Errorf("no answer to %s: %w", id, a.err)
		case a.status == http.StatusOK:
			booked++
		case (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) && n > 0:
			r.violation("REFUSED: %s was answered %d, which promises that it has not run, and has run", id, a.status)
		}
	}
	if booked == 0 {
		return fmt.Errorf("no request was answered")
	}
	return nil
}
