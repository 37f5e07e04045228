package gateway

import (
	"net/http"
	"sync/atomic"
	"time"
)

// plannedStop is the state of the planned stop of an instance. The zero value stands for an
// instance that does not stop, except for answerNow.
type plannedStop struct {
	// begun says that the instance stops, so each connection is closed after its next answer.
	begun atomic.Bool
	// answerBy is the time on the boot clock by which all requests are answered.
	answerBy atomic.Int64
	// answerNow is closed when the requests that are still being served must be answered at
	// once, with what is known of them.
	answerNow chan struct{}
	// answered and refused count the requests that were answered by searchers and refused since
	// the stop began.
	answered, refused atomic.Int64
}

// countAnswer counts an answer of a searcher.
func (s *plannedStop) countAnswer() {
	if s.begun.Load() {
		s.answered.Add(1)
	}
}

// countRefusal counts a refusal.
func (s *plannedStop) countRefusal() {
	if s.begun.Load() {
		s.refused.Add(1)
	}
}

// StopCounts returns how many requests were answered by searchers, and how many were refused,
// since a planned stop began.
func (g *Gateway) StopCounts() (answered, refused int64) {
	return g.stop.answered.Load(), g.stop.refused.Load()
}

// interruptAtEnd makes reads from a connection fail once all requests must be answered at once, so
// that a body that is still arriving does not outlast the stop. The returned function ends that, and
// must be called.
func (s *plannedStop) interruptAtEnd(connection *http.ResponseController) (end func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-s.answerNow:
			_ = connection.SetReadDeadline(time.Now()) // fails only without a connection
		case <-ended:
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

// BeginStop begins a planned stop. From now on each connection is closed after its next answer,
// by a "Connection: close" header, and requests that may not be answered before answerBy, a time
// on the boot clock, are refused. Requests that are still being served then are answered without
// a further wait. Later calls change nothing.
func (g *Gateway) BeginStop(answerBy time.Duration) {
	if !g.stop.answerBy.CompareAndSwap(0, int64(max(answerBy, 1))) {
		return
	}
	g.stop.begun.Store(true)
	time.AfterFunc(answerBy-g.config.Clock.Boottime(), func() { close(g.stop.answerNow) })
}

// RefuseNew refuses all requests from now on. Those that are being served go on.
func (g *Gateway) RefuseNew() {
	g.stop.answerBy.Store(1) // in the past
	g.stop.begun.Store(true)
}

// stopRefusal returns the refusal of a request that may not be answered before the end of a
// planned stop, nil if it is to be served. The deadline of a request that is served lies within
// the stop afterwards.
func (c *call) stopRefusal() *refusal {
	if !c.g.stop.begun.Load() {
		return nil
	}
	answerBy := time.Duration(c.g.stop.answerBy.Load())
	if c.now()+c.timeToServe() > answerBy {
		return &refusal{status: http.StatusServiceUnavailable, reason: "not run: instance stops", retryAfter: minRetryAfter}
	}
	c.deadline = min(c.deadline, answerBy)
	return nil
}

// timeToServe returns the time that must be left of a planned stop for a request to be served.
// A request that may be repeated is served if its target latency fits. Any other one is served
// only if all the time up to its deadline fits, since its caller can't repeat it if it is
// answered without a result.
func (c *call) timeToServe() time.Duration {
	left := c.deadline - c.now()
	if c.route.Idempotent && c.route.TargetLatency > 0 {
		return min(c.route.TargetLatency, left)
	}
	return left
}
