package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCheckInterval is how often idle connections are checked. A connection is closed only
// after it has been idle for the configured idle timeout plus idleSlack.
const (
	idleCheckInterval = 1 * time.Second
	idleSlack         = 500 * time.Millisecond
)

// connTracker tracks the connections of callers and closes those that have been idle for
// longer than the current configuration allows. The idle timeout of http.Server is not used
// for this, because it can't be changed while the server runs.
type connTracker struct {
	// idleTimeout returns the configured idle timeout. Zero means that there is none.
	idleTimeout func() time.Duration

	mu sync.Mutex
	// idleSince holds when each idle connection became idle. newOrActive holds the state
	// of the other open connections.
	idleSince   map[net.Conn]time.Time
	newOrActive map[net.Conn]http.ConnState
}

func newConnTracker(idleTimeout func() time.Duration) *connTracker {
	return &connTracker{idleTimeout: idleTimeout, idleSince: make(map[net.Conn]time.Time), newOrActive: make(map[net.Conn]http.ConnState)}
}

// setState records the new state of a connection. It is the ConnState hook of the server.
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

// hasNewOrActive reports whether any connection is serving a request, or is new, so that
// its first request may still arrive.
func (t *connTracker) hasNewOrActive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.newOrActive) > 0
}

// hasActive reports whether any connection is serving a request.
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

// count returns how many connections are idle, and how many are new or serve a request.
func (t *connTracker) count() (idle, newOrActive int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.idleSince), len(t.newOrActive)
}

// run closes connections that are idle for too long. It never returns.
func (t *connTracker) run() {
	for range time.Tick(idleCheckInterval) {
		if limit := t.idleTimeout(); limit > 0 {
			t.closeIdle(time.Now().Add(-limit - idleSlack))
		}
	}
}

// closeIdle closes the connections that have been idle since before the cutoff.
func (t *connTracker) closeIdle(cutoff time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, since := range t.idleSince {
		if since.Before(cutoff) {
			if caller, ok := c.(*callerConn); ok {
				caller.end() // unless a request arrives on it
			} else {
				_ = c.Close() // the server detects the close and cleans up
			}
			delete(t.idleSince, c)
		}
	}
}
