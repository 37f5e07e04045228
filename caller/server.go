package caller

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/clock"
)

const (
	// readHeaderTimeout is the time limit for reading the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// readTimeout is the time limit for reading a request with its body.
	readTimeout = 20 * time.Second
	// idleTimeout is long, because a request is lost if the server closes the connection
	// while the caller writes it.
	idleTimeout = 10 * time.Minute
	// defaultCloseGrace is how long an idle connection is still read before it is closed,
	// so that a request that was already on its way is served.
	defaultCloseGrace = 300 * time.Millisecond
	// drainPollInterval is how often Stop looks for connections that became idle.
	drainPollInterval = 20 * time.Millisecond
)

// Server serves HTTP requests of callers. Stop shuts it down gracefully.
type Server struct {
	http       *http.Server
	listener   net.Listener
	log        *slog.Logger
	closeGrace time.Duration
	stopping   atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listen returns a Server that listens on address. It answers no request until Serve is
// called. Listen fails if the address cannot be bound.
func Listen(address string, handler http.Handler, log *slog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %q", address)
	}
	s := &Server{listener: listener, log: log, closeGrace: defaultCloseGrace, conns: make(map[*conn]struct{})}
	s.http = &http.Server{
		Handler:           s.closeWhenStopping(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         s.trackState,
		ConnContext:       withArrivals,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve accepts connections and answers requests until Stop or Close ends the server.
// It then returns nil. If accepting connections fails before that, it returns the error.
func (s *Server) Serve() error {
	err := s.http.Serve(connListener{s.listener, s.closeGrace})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Trace(err)
}

// Close closes the listener and all connections at once, also during a request.
func (s *Server) Close() error { return errors.Trace(s.http.Close()) }

// Stop shuts the server down gracefully. As soon as Stop is called, every answer carries
// the header "Connection: close". For addressLifetime the server serves old and new
// connections, because callers may use its address for that long. After that it closes
// each connection once it is idle. A request that has begun is served, even if only a
// part of it has arrived. Stop returns nil when no connection is left. If ctx ends before
// that, Stop closes the open connections at once and returns the error of ctx. In both
// cases the listener is closed.
func (s *Server) Stop(ctx context.Context, addressLifetime time.Duration) error {
	s.stopping.Store(true)
	defer func() { _ = s.http.Close() }()
	select {
	case <-time.After(addressLifetime):
	case <-ctx.Done():
		return ctx.Err()
	}
	// The listener stays open until all connections are closed, because closing it resets
	// the connections that wait in its backlog.
	for !s.closeIdleConns() {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// closeIdleConns starts to close the idle connections. It reports whether no connection
// is left, idle or not.
func (s *Server) closeIdleConns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
	return len(s.conns) == 0
}

// closeWhenStopping adds "Connection: close" to every answer whose headers are written
// after Stop was called, also if the request began before.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, stopping: &s.stopping}, r)
	})
}

// closingWriter adds "Connection: close" to the headers if stopping is set when they are
// written.
type closingWriter struct {
	http.ResponseWriter
	stopping    *atomic.Bool
	wroteHeader bool
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (cw *closingWriter) Unwrap() http.ResponseWriter { return cw.ResponseWriter }

func (cw *closingWriter) WriteHeader(status int) {
	if !cw.wroteHeader && cw.stopping.Load() {
		cw.Header().Set("Connection", "close")
	}
	cw.wroteHeader = true
	cw.ResponseWriter.WriteHeader(status)
}

func (cw *closingWriter) Write(b []byte) (int, error) {
	if !cw.wroteHeader {
		cw.WriteHeader(http.StatusOK)
	}
	return cw.ResponseWriter.Write(b)
}

// withArrivals gives the requests of a connection the tracker of their arrivals. It is the ConnContext
// hook of the server.
func withArrivals(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return arrival.WithTracker(ctx, c.arrivals)
	}
	return ctx
}

// trackState keeps conns up to date. A new connection counts as idle.
func (s *Server) trackState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateActive:
		c.arrivals.HeadRead()
	case http.StateNew, http.StateIdle:
		s.conns[c] = struct{}{}
		c.setIdle()
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// connListener wraps each accepted connection in a conn.
type connListener struct {
	net.Listener
	closeGrace time.Duration
}

func (l connListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, closeGrace: l.closeGrace, arrivals: arrival.NewTracker(c, clock.System{}, nil)}, nil
}

// conn is a connection that records whether any byte of the next request has arrived.
// net/http treats a connection as idle until it has read the whole header, so its
// Shutdown would cut a request of which only a part has arrived.
type conn struct {
	net.Conn
	closeGrace time.Duration
	arrivals   *arrival.Tracker
	mu         sync.Mutex
	idle       bool
	closing    bool
}

func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// closeIfIdle interrupts the pending Read of an idle connection by a read deadline in
// the past. Read then ends the connection unless a request arrives within closeGrace.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.closing {
		c.closing = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// recordRead records that n bytes were read and reports whether closeIfIdle had
// interrupted the read. If n > 0, a request has begun: the connection is no longer idle,
// and it stays open even if closeIfIdle has started to close it.
func (c *conn) recordRead(n int) (interrupted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted = c.closing
	if n > 0 {
		c.arrivals.BytesRead(0)
		c.idle = false
		if c.closing {
			c.closing = false
			_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
		}
	}
	return interrupted
}

// Read reads from the connection. After an interruption by closeIfIdle it reads on for
// closeGrace and returns io.EOF if nothing arrives.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	interrupted := c.recordRead(n)
	if n > 0 || !interrupted || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	_ = c.SetReadDeadline(time.Now().Add(c.closeGrace))
	n, err = c.Conn.Read(p)
	c.recordRead(n)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, io.EOF
	}
	return n, err
}
