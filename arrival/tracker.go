package arrival

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/wisteriawharf/wisteriawharf/clock"
)

// Tracker follows what is read from a connection of a caller, one request after the other. It is
// safe for concurrent use. A nil Tracker stands for a connection that is not followed.
type Tracker struct {
	clock  clock.Clock
	stalls *StallDetector
	// socket is nil if the connection has none.
	socket syscall.RawConn

	mu sync.Mutex
	// last is when the bytes arrived that were read last, next when the first ones arrived that
	// were read after the head and the body of the current request. hasNext says that there are
	// such bytes.
	last, next Span
	hasNext    bool
	// request is when the current request arrived, bodyOpen that its body is not read yet.
	request  Span
	bodyOpen bool
	// ahead is how many bytes were read that the server has not got yet.
	ahead int
	// readAt is when bytes were last read, zero before. state is the state of the socket then.
	readAt time.Duration
	state  tcpState
}

// NewTracker returns a tracker of a connection. stalls may be nil.
func NewTracker(c net.Conn, clock clock.Clock, stalls *StallDetector) *Tracker {
	t := &Tracker{clock: clock, stalls: stalls}
	if s, ok := c.(syscall.Conn); ok {
		t.socket, _ = s.SyscallConn() // without it the times of the reads count
	}
	return t
}

// BytesRead records that bytes were read from the socket, the last ones of which the server has not got
// yet. It is to be called after each such read.
func (t *Tracker) BytesRead(ahead int) {
	state := socketState(t.socket)
	now := t.clock.Boottime()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = t.span(now, state)
	t.readAt, t.state = now, state.tcp
	t.taken(ahead)
}

// BytesTaken records that the server has got bytes that had been read before, and how many of them are
// left.
func (t *Tracker) BytesTaken(ahead int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.taken(ahead)
}

// taken records that the server has got bytes. The caller holds the lock.
func (t *Tracker) taken(ahead int) {
	t.ahead = ahead
	if !t.hasNext && !t.bodyOpen {
		t.next, t.hasNext = t.last, true
	}
}

// More reports whether bytes have arrived that follow the current request. It is to be called when that
// is read whole. Bytes that the server has got together with the end of a body are not known.
func (t *Tracker) More() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	more := t.hasNext || t.ahead > 0
	t.mu.Unlock()
	return more || unread(t.socket)
}

// End sends the end of the connection unless bytes have arrived that follow the current request. It
// reports whether such bytes have arrived. It is to be called when the current request is answered.
func (t *Tracker) End() (more bool) {
	t.mu.Lock()
	more = t.hasNext || t.ahead > 0
	t.mu.Unlock()
	return more || t.socket != nil && !endUnlessUnread(t.socket) && unread(t.socket)
}

// span returns when bytes arrived that are read at the time now. The kernel tells the age of the
// last byte. Where it tells none, bytes that are read after a stall of the process may have arrived
// at any time of it, but not before the last read.
func (t *Tracker) span(now time.Duration, state socketInfo) Span {
	latest := now - state.sinceLastByte
	if t.stalls == nil || t.stalls.agesKnown(state) {
		return At(latest)
	}
	began, ok := t.stalls.since(now)
	if !ok {
		return At(latest)
	}
	return Span{Earliest: min(max(began, t.readAt), latest), Latest: latest}
}

// HeadRead records that the head of a request was read. It is to be called before anything is read
// of what follows it.
func (t *Tracker) HeadRead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.request = t.last // was read together with the request before
	if t.hasNext {
		t.request = t.next
	}
	t.hasNext, t.bodyOpen = false, false
}

// BodyBegins records that the rest of the current request is still to be read.
func (t *Tracker) BodyBegins() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bodyOpen = true
}

// BodyRead records that the current request is read whole.
func (t *Tracker) BodyRead() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bodyOpen = false
}

// stateLifetime is how long the state that a socket had when it was read is taken for the present
// one.
const stateLifetime = 10 * time.Millisecond

// PeerClosed reports whether the caller has closed its end of the connection and nothing is left in
// the socket.
func (t *Tracker) PeerClosed() bool {
	if t == nil || t.socket == nil {
		return false
	}
	t.mu.Lock()
	state, readAt := t.state, t.readAt
	t.mu.Unlock()
	if t.clock.Boottime()-readAt > stateLifetime {
		state = socketState(t.socket).tcp
	}
	return state == tcpClosed || state == tcpCloseWait && atEnd(t.socket)
}

// Request returns when the current request arrived. Without a tracker that is now, a time on the
// boot clock.
func (t *Tracker) Request(now time.Duration) Span {
	if t == nil {
		return At(now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.request
}
