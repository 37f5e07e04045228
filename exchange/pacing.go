package exchange

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

const (
	// stateShare is the share of the link's rate at which an instance that serves callers sends state
	// to others at most. The rest is for the requests and answers of its callers, which would otherwise
	// wait behind the state.
	stateShare = 0.5
	// burstTime is the time that the largest piece of state which is sent at once takes on the link.
	burstTime = 5 * time.Millisecond
	// minPieceBytes and maxPieceBytes bound the size of such a piece.
	minPieceBytes = 2 << 10
	maxPieceBytes = 1 << 20
	// maxPacedTime is how long the state may take that waits to be sent. More would not arrive within
	// fetchTimeout.
	maxPacedTime = fetchTimeout / 2
)

// pacer bounds the rate at which state is sent to other instances while this one serves callers. It is
// safe for concurrent use.
type pacer struct {
	// limiter is nil if the rate of the link is not known.
	limiter *rate.Limiter
	serves  func() bool

	mu sync.Mutex
	// waiting is the number of bytes that are being sent.
	waiting int64
}

// newPacer returns a pacer for a link with a rate in bytes a second, zero if it is not known.
func newPacer(linkBytesPerSecond float64, serves func() bool) *pacer {
	p := &pacer{serves: serves}
	if linkBytesPerSecond > 0 {
		piece := min(max(linkBytesPerSecond*burstTime.Seconds(), minPieceBytes), maxPieceBytes)
		p.limiter = rate.NewLimiter(rate.Limit(stateShare*linkBytesPerSecond), int(piece))
	}
	return p
}

// paces reports whether the rate is bounded now.
func (p *pacer) paces() bool { return p.limiter != nil && p.serves != nil && p.serves() }

// begin reports whether a number of bytes may be sent. If so, the caller must call end after that.
// A transfer alone may always be sent.
func (p *pacer) begin(bytes int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paces() && p.waiting > 0 && float64(p.waiting+bytes) > float64(p.limiter.Limit())*maxPacedTime.Seconds() {
		return false
	}
	p.waiting += bytes
	return true
}

// end ends a transfer that begin allowed.
func (p *pacer) end(bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting -= bytes
}

// pacedWriter writes state to another instance in pieces, each as soon as the pacer allows it.
type pacedWriter struct {
	ctx   context.Context
	pacer *pacer
	w     io.Writer
}

// Write implements io.Writer.
func (p *pacedWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		piece := b[written:]
		if p.pacer.paces() {
			piece = piece[:min(len(piece), p.pacer.limiter.Burst())]
			if err := p.pacer.limiter.WaitN(p.ctx, len(piece)); err != nil {
				return written, errors.Trace(err)
			}
		}
		n, err := p.w.Write(piece)
		written += n
		if err != nil {
			return written, errors.Trace(err)
		}
	}
	return written, nil
}
