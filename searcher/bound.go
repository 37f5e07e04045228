package searcher

import "io"

const (
	// maxHeadBytes bounds the head of a reply, and all bytes that come before it.
	maxHeadBytes = 64 << 10
	// maxEncodedBodyBytes bounds the bytes in which a body of at most maxBodyBytes is
	// transferred, including chunk headers and trailers.
	maxEncodedBodyBytes = 2 * maxBodyBytes
)

// boundedReader reads at most left bytes. Then it fails with errTooLarge, in contrast to
// io.LimitedReader, whose end would look like that of a body without a length. A searcher in
// trouble may send bytes without end. It is not safe for concurrent use.
type boundedReader struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLarge
	}
	n, err := r.reader.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}
