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
// longer than the configuration allows, both the current one and that of the time when they
// became idle: a caller may keep a connection for as long as was allowed then. The idle timeout
// of http.Server is not used for this, because it can't be changed while the server runs.
type connTracker struct {
	// idleTimeout returns the configured idle timeout. Zero means that there is none.
	idleTimeout func() time.Duration
	// headTimeout is how long a connection that was idle for too long may take to send the head of
	// a request.
	headTimeout time.Duration
	// lastCheck is when idle connections were last checked. Only run uses it.
	lastCheck time.Time

	mu sync.Mutex
	// idle holds the idle connections. newOrActive holds the state of the other open
	// connections.
	idle        map[net.Conn]idleConn
	newOrActive map[net.Conn]http.ConnState
}

// idleConn is the state of an idle connection.
type idleConn struct {
	// since is when it became idle, timeout the idle timeout that was configured then.
	since   time.Time
	timeout time.Duration
}

func newConnTracker(idleTimeout func() time.Duration) *connTracker {
	return &connTracker{idleTimeout: idleTimeout, headTimeout: headerTimeout, idle: make(map[net.Conn]idleConn), newOrActive: make(map[net.Conn]http.ConnState)}
}

// setState records the new state of a connection. It is the ConnState hook of the server.
func (t *connTracker) setState(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.idle, c)
	delete(t.newOrActive, c)
	switch state {
	case http.StateIdle:
		t.idle[c] = idleConn{since: time.Now(), timeout: t.idleTimeout()}
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
	return len(t.idle), len(t.newOrActive)
}

// run closes connections that are idle for too long. It never returns.
func (t *connTracker) run() {
	t.lastCheck = time.Now()
	for range time.Tick(idleCheckInterval) {
		t.check(time.Now())
	}
}

// check closes connections that are idle for too long. It closes none if the check is late,
// because the process was paused or got no processor time: it may not have looked yet at
// requests that came meanwhile.
func (t *connTracker) check(now time.Time) {
	late := now.Sub(t.lastCheck) > idleCheckInterval+idleSlack
	t.lastCheck = now
	if timeout := t.idleTimeout(); timeout > 0 && !late {
		t.closeIdle(now, timeout)
	}
}

// closeIdle closes the connections that have been idle for longer than the timeout and the one
// that was configured when they became idle.
func (t *connTracker) closeIdle(now time.Time, timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, idle := range t.idle {
		cutoff := now.Add(-max(timeout, idle.timeout) - idleSlack)
		if !idle.since.Before(cutoff) {
			continue
		}
		if caller, ok := c.(*callerConn); ok {
			caller.endUnlessRequest(t.headTimeout)
		} else {
			_ = c.Close()
		}
		delete(t.idle, c) // the server detects the close and cleans up
	}
}
