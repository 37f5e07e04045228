package memory

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"
)

// TestHoldersShareBudget guards against a budget that is exceeded, is not given back whole, or is
// taken by greedy holders so that a small one gets nothing, whatever the order of steps.
func TestHoldersShareBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.Int64Range(1<<20, 1<<30).Draw(r, "limit")
		b := NewBudget(limit)
		holders := make([]*Holder, rapid.IntRange(1, 200).Draw(r, "holders"))
		held := make([]int64, len(holders))
		for i := range holders {
			holders[i] = b.Hold()
		}
		for range rapid.IntRange(0, 100).Draw(r, "steps") {
			i := rapid.IntRange(0, len(holders)-1).Draw(r, "holder")
			n := rapid.Int64Range(0, limit).Draw(r, "bytes")
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0:
				holders[i].Release()
				holders[i], held[i] = b.Hold(), 0
			case 1:
				holders[i].Shrink(n)
				held[i] -= min(n, held[i])
			case 2: // as much as it can get
				for n := limit; n > 0; n /= 2 {
					if holders[i].Grow(n) {
						held[i] += n
					}
				}
			default:
				if holders[i].Grow(n) {
					held[i] += n
				}
			}
			var sum int64
			for _, h := range held {
				sum += h
			}
			if b.Used() != sum || sum > limit {
				r.Fatalf("%d bytes are counted, %d held, limit %d", b.Used(), sum, limit)
			}
			small := b.Hold()
			if share := limit >> smallShift; !small.Grow(share) {
				r.Fatalf("a small holder gets no %d bytes while %d of %d are used", share, sum, limit)
			}
			small.Release()
		}
		for _, h := range holders {
			h.Release()
			h.Release()
			if h.Grow(1) {
				r.Fatal("a released holder grows")
			}
		}
		if b.Used() != 0 {
			r.Fatalf("%d bytes are left", b.Used())
		}
	})
}

// TestReadAll guards against bytes that are lost or added, and buffers that are not counted.
func TestReadAll(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		text := bytes.Repeat([]byte("x"), rapid.IntRange(0, 50_000).Draw(r, "length"))
		limit := rapid.Int64Range(0, 60_000).Draw(r, "limit")
		length := int64(-1)
		if rapid.Bool().Draw(r, "length is known") {
			length = int64(len(text))
		}
		reader := io.Reader(bytes.NewReader(text))
		if rapid.Bool().Draw(r, "data with the end") {
			reader = iotest.DataErrReader(reader)
		}
		b := NewBudget(rapid.Int64Range(1, 1<<20).Draw(r, "budget"))
		h := b.Hold()
		got, err := ReadAll(reader, length, limit, h)
		switch {
		case err == nil && (!bytes.Equal(got, text) || int64(len(text)) > limit):
			r.Fatalf("%d of %d bytes, limit %d", len(got), len(text), limit)
		case err == nil && b.Used() != int64(cap(got)):
			r.Fatalf("%d bytes are counted of %d", b.Used(), cap(got))
		case errors.Is(err, ErrTooLarge) && int64(len(text)) <= limit:
			r.Fatalf("%d bytes are too large for %d", len(text), limit)
		case errors.Is(err, ErrExhausted) && b.Limit() > 8*int64(len(text))+8*firstBufferBytes:
			r.Fatalf("%d bytes do not fit into a budget of %d", len(text), b.Limit())
		case err != nil && !errors.Is(err, ErrTooLarge) && !errors.Is(err, ErrExhausted):
			r.Fatal(err)
		}
		h.Release()
		if b.Used() != 0 {
			r.Fatalf("%d bytes are left", b.Used())
		}
	})
}

// TestReadAllOfCutOffReader guards against a reader that fails and whose bytes pass as whole.
func TestReadAllOfCutOffReader(t *testing.T) {
	broken := errors.New("cut off")
	for _, length := range []int64{-1, 9000} {
		_, err := ReadAll(io.MultiReader(bytes.NewReader(make([]byte, 5000)), iotest.ErrReader(broken)), length, 1<<20, nil)
		qt.Check(t, errors.Is(err, broken), qt.IsTrue)
	}
	got, err := ReadAll(bytes.NewReader(make([]byte, 5000)), 9000, 1<<20, nil)
	qt.Check(t, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue, qt.Commentf("%d bytes", len(got)))
}
