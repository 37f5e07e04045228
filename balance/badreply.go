package balance

// BadReply is how a request to a searcher ended without an answer.
type BadReply int

// Kinds of bad replies.
const (
	// NoAnswer: the reply was cut off, was no answer, or there was none. That may be due to the
	// path to the searcher, or to the one request.
	NoAnswer BadReply = iota
	// Endless: the searcher sent more bytes than an answer may have.
	Endless
)

// ReplySizes keeps the size of the largest recent answers of a service. The zero value is ready
// for use.
type ReplySizes struct {
	largest float64
}

const (
	// sizeDecay is the factor by which the largest size falls with each smaller answer.
	sizeDecay = 0.999
	// A reply that is larger than sizeFactor times the largest answers, and than minExceeded
	// bytes, has exceeded them.
	sizeFactor  = 4
	minExceeded = 256 << 10
)

// Observe adds an answer of n bytes.
func (s *ReplySizes) Observe(n int64) { s.largest = max(float64(n), sizeDecay*s.largest) }

// Exceeded reports whether a reply that has n bytes, and goes on, is larger than the answers of
// the service are.
func (s *ReplySizes) Exceeded(n int64) bool {
	return float64(n) > max(sizeFactor*s.largest, minExceeded)
}
