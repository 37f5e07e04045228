package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
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

	mu sync.Mutex
	// open holds the connections of the lifetime, also those that have ended.
	open []net.Conn
}

// startSearcher starts a searcher on a loopback address.
func startSearcher(id, service, zone string, slots int, serve func(c net.Conn, q *http.Request) bool) (*searcher, error) {
	s := &searcher{id: id, service: service, zone: zone, address: "127.0.0.1:0", slots: slots, serve: serve}
	return s, s.start()
}

// start starts a lifetime of the searcher, at its address if it had one before.
func (s *searcher) start() error {
	config := net.ListenConfig{Control: asOnEthernet}
	l, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.address, s.born = l, l.Addr().String(), time.Now().UnixMilli()
	go s.accept(l)
	return nil
}

// crash ends the lifetime of the searcher and all its connections.
func (s *searcher) crash() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		_ = c.Close() // it may be closed already
	}
	s.open = nil
}

// ethernetSegment is the size of a TCP segment on an Ethernet, receiveBuffer that of the buffer of a searcher's connection.
const (
	ethernetSegment = 1460
	receiveBuffer   = 8 << 10
)

// asOnEthernet makes the connections of a listener carry segments of the size on an Ethernet and gives them small windows. With
// the segments of 64 KB that loopback connections have otherwise, the kernel holds megabytes of a request for the sender.
func asOnEthernet(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
		)
	})
	if err != nil {
		return err
	}
	return optionErr
}

func (s *searcher) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open = append(s.open, c)
		s.mu.Unlock()
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
