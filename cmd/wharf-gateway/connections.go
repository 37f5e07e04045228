package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSweep is how often idle connections are looked at, idleSlack how much
// longer than allowed a connection may be idle.
const (
	idleSweep = 1 * time.Second
	idleSlack = 500 * time.Millisecond
)

// connections knows the connections of callers. It closes those that have been idle
// for longer than the configuration in force allows: the server's own limit can't
// change while it runs.
type connections struct {
	timeout func() time.Duration

	mu sync.Mutex
	// since holds when a connection became idle, open the state of all others.
	since map[net.Conn]time.Time
	open  map[net.Conn]http.ConnState
}

func newConnections(timeout func() time.Duration) *connections {
	return &connections{timeout: timeout, since: make(map[net.Conn]time.Time), open: make(map[net.Conn]http.ConnState)}
}

// changed notes the state of a connection.
func (k *connections) changed(c net.Conn, state http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.since, c)
	delete(k.open, c)
	switch state {
	case http.StateIdle:
		k.since[c] = time.Now()
	case http.StateNew, http.StateActive:
		k.open[c] = state
	}
}

// busy reports whether a connection has a request, or is so new that one may come.
func (k *connections) busy() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.open) > 0
}

// serving reports whether a connection has a request.
func (k *connections) serving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, state := range k.open {
		if state == http.StateActive {
			return true
		}
	}
	return false
}

func (k *connections) run() {
	for range time.Tick(idleSweep) {
		if timeout := k.timeout(); timeout > 0 {
			k.sweep(time.Now().Add(-timeout - idleSlack))
		}
	}
}

func (k *connections) sweep(before time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c, since := range k.since {
		if since.Before(before) {
			_ = c.Close() // the server notes the end of the connection
			delete(k.since, c)
		}
	}
}
