// Package queue provides the bounded queue that joins goroutines.
package queue

import "sync"

// Ring is a bounded first-in first-out queue over a circular buffer, safe for
// concurrent use. Push never blocks: a full ring is reported so that the
// caller can refuse the work in place of holding memory for it.
type Ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int
	length int
	closed bool
	ready  chan struct{}
}

// NewRing returns a ring for up to capacity items. It panics if capacity is
// less than one.
func NewRing[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		panic("queue: capacity must be at least 1")
	}
	return &Ring[T]{items: make([]T, capacity), ready: make(chan struct{}, 1)}
}

// Push appends item and reports whether there was room. A closed ring has none.
func (r *Ring[T]) Push(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.length == len(r.items) {
		return false
	}
	r.items[(r.head+r.length)%len(r.items)] = item
	r.length++
	r.wake()
	return true
}

// Pop removes the oldest item. It reports false if the ring is empty.
func (r *Ring[T]) Pop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	if r.length == 0 {
		return zero, false
	}
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.length--
	if r.length > 0 {
		r.wake()
	}
	return item, true
}

// Ready returns a channel that receives after a push and is closed by Close.
// A reader that receives pops until Pop reports false.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Closed reports whether Close was called.
func (r *Ring[T]) Closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// Close refuses further pushes. Items already queued can still be popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.ready)
}

// wake signals a waiting reader. The caller holds the lock.
func (r *Ring[T]) wake() {
	if r.closed {
		return
	}
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
