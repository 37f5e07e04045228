package main

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/clock"
)

// lateListener holds back an accepted connection until the listener is closed.
type lateListener struct {
	net.Listener
	accepted  chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.closed
	}
	return c, err
}

// Close implements net.Listener.
func (l *lateListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// openGate is a requestGate whose requests are served by a handler of the test.
type openGate struct{}

// RefuseNew implements requestGate.
func (openGate) RefuseNew() {}

// InFlight implements requestGate.
func (openGate) InFlight() int64 { return 0 }

// LogOpen implements requestGate.
func (openGate) LogOpen() int { return 0 }

// TestStopServesLateConnection guards against a planned stop that drops a request which
// came just before the listener closed. A server drops every request that it reads after
// its Shutdown has begun.
func TestStopServesLateConnection(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := &lateListener{Listener: inner, accepted: make(chan struct{}), closed: make(chan struct{})}
	v := &servers{callerListener: l, failed: make(chan error, 1), connections: newConnTracker(func() time.Duration { return 0 })}
	v.callerServer = &http.Server{ConnState: v.connections.setState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(200 * time.Millisecond)
		w.WriteHeader(http.StatusOK)
	})}
	v.acceptDone = v.serve(v.callerServer, l)
	answered := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + inner.Addr().String())
		if err == nil {
			err = response.Body.Close()
		}
		answered <- err
	}()
	<-l.accepted
	system := clock.System{}
	_, err = v.stop(system, openGate{}, newStopSchedule(system.Boottime(), 6*time.Second))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, <-answered, qt.IsNil)
}
