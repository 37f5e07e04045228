package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const testTimeout = 20 * time.Second

func startServer(t *testing.T, f *fakeEngine) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", newTestHandler(f), discardLogger())
	qt.Assert(t, err, qt.IsNil)
	// Long enough for a slow machine to write a request while the connection closes.
	s.closeGrace = 2 * time.Second
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() { _ = s.Close(); qt.Check(t, <-done, qt.IsNil) })
	return s
}

// client is a keep-alive connection that can write a request in pieces.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialServer(t *testing.T, s *Server) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	qt.Assert(c.t, err, qt.IsNil)
}

func (c *client) readOK() *http.Response {
	c.t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	qt.Assert(c.t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, r.Body)
	qt.Assert(c.t, err, qt.IsNil)
	qt.Assert(c.t, r.StatusCode, qt.Equals, http.StatusOK)
	return r
}

const searchJSON = `{"query":"q"}`

func searchHeader() string {
	return fmt.Sprintf("POST /v1/search/desk HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", len(searchJSON))
}

// TestStopServesStartedRequests guards against a planned stop cutting a request that has
// begun: one that the engine is running, one of which only a part has arrived, or one
// that is written while the idle connections are being closed.
func TestStopServesStartedRequests(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	f := &fakeEngine{answer: &SearchAnswer{}}
	s := startServer(t, f)
	dialAndSearch := func() *client {
		c := dialServer(t, s)
		c.write(searchHeader() + searchJSON)
		qt.Assert(t, c.readOK().Close, qt.IsFalse)
		return c
	}
	idle, partial, fresh := dialAndSearch(), dialAndSearch(), dialServer(t, s)
	racing := []*client{dialAndSearch(), dialAndSearch(), dialAndSearch(), dialAndSearch(), dialAndSearch()}
	f.onSearch(func(SearchRequest) { close(running); <-release })
	busy := dialServer(t, s)
	busy.write(searchHeader() + searchJSON)
	<-running
	f.onSearch(nil)
	partial.write(searchHeader()[:10])

	const addressLifetime = 100 * time.Millisecond
	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go func() { stopped <- s.Stop(ctx, addressLifetime) }()

	// After addressLifetime, Stop interrupts the idle connections and still reads them for
	// closeGrace. The requests below are written in that time.
	waitForClosing(t, s)
	for _, c := range racing {
		c.write(searchHeader() + searchJSON)
	}
	for _, c := range racing {
		qt.Assert(t, c.readOK().Close, qt.IsTrue)
	}
	_, err := idle.reader.ReadByte()
	qt.Assert(t, err, qt.Equals, io.EOF)
	_, err = fresh.reader.ReadByte()
	qt.Assert(t, err, qt.Equals, io.EOF)

	partial.write(searchHeader()[10:] + searchJSON[:3])
	partial.write(searchJSON[3:])
	qt.Assert(t, partial.readOK().Close, qt.IsTrue)
	select {
	case err := <-stopped:
		t.Fatalf("stop ended while a request ran: %v", err)
	default:
	}
	close(release)
	qt.Assert(t, busy.readOK().Close, qt.IsTrue)
	qt.Assert(t, <-stopped, qt.IsNil)
}

// waitForClosing returns once Stop has started to close a connection.
func waitForClosing(t *testing.T, s *Server) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		for c := range s.conns {
			c.mu.Lock()
			closing := c.closing
			c.mu.Unlock()
			if closing {
				s.mu.Unlock()
				return
			}
		}
		s.mu.Unlock()
	}
	t.Fatal("no connection was asked to close")
}

// TestStopAcceptsDuringAddressLifetime guards against new connections being refused
// during a planned stop while callers may still use the address.
func TestStopAcceptsDuringAddressLifetime(t *testing.T) {
	s := startServer(t, &fakeEngine{answer: &SearchAnswer{}})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(ctx, time.Hour) }()
	for !s.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	r, err := http.Post("http://"+s.Address()+"/v1/search/desk", "application/json", strings.NewReader(searchJSON))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = r.Body.Close() }()
	qt.Assert(t, r.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, r.Close, qt.IsTrue)
	cancel()
	qt.Assert(t, <-stopped, qt.Equals, context.Canceled)
}
