package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// searcher is a stand-in of a searcher. It serves one request at a time on a connection.
type searcher struct {
	id, service, zone string
	address           string
	born              int64
	slots             int
	listener          net.Listener
	// serve answers a request on its connection, and reports whether the connection is kept. The body of the
	// request is not read yet.
	serve func(c net.Conn, q *http.Request) bool
}

// startSearcher starts a searcher on a loopback address.
func startSearcher(id, service, zone string, slots int, serve func(c net.Conn, q *http.Request) bool) (*searcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &searcher{
		id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(),
		slots: slots, listener: l, serve: serve,
	}
	go s.accept()
	return s, nil
}

func (s *searcher) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *searcher) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, 4096)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if target := q.Header.Get("Target-Instance"); target != "" && target != s.id {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id); err != nil {
				return
			}
			continue
		}
		if !s.serve(c, q) {
			return
		}
	}
}

// entry returns the entry of the searcher in the store.
func (s *searcher) entry(state string) map[string]any {
	return map[string]any{
		"backend": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "warmup_left_ms": 0, "sequence": 1, "born": s.born,
	}
}

// seal returns the proof of the searcher for a request.
func (s *searcher) seal(requestID string) string { return "seal." + s.id + "." + requestID }

// head returns the head of an answer without length, up to the empty line.
func (s *searcher) head(status, requestID string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Seal: %s\r\n", status, requestID, s.seal(requestID))
}
