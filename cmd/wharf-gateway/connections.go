package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCheckInterval is how often idle connections are looked at, idleSlack how much
// longer than allowed a connection may be idle.
const (
	idleCheckInterval = 1 * time.Second
	idleSlack         = 500 * time.Millisecond
)

// connTracker knows the connTracker of callers. It closes those that have been idle
// for longer than the configuration in force allows: the server's own limit can't
// change while it runs.
type connTracker struct {
	maxIdle func() time.Duration

	mu sync.Mutex
	// idleSince holds when a connection became idle, open the state of all others.
	idleSince   map[net.Conn]time.Time
	newOrActive map[net.Conn]http.ConnState
}

func newConnTracker(maxIdle func() time.Duration) *connTracker {
	return &connTracker{maxIdle: maxIdle, idleSince: make(map[net.Conn]time.Time), newOrActive: make(map[net.Conn]http.ConnState)}
}

// setState notes the state of a connection.
func (t *connTracker) setState(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.idleSince, c)
	delete(t.newOrActive, c)
	switch state {
	case http.StateIdle:
		t.idleSince[c] = time.Now()
	case http.StateNew, http.StateActive:
		t.newOrActive[c] = state
	}
}

// hasNewOrActive reports whether a connection has a request, or is so new that one may come.
func (t *connTracker) hasNewOrActive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.newOrActive) > 0
}

// hasActive reports whether a connection has a request.
func (t *connTracker) hasActive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.newOrActive {
		if state == http.StateActive {
			return true
		}
	}
	return false
}

func (t *connTracker) run() {
	for range time.Tick(idleCheckInterval) {
		if limit := t.maxIdle(); limit > 0 {
			t.closeIdle(time.Now().Add(-limit - idleSlack))
		}
	}
}

func (t *connTracker) closeIdle(cutoff time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, since := range t.idleSince {
		if since.Before(cutoff) {
			_ = c.Close() // the server notes the end of the connection
			delete(t.idleSince, c)
		}
	}
}
