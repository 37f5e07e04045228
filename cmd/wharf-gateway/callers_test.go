package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/clock"
)

// holdListener makes connections whose reads can be held back, as if the process were paused.
type holdListener struct {
	net.Listener
	hold *hold
}

// hold holds back reads after they have got their first bytes, while it is set.
type hold struct {
	mu   sync.Mutex
	wait chan struct{}
	// held counts the reads that were held back.
	held atomic.Int64
}

func (h *hold) set() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wait = make(chan struct{})
}

func (h *hold) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.wait)
	h.wait = nil
}

// Accept implements net.Listener.
func (l *holdListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{TCPConn: c.(*net.TCPConn), hold: l.hold}, nil
}

type heldConn struct {
	*net.TCPConn
	hold *hold
}

// Read implements net.Conn.
func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.hold.mu.Lock()
	wait := c.hold.wait
	c.hold.mu.Unlock()
	if n > 0 && wait != nil {
		c.hold.held.Add(1)
		<-wait
	}
	return n, err
}

// stopGate is a requestGate that counts what its handler is asked to refuse.
type stopGate struct {
	refusing atomic.Bool
	inFlight atomic.Int64
	// onRefuse is called when new requests are refused from now on.
	onRefuse func()
}

// RefuseNew implements requestGate.
func (g *stopGate) RefuseNew() {
	g.refusing.Store(true)
	if g.onRefuse != nil {
		g.onRefuse()
	}
}

// InFlight implements requestGate.
func (g *stopGate) InFlight() int64 { return g.inFlight.Load() }

// LogOpen implements requestGate.
func (g *stopGate) LogOpen() int { return int(g.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (g *stopGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if g.refusing.Load() {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
	if r.URL.Path == "/large" {
		_, _ = w.Write(make([]byte, largeAnswer)) // the caller notices a failure
	}
}

// stopServer is the server for callers alone, with connections whose reads can be held back.
type stopServer struct {
	servers *servers
	gate    *stopGate
	hold    *hold
	address string
}

func newStopServer(t *testing.T) *stopServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &stopServer{gate: &stopGate{}, hold: &hold{}, address: inner.Addr().String()}
	s.servers = &servers{failed: make(chan error, 1), connections: newConnTracker(func() time.Duration { return 0 })}
	s.servers.serveCallers(s.gate, &holdListener{Listener: inner, hold: s.hold})
	return s
}

// stop stops the server within a grace and returns the result.
func (s *stopServer) stop(grace time.Duration) <-chan error {
	done := make(chan error, 1)
	go func() {
		system := clock.System{}
		_, err := s.servers.stop(system, s.gate, newStopSchedule(system.Boottime(), grace))
		done <- err
	}()
	return done
}

// rawCaller is a connection of a caller that sends bytes as the test has them.
type rawCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *stopServer) connect(t *testing.T) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	return &rawCaller{t: t, conn: c, reader: bufio.NewReader(c)}
}

const wholeRequest = "POST /book/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nab"

func (c *rawCaller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	qt.Assert(c.t, err, qt.IsNil)
}

// status reads an answer and returns its status, or an error if the connection ends without one.
func (c *rawCaller) status() (int, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}

// warmUp makes the connection an idle one that was used.
func (c *rawCaller) warmUp(s *stopServer) {
	c.t.Helper()
	c.send(wholeRequest)
	status, err := c.status()
	qt.Assert(c.t, err, qt.IsNil)
	qt.Assert(c.t, status, qt.Equals, http.StatusOK)
	eventually(c.t, "the connection is not idle", func() bool { return !s.servers.connections.hasNewOrActive() })
}

// TestStopAnswersRequestReadLate guards against a stop that drops a request whose bytes the
// process has, because the server has not parsed them when its connections are closed.
func TestStopAnswersRequestReadLate(t *testing.T) {
	s := newStopServer(t)
	callers := make([]*rawCaller, 8)
	for i := range callers {
		callers[i] = s.connect(t)
		callers[i].warmUp(s)
	}
	s.hold.set()
	for _, c := range callers {
		c.send(wholeRequest)
	}
	eventually(t, "the requests are not read", func() bool { return s.hold.held.Load() == int64(len(callers)) })
	s.gate.onRefuse = func() { time.AfterFunc(300*time.Millisecond, s.hold.release) }
	done := s.stop(3 * time.Second)
	for i, c := range callers {
		status, err := c.status()
		qt.Check(t, err, qt.IsNil, qt.Commentf("caller %d", i))
		qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
	}
	qt.Assert(t, <-done, qt.IsNil)
}

