package memory

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

// endless is a reader without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// TestEndlessReaderStopsAtBudget guards against a reader without end that takes the whole budget,
// and against bytes that stay taken after Release.
func TestEndlessReaderStopsAtBudget(t *testing.T) {
	const limit = 1 << 20
	b := NewBudget(limit)
	h := b.Hold()
	_, err := h.ReadAll(endless{})
	qt.Assert(t, errors.Is(err, ErrExhausted), qt.IsTrue)
	qt.Assert(t, b.Used() <= limit/2, qt.IsTrue)
	h.Release()
	h.Release()
	qt.Assert(t, b.Used(), qt.Equals, int64(0))
}

// TestReadAllIsWhole guards against bytes that are lost when the buffer grows, and against a result
// that is larger than what is taken for it.
func TestReadAllIsWhole(t *testing.T) {
	for _, n := range []int{0, 1, firstBufferBytes - 1, firstBufferBytes, firstBufferBytes + 1, 3*firstBufferBytes + 7} {
		want := []byte(strings.Repeat("0123456789", n)[:n])
		b := NewBudget(1 << 20)
		h := b.Hold()
		got, err := h.ReadAll(iotest.OneByteReader(bytes.NewReader(want)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(got, want), qt.IsTrue, qt.Commentf("%d bytes", n))
		qt.Assert(t, b.Used() >= int64(cap(got)), qt.IsTrue)
		got, err = (*Budget)(nil).Hold().ReadAll(bytes.NewReader(want))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(got, want), qt.IsTrue)
	}
}

// TestBrokenReaderIsNoResult guards against a body that breaks off and is taken as whole.
func TestBrokenReaderIsNoResult(t *testing.T) {
	got, err := NewBudget(1 << 20).Hold().ReadAll(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("abc"))))
	qt.Assert(t, errors.Is(err, iotest.ErrTimeout), qt.IsTrue)
	qt.Assert(t, got, qt.IsNil)
}
