// Package queue provides a bounded queue that passes items between goroutines.
package queue

import "sync"

// Ring is a bounded first-in first-out queue in a circular buffer. It is safe for concurrent
// use. Push never blocks: it reports a full ring, so that the caller can refuse the work
// instead of holding memory for it.
type Ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int
	length int
	closed bool
	ready  chan struct{}
}

// NewRing returns an empty ring for up to capacity items. It panics if capacity is less than
// one.
func NewRing[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		panic("queue: capacity must be at least 1")
	}
	return &Ring[T]{items: make([]T, capacity), ready: make(chan struct{}, 1)}
}

// Push appends an item. It reports false, and drops the item, if the ring is full or closed.
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

// Pop removes and returns the oldest item. It reports false if the ring is empty.
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

// Ready returns a channel whose values tell a reader to call Pop. Push sends a value, as does
// a Pop that leaves items, and Close closes the channel. The channel holds at most one value,
// however many items there are. A reader may call Pop once for each value, or until Pop reports
// false. A value can be left over when the ring is already empty, so that the first Pop reports
// false. After Close each receive returns at once.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Len returns the number of items in the ring.
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

// Close makes the ring refuse further items and closes the channel of Ready. Items already
// in the ring can still be popped. Further calls do nothing.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	close(r.ready)
}

// wake puts a value into the channel of Ready, unless it holds one or the ring is closed.
// The caller holds the lock.
func (r *Ring[T]) wake() {
	if r.closed {
		return
	}
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
