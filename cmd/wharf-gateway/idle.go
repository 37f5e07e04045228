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

// idleConnections closes connections of callers that have been idle for longer
// than the configuration in force allows. The server's own limit can't change
// while it runs.
type idleConnections struct {
	timeout func() time.Duration

	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections(timeout func() time.Duration) *idleConnections {
	return &idleConnections{timeout: timeout, since: make(map[net.Conn]time.Time)}
}

// changed notes the state of a connection.
func (i *idleConnections) changed(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
	} else {
		delete(i.since, c)
	}
}

func (i *idleConnections) run() {
	for range time.Tick(idleSweep) {
		if timeout := i.timeout(); timeout > 0 {
			i.sweep(time.Now().Add(-timeout - idleSlack))
		}
	}
}

func (i *idleConnections) sweep(before time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if since.Before(before) {
			_ = c.Close() // the server notes the end of the connection
			delete(i.since, c)
		}
	}
}
