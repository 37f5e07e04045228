// Package memory bounds the bytes that a process holds for its peers all together.
package memory

import (
	"math/bits"
	"sync/atomic"
)

const (
	// smallShift sets the size of a small holder: the limit divided by 2 to the power of it.
	smallShift = 14
	// reserveParts: each doubling of a holder beyond a small one leaves one more part in
	// reserveParts of the limit to smaller holders.
	reserveParts = 32
)

// Budget is a number of bytes that many holders share. A holder may grow as long as it holds no
// more than stays free, and leaves a reserve to smaller holders that rises with its size. So the
// more is in use, the less a single holder gets, and a small holder, of limit >> smallShift bytes,
// gets its bytes beside (1 << smallShift) / reserveParts - 2 others whatever these take and in
// whatever order. It is safe for concurrent use.
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
		free := b.limit - used - n
		if held+n > free || free < b.reserve(held+n) {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// reserve returns the bytes that a holder of the given size must leave to smaller ones.
func (b *Budget) reserve(size int64) int64 {
	small := max(b.limit>>smallShift, 1)
	doublings := bits.Len64(uint64(max(size-1, 0) / small))
	return b.limit / reserveParts * int64(doublings)
}

// Release gives n bytes back.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the number of bytes of the budget.
func (b *Budget) Limit() int64 { return b.limit }
