package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { cases["shorter-grace"] = shorterGrace }

// Times of the case shorter-grace, after SIGTERM.
const (
	usualGrace   = 6 * time.Second
	shorterAfter = 4 * time.Second
	sendAfter    = 3200 * time.Millisecond
	longWork     = 1200 * time.Millisecond
)

// shorterGrace changes grace_s in the settings file of a running gateway from 6 to 4 and sends SIGHUP. Later the gateway
// gets SIGTERM, and SIGKILL after the grace of its settings file. Callers send requests on connections that they kept.
func shorterGrace(r *run) error {
	const callers = 5
	s, err := startStore()
	if err != nil {
		return err
	}
	var server *searcher
	server, err = startSearcher("i-notes", "booking", "suva", 8, func(c net.Conn, q *http.Request) bool {
		id := q.Header.Get("Request-Id")
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return false
		}
		r.log("searcher begins to work on %s", id)
		work := 10 * time.Millisecond
		if strings.HasPrefix(id, "long") {
			work = longWork
		}
		time.Sleep(work)
		_, err := fmt.Fprintf(c, "%sContent-Length: 4\r\n\r\ndone", server.head("200 OK", id))
		r.log("searcher has answered %s", id)
		return err == nil
	})
	if err != nil {
		return err
	}
	s.put("config", "main", manifest(7, map[string]any{
		"name": "r-booking", "host": host, "path_prefix": "/book/", "route_type": "idempotent", "timeout_ms": 4000,
		"target_latency_ms": 1500, "priority": 2, "backend": "booking", "attempts": 1,
	}, 262144, "booking"))
	s.put("servers", server.id, server.entry("ready"))
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
	var kept []*callerConn
	for i := range callers {
		c, err := connect(g)
		if err != nil {
			return err
		}
		if err := c.send(http.MethodGet, "/book/a", fmt.Sprintf("short%04d", i), 4*time.Second, nil); err != nil {
			return err
		}
		if a := c.receive(http.MethodGet); a.err != nil || a.status != http.StatusOK {
			return fmt.Errorf("first request on a connection: status %d, %v", a.status, a.err)
		}
		kept = append(kept, c)
	}
	grace := usualGrace
	if r.trouble {
		grace = shorterAfter
		text := strings.Replace(g.settings, "grace_s: 6", "grace_s: 4", 1)
		if err := os.WriteFile(g.file, []byte(text), 0o600); err != nil {
			return err
		}
		r.log("the settings file now has grace_s: 4")
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	g.signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() {
		g.signal(syscall.SIGKILL)
	})
	time.Sleep(sendAfter)
	for i, c := range kept {
		id := fmt.Sprintf("long%04d", i)
		if err := c.send(http.MethodGet, "/book/a", id, 4*time.Second, nil); err != nil {
			r.log("connection was closed before %s was sent: %v", id, err)
			kept[i] = nil
			continue
		}
		r.log("client sends %s, %d ms after SIGTERM", id, time.Since(began).Milliseconds())
	}
	for i, c := range kept {
		if c == nil {
			continue
		}
		id := fmt.Sprintf("long%04d", i)
		a := c.receive(http.MethodGet)
		r.log("client got status %d for %s, %d ms after SIGTERM, complete: %t", a.status, id, time.Since(began).Milliseconds(), a.err == nil)
		if a.err != nil {
			r.violation("LOST: the connection of %s ended without an answer: %v", id, a.err)
		}
	}
	time.Sleep(time.Until(began.Add(grace + 200*time.Millisecond)))
	return nil
}
