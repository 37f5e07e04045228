package memory

import "sync"

// Holder counts what one holder has taken of a budget. A nil Holder, and one without a budget, has
// no bound and counts nothing. It is safe for concurrent use.
type Holder struct {
	budget *Budget

	mu       sync.Mutex
	held     int64
	released bool
}

// Hold returns a holder that has taken nothing yet. A holder of a nil budget has no bound.
func (b *Budget) Hold() *Holder { return &Holder{budget: b} }

// Grow takes n more bytes and reports whether the budget has them. If it does not, or after
// Release, nothing is taken and false is returned.
func (h *Holder) Grow(n int64) bool {
	if h == nil || h.budget == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released || !h.budget.Grow(h.held, n) {
		return false
	}
	h.held += n
	return true
}

// Shrink gives n of the bytes back that were taken.
func (h *Holder) Shrink(n int64) {
	if h == nil || h.budget == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return
	}
	n = min(n, h.held)
	h.held -= n
	h.budget.Release(n)
}

// Release gives all bytes back. It can be called again.
func (h *Holder) Release() {
	if h == nil || h.budget == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return
	}
	h.released = true
	h.budget.Release(h.held)
	h.held = 0
}

// Reset gives all bytes back. In contrast to Release, the holder may grow again.
func (h *Holder) Reset() {
	if h == nil || h.budget == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Release(h.held)
	h.held = 0
}
