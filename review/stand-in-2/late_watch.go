package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-watch"] = lateWatch }

// Times of the case late-watch, those of a try from the cut of a gateway from the store.
const (
	removedAfter = 500 * time.Millisecond
	cutTime      = time.Second
	tries        = 3
	contactTime  = 4 * time.Second
	workTime     = 30 * time.Millisecond
)

// lateWatch cuts one of two gateways off from the store for a second, several times. Just before each cut its watch of the
// searchers begins; during the cut the entry of a searcher changes, and half a second later it is removed.
func lateWatch(r *run) error {
	s, err := startStore()
	if err != nil {
		return err
	}
	behind, err := s.listen()
	if err != nil {
		return err
	}
	cut, err := startGate(behind)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	reached := make(map[string]string)
	start := func(id, zone string) (*searcher, error) {
		var server *searcher
		server, err := startSearcher(id, "booking", zone, 4, func(c net.Conn, q *http.Request) bool {
			requestID := q.Header.Get("Request-Id")
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return false
			}
			mu.Lock()
			reached[requestID] = id
			mu.Unlock()
			r.log("%s runs %s", id, requestID)
			time.Sleep(workTime)
			_, err := fmt.Fprintf(c, "%sContent-Length: 4\r\n\r\ndone", server.head("200 OK", requestID))
			return err == nil
		})
		return server, err
	}
	s.put("config", "main", manifest(7, map[string]any{
		"name": "r-booking", "host": host, "path_prefix": "/book/", "route_type": "idempotent", "timeout_ms": 4000,
		"target_latency_ms": 250, "priority": 2, "backend": "booking", "attempts": 2,
	}, 262144, "booking"))
	stays, err := start("i-stays", "suva")
	if err != nil {
		return err
	}
	s.put("servers", stays.id, stays.entry("ready"))
	var leaving []*searcher
	for i := range tries {
		server, err := start(fmt.Sprintf("i-leaves-%d", i), "suva")
		if err != nil {
			return err
		}
		s.put("servers", server.id, server.entry("ready"))
		leaving = append(leaving, server)
	}
	near, err := r.newGateway("front-suva-1", "suva", cut.address, defaultBounds, nil)
	if err != nil {
		return err
	}
	far, err := r.newGateway("front-nadi-1", "nadi", s.address, defaultBounds, []string{near.address(controlPort)})
	if err != nil {
		return err
	}
	for _, g := range []*gateway{near, far} {
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range []*gateway{near, far} {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	removed := make(map[string]time.Time)
	for _, server := range leaving {
		s.awaitWatch("servers", behind)
		if r.trouble {
			cut.set(false)
			r.log("%s is cut off from the store", near.name)
		}
		began := time.Now()
		time.Sleep(5 * time.Millisecond)
		entry := server.entry("ready")
		entry["slots"], entry["sequence"] = 3, 2
		r.log("the entry of %s changes, revision %d", server.id, s.put("servers", server.id, entry))
		time.Sleep(time.Until(began.Add(removedAfter)))
		s.remove("servers", server.id)
		removed[server.id] = time.Now()
		r.log("the entry of %s is removed, it serves on", server.id)
		time.Sleep(time.Until(began.Add(cutTime)))
		if r.trouble {
			cut.set(true)
			r.log("%s reaches the store again", near.name)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	served := 0
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			for i := range 20 {
				id := fmt.Sprintf("late%d%03d", caller, i)
				a := ask(near, http.MethodGet, "/book/a", id, 4*time.Second, nil)
				r.log("client sent %s, got status %d", id, a.status)
				mu.Lock()
				server := reached[id]
				if a.status == http.StatusOK {
					served++
				}
				mu.Unlock()
				if at, gone := removed[server]; gone {
					r.violation("DRAIN: %s reached %s, %d ms after the store removed its entry", id, server, time.Since(at).Milliseconds())
				}
			}
		})
	}
	callers.Wait()
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