// TestStopAnswersHeadInPieces guards against a stop that closes a kept connection as idle while
// the head of a request arrives on it.
func TestStopAnswersHeadInPieces(t *testing.T) {
	s := newStopServer(t)
	c := s.connect(t)
	c.warmUp(s)
	refused := make(chan struct{})
	s.gate.onRefuse = func() { close(refused) }
	const split = 30
	c.send(wholeRequest[:split])
	done := s.stop(3 * time.Second)
	eventually(t, "new requests are not refused", func() bool {
		select {
		case <-refused:
			return true
		default:
			return false
		}
	})
	time.Sleep(100 * time.Millisecond)
	c.send(wholeRequest[split:])
	status, err := c.status()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, <-done, qt.IsNil)
}

// TestStopClosesIdleConnections guards against a stop that waits for callers which keep
// connections that they don't use.
func TestStopClosesIdleConnections(t *testing.T) {
	s := newStopServer(t)
	var callers []*rawCaller
	for range 20 {
		c := s.connect(t)
		c.warmUp(s)
		callers = append(callers, c)
	}
	const grace = 3 * time.Second
	began := time.Now()
	qt.Assert(t, <-s.stop(grace), qt.IsNil)
	qt.Assert(t, time.Since(began).Seconds() < answerUntil*grace.Seconds(), qt.IsTrue)
	for _, c := range callers {
		_, err := c.reader.ReadByte()
		qt.Assert(t, err, qt.Equals, io.EOF)
	}
}

// TestIdleTimeoutAnswersArrivingRequest guards against a request that is dropped because the idle
// timeout closes its connection while its head arrives.
func TestIdleTimeoutAnswersArrivingRequest(t *testing.T) {
	s := newStopServer(t)
	c := s.connect(t)
	c.warmUp(s)
	idle := s.connect(t)
	idle.warmUp(s)
	s.hold.set()
	c.send(wholeRequest)
	eventually(t, "the request is not read", func() bool { return s.hold.held.Load() == 1 })
	s.servers.connections.closeIdle(time.Now().Add(time.Minute), time.Second)
	s.hold.release()
	status, err := c.status()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	_, err = idle.reader.ReadByte()
	qt.Assert(t, err, qt.Equals, io.EOF)
}

// TestStopAnswersQueuedConnections guards against a stop that resets connections which the
// kernel has completed and the server has not accepted when its listener closes.
func TestStopAnswersQueuedConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &stopServer{gate: &stopGate{}, hold: &hold{}, address: inner.Addr().String()}
	s.servers = &servers{failed: make(chan error, 1), connections: newConnTracker(func() time.Duration { return 0 })}
	l := &slowListener{Listener: inner, release: make(chan struct{}), waiting: make(chan struct{}, 100)}
	s.servers.serveCallers(s.gate, l)
	s.connect(t) // the accept loop waits with this one
	<-l.waiting
	var callers []*rawCaller
	for range 20 {
		c := s.connect(t)
		c.send(wholeRequest)
		callers = append(callers, c)
	}
	done := s.stop(3 * time.Second)
	time.AfterFunc(2*time.Second, func() { close(l.release) }) // past the time at which the listener closes
	for i, c := range callers {
		status, err := c.status()
		qt.Check(t, err, qt.IsNil, qt.Commentf("caller %d", i))
		qt.Check(t, status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, <-done, qt.IsNil)
}

// slowListener holds back each accepted connection until it is released.
type slowListener struct {
	net.Listener
	release chan struct{}
	waiting chan struct{}
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		select {
		case l.waiting <- struct{}{}:
		default:
		}
		<-l.release
	}
	return c, err
}

// SyscallConn gives access to the listening socket.
func (l *slowListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(*net.TCPListener).SyscallConn()
}

// SetDeadline sets the deadline of Accept.
func (l *slowListener) SetDeadline(at time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(at)
}
