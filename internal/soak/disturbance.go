package main

import (
	"sync"
	"time"
)

// disturbance is until when faults are in force. It is safe for concurrent use.
type disturbance struct {
	mu    sync.Mutex
	until time.Time
}

// extend notes a fault that is in force until a moment.
func (d *disturbance) extend(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.After(d.until) {
		d.until = until
	}
}

// endedBefore reports whether no fault has been in force since a moment.
func (d *disturbance) endedBefore(moment time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.until.Before(moment)
}
