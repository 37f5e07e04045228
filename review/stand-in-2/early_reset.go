package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() { cases["early-reset"] = earlyReset }

// earlyReset sends long requests to a searcher that answers before it has read them, without a length, and breaks off:
// its connection is reset in the middle of the answer.
func earlyReset(r *run) error {
	const requests, longBody, maxBody = 30, 250_000, 262_144
	whole := bytes.Repeat([]byte("0123456789abcdef"), 400)
	s, err := startStore()
	if err != nil {
		return err
	}
	var server *searcher
	server, err = startSearcher("i-early", "booking", "suva", 4, func(c net.Conn, q *http.Request) bool {
		id := q.Header.Get("Request-Id")
		r.log("searcher runs %s and answers before it has read its body of %d bytes", id, q.ContentLength)
		if _, err := fmt.Fprintf(c, "%s\r\n%s", server.head("200 OK", id), whole[:len(whole)/2]); err != nil {
			return false
		}
		time.Sleep(30 * time.Millisecond)
		if r.trouble {
			r.log("searcher breaks off: %d of %d bytes were sent, the connection is reset", len(whole)/2, len(whole))
			_ = c.(*net.TCPConn).SetLinger(0) // a close with unread bytes resets the connection
			return false
		}
		_, _ = c.Write(whole[len(whole)/2:])
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = q.Body.Read(make([]byte, 1))
		buffer := make([]byte, 64<<10)
		for {
			if _, err := q.Body.Read(buffer); err != nil {
				return false
			}
		}
	})
	if err != nil {
		return err
	}
	s.put("config", "main", manifest(7, map[string]any{
		"name": "r-upload", "host": host, "path_prefix": "/upload/", "route_type": "idempotent", "timeout_ms": 4000,
		"target_latency_ms": 1000, "priority": 1, "backend": "booking", "attempts": 1,
	}, maxBody, "booking"))
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
	body := bytes.Repeat([]byte("x"), longBody)
	answered := 0
	for i := range requests {
		id := fmt.Sprintf("early%04d", i)
		a := ask(g, http.MethodPost, "/upload/a", id, 3*time.Second, body)
		r.log("client sent %s, got status %d, %d bytes, complete: %t", id, a.status, len(a.body), a.err == nil)
		if a.err == nil && a.status/100 == 2 {
			answered++
			if !bytes.Equal(a.body, whole) {
				r.violation("MIXED: %s got a success with %d bytes, the searcher's body has %d", id, len(a.body), len(whole))
			}
		}
	}
	if !r.trouble && answered == 0 {
		return fmt.Errorf("no request was answered")
	}
	return nil
}
