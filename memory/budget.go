// Package memory bounds the bytes that a process holds for its peers all together.
package memory

import "sync/atomic"

// Budget is a number of bytes that many holders share. A holder may grow as long as it holds no
// more than stays free, so the more is in use, the less a single holder gets. n holders that take
// all they can leave a part of 1/(n+1) free, so small holders get their bytes beside large ones.
// It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Grow takes n more bytes for a holder that holds held bytes, and reports whether the budget has
// them. If it does not, nothing is taken.
func (b *Budget) Grow(held, n int64) bool {
	for {
		used := b.used.Load()
		if held+n > b.limit-used-n {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release gives n bytes back.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the number of bytes of the budget.
func (b *Budget) Limit() int64 { return b.limit }
