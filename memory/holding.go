package memory

import (
	"io"

	"github.com/juju/errors"
)

// ErrExhausted reports that the budget has too few bytes left.
const ErrExhausted = errors.ConstError("memory budget is exhausted")

// Holding is what one holder has taken from a budget. It is not safe for concurrent use.
type Holding struct {
	budget *Budget
	held   int64
}

// Hold returns a holding without bytes. A holding of a nil budget may grow without bound.
func (b *Budget) Hold() *Holding { return &Holding{budget: b} }

// Grow takes n more bytes. If the budget doesn't have them, it takes nothing and returns
// ErrExhausted.
func (h *Holding) Grow(n int64) error {
	if h.budget == nil {
		return nil
	}
	if !h.budget.Grow(h.held, n) {
		return ErrExhausted
	}
	h.held += n
	return nil
}

// shrink gives n bytes back.
func (h *Holding) shrink(n int64) {
	if h.budget == nil {
		return
	}
	h.held -= n
	h.budget.Release(n)
}

// Release gives all bytes back. It may be called again.
func (h *Holding) Release() { h.shrink(h.held) }

// minReadBytes is the size of the first buffer of ReadAll.
const minReadBytes = 512

// ReadAll is io.ReadAll with a buffer whose bytes are taken from the budget before it is
// allocated. Each larger buffer is taken beside the one that it replaces. The bytes of the result
// stay taken until Release. The error is ErrExhausted if the budget doesn't have enough.
func (h *Holding) ReadAll(r io.Reader) ([]byte, error) {
	if err := h.Grow(minReadBytes); err != nil {
		return nil, err
	}
	b := make([]byte, 0, minReadBytes)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(b) < cap(b) {
			continue
		}
		size := 2 * cap(b)
		if err := h.Grow(int64(size)); err != nil {
			return nil, err
		}
		h.shrink(int64(cap(b)))
		b = append(make([]byte, 0, size), b...)
	}
}
