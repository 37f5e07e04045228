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
)

const (
	// readHeaderTimeout bounds a request whose headers do not arrive.
	readHeaderTimeout = 10 * time.Second
	// bodyTimeout bounds a request whose body does not arrive.
	bodyTimeout = 20 * time.Second
	// idleTimeout is long, because a connection that the server closes while its
	// caller writes the next request costs that request.
	idleTimeout = 10 * time.Minute
	// defaultCloseGrace is how long an idle connection that is about to be closed is still
	// read: a request that was on its way is served.
	defaultCloseGrace = 300 * time.Millisecond
	// drainPollInterval is how often the stop looks for connections that became idle.
	drainPollInterval = 20 * time.Millisecond
)

// Server serves callers and stops without interrupting a request.
type Server struct {
	http       *http.Server
	listener   net.Listener
	log        *slog.Logger
	closeGrace time.Duration
	stopping   atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listen binds the caller address. It serves nothing until Serve is called.
func Listen(address string, handler http.Handler, log *slog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %q", address)
	}
	s := &Server{listener: listener, log: log, closeGrace: defaultCloseGrace, conns: make(map[*conn]struct{})}
	s.http = &http.Server{
		Handler:           s.closeWhenStopping(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         s.trackState,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve answers requests until Stop or Close.
func (s *Server) Serve() error {
	err := s.http.Serve(connListener{s.listener, s.closeGrace})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Trace(err)
}

// Close ends the server and all connections at once.
func (s *Server) Close() error { return errors.Trace(s.http.Close()) }

// Stop announces the end to callers, serves for as long as an address answer
// may be in use, and then closes each connection once it is idle. Requests that
// have begun are served, also those of which a part has arrived. ctx is the
// hard limit, after which open connections are cut and its error is returned.
func (s *Server) Stop(ctx context.Context, addressLifetime time.Duration) error {
	s.stopping.Store(true)
	defer func() { _ = s.http.Close() }()
	select {
	case <-time.After(addressLifetime):
	case <-ctx.Done():
		return ctx.Err()
	}
	// The listener stays open until the connections are closed: a connection that
	// waits in its backlog would be reset with it.
	for !s.closeIdleConns() {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// closeIdleConns asks idle connections to close and reports whether none is left.
func (s *Server) closeIdleConns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
	return len(s.conns) == 0
}

// closeWhenStopping adds Connection: close to every answer of a stopping server, also
// to requests that began before the stop.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&closingWriter{ResponseWriter: w, stopping: &s.stopping}, r)
	})
}

type closingWriter struct {
	http.ResponseWriter
	stopping    *atomic.Bool
	wroteHeader bool
}

// Unwrap lets http.ResponseController reach the connection.
func (a *closingWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

func (a *closingWriter) WriteHeader(status int) {
	if !a.wroteHeader && a.stopping.Load() {
		a.Header().Set("Connection", "close")
	}
	a.wroteHeader = true
	a.ResponseWriter.WriteHeader(status)
}

func (a *closingWriter) Write(b []byte) (int, error) {
	if !a.wroteHeader {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(b)
}

func (s *Server) trackState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		s.conns[c] = struct{}{}
		c.setIdle()
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

type connListener struct {
	net.Listener
	closeGrace time.Duration
}

func (a connListener) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, closeGrace: a.closeGrace}, nil
}

// conn is a connection that knows whether any byte of a next request has
// arrived. net/http calls a connection idle until the whole header is read, and
// its Shutdown would cut a request of which only a part has arrived.
type conn struct {
	net.Conn
	closeGrace time.Duration
	mu         sync.Mutex
	idle       bool
	closing    bool
}

func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// closeIfIdle wakes the read of an idle connection, which then ends it unless a
// request arrives first.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.closing {
		c.closing = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// recordRead notes that n bytes were read and reports whether closeIfIdle woke the
// read. Bytes that came with the wake end it: they are of a request.
func (c *conn) recordRead(n int) (woken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	woken = c.closing
	if n > 0 {
		c.idle = false
		if c.closing {
			c.closing = false
			_ = c.SetReadDeadline(time.Now().Add(readHeaderTimeout))
		}
	}
	return woken
}

// Read reads from the connection. When closeIfIdle woke it, it reads on for
// linger and reports the end of the stream if nothing arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	woken := c.recordRead(n)
	if n > 0 || !woken || !errors.Is(err, os.ErrDeadlineExceeded) {
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
