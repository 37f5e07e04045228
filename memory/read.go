package memory

import (
	"io"
	"math"

	"github.com/juju/errors"
)

// Errors of ReadAll.
const (
	// ErrExhausted reports that the budget does not have the bytes that a reader needs.
	ErrExhausted = errors.ConstError("memory budget of replies and requests is exhausted")
	// ErrTooLarge reports that a reader has more bytes than its limit.
	ErrTooLarge = errors.ConstError("too many bytes")
)

// firstBufferBytes is the size of the first buffer of ReadAll if the length is not known, and the
// largest first buffer if it is: a peer that states a length may never send as much.
const firstBufferBytes = 4 << 10

// ReadAll reads r to its end, at most limit bytes. length is the number of bytes that r has, or
// negative if that is not known. The buffer grows in steps that h takes from its budget before
// they are allocated; while it is copied, both buffers count. The returned bytes stay counted
// until h is released. ReadAll never waits for the budget: it fails with ErrExhausted at once.
func ReadAll(r io.Reader, length, limit int64, h *Holder) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	most := limit + 1 // one more byte shows that r has more than limit
	if length >= 0 {
		most = length
	}
	size := min(firstBufferBytes, most)
	if !h.Grow(size) {
		return nil, ErrExhausted
	}
	buffer := make([]byte, 0, size)
	for int64(len(buffer)) < most {
		if len(buffer) == cap(buffer) {
			grown, err := growBuffer(buffer, most, h)
			if err != nil {
				return buffer, err
			}
			buffer = grown
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) && length >= 0 && int64(len(buffer)) < length {
			return buffer, io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return buffer, err
		}
	}
	if int64(len(buffer)) > limit {
		return buffer, ErrTooLarge
	}
	return buffer, nil
}

// ReadAll reads r, of unknown length and without another limit than the budget, to its end. It
// returns no bytes if it fails.
func (h *Holder) ReadAll(r io.Reader) ([]byte, error) {
	b, err := ReadAll(r, -1, math.MaxInt64-1, h)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return b, nil
}

// growBuffer returns a copy of a full buffer with twice its capacity, at most most.
func growBuffer(buffer []byte, most int64, h *Holder) ([]byte, error) {
	old := int64(cap(buffer))
	size := min(2*old, most)
	if !h.Grow(size) {
		return nil, ErrExhausted
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	h.Shrink(old)
	return grown, nil
}
