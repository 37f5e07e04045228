package searcher

import (
	"io"

	"github.com/wisteriawharf/wisteriawharf/memory"
)

const (
	// maxHeadBytes bounds the head of a reply, and all bytes that come before it.
	maxHeadBytes = 64 << 10
	// maxEncodedBodyBytes bounds the bytes in which a body of at most maxBodyBytes is
	// transferred, including chunk headers and trailers.
	maxEncodedBodyBytes = 2 * maxBodyBytes
)

// headFactor is the memory that a head takes, relative to its length: its lines are copied into a
// table of headers.
const headFactor = 2

// boundedReader reads at most left bytes. Then it fails with errTooLarge, in contrast to
// io.LimitedReader, whose end would look like that of a body without a length. A searcher in
// trouble may send bytes without end. The bytes of a head count against the memory budget, those
// of a body do not: its reader counts them. It is not safe for concurrent use.
type boundedReader struct {
	reader io.Reader
	left   int
	// read is the number of bytes that were read since the last startHead.
	read int64
	// head counts the bytes of a head, nil while no head is read.
	head *memory.Holder
	// ended says that reader has failed or is at its end.
	ended bool
}

// startHead starts the head of a reply, which counts against head.
func (r *boundedReader) startHead(head *memory.Holder) {
	r.left, r.read, r.head = maxHeadBytes, 0, head
}

// startBody starts the body of the reply.
func (r *boundedReader) startBody() { r.left, r.head = maxEncodedBodyBytes, nil }

// Read implements io.Reader.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLarge
	}
	n, err := r.reader.Read(b[:min(len(b), r.left)])
	r.left -= n
	r.read += int64(n)
	r.ended = r.ended || err != nil
	if r.head != nil && !r.head.Grow(headFactor*int64(n)) {
		return 0, memory.ErrExhausted
	}
	return n, err
}
