package objectstore_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/objectstore"
)

func newHTTP(t *testing.T, address string, timeout time.Duration) (*objectstore.HTTP, *prometheus.Registry) {
	t.Helper()
	registry := prometheus.NewRegistry()
	h, err := objectstore.NewHTTP(objectstore.HTTPConfig{Address: address, Timeout: timeout, Registry: registry})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(h.Close)
	return h, registry
}

// service is an object service that handle plays on each connection.
type service struct {
	net.Listener
	mu       sync.Mutex
	requests []string
}

func newService(t *testing.T, handle func(s *service, conn net.Conn)) *service {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	s := &service{Listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(s, conn)
		}
	}()
	return s
}

// read reads one request of a connection and notes it.
func (s *service) read(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request.Method+" "+request.URL.Path)
	return true
}

func (s *service) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// writes are the calls that change objects.
var writes = map[string]func(objectstore.Store) error{
	"create": func(s objectstore.Store) error { _, err := s.Create(context.Background(), "a", nil); return err },
	"update": func(s objectstore.Store) error {
		_, err := s.Update(context.Background(), "a", 1, []byte("v"))
		return err
	},
	"delete": func(s objectstore.Store) error { return s.Delete(context.Background(), "a", 1) },
}

// TestWritesAreSentOnce guards against writes that the transport resends after
// a connection broke on which earlier calls succeeded.
func TestWritesAreSentOnce(t *testing.T) {
	for name, write := range writes {
		t.Run(name, func(t *testing.T) {
			// Each connection answers one request and breaks at the next.
			s := newService(t, func(s *service, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				if !s.read(reader) || len(s.seen()) > 2 {
					return
				}
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n")
				s.read(reader)
			})
			h, _ := newHTTP(t, s.Addr().String(), 10*time.Second)
			_, err := h.Get(context.Background(), "a")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, write(h), qt.IsNil)
			err = write(h)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, errors.Is(err, objectstore.ErrUnavailable), qt.IsFalse)
			qt.Assert(t, errors.Is(err, objectstore.ErrConflict), qt.IsFalse)
			qt.Assert(t, s.seen(), qt.HasLen, 3)
		})
	}
}

// TestClosedIdleConnection guards against writes that meet a connection which
// the service closed while it was idle.
func TestClosedIdleConnection(t *testing.T) {
	s := newService(t, func(s *service, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if s.read(bufio.NewReader(conn)) {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	h, _ := newHTTP(t, s.Addr().String(), 10*time.Second)
	const rounds = 50
	for range rounds {
		for name, write := range writes {
			qt.Assert(t, write(h), qt.IsNil, qt.Commentf(name))
		}
	}
	qt.Assert(t, s.seen(), qt.HasLen, rounds*len(writes))
}

// TestUnavailable guards against ErrUnavailable for a write that may have been
// sent, and against its absence for one that was not.
func TestUnavailable(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, refused.Close(), qt.IsNil)
	silent := newService(t, func(s *service, conn net.Conn) { s.read(bufio.NewReader(conn)) })
	truncated := newService(t, func(s *service, conn net.Conn) {
		s.read(bufio.NewReader(conn))
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
		_ = conn.Close()
	})
	failing := newService(t, func(s *service, conn net.Conn) {
		s.read(bufio.NewReader(conn))
		_, _ = fmt.Fprint(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	})
	for name, test := range map[string]struct {
		address     string
		timeout     time.Duration
		unavailable bool
	}{
		"refused":   {refused.Addr().String(), 10 * time.Second, true},
		"silent":    {silent.Addr().String(), 100 * time.Millisecond, false},
		"truncated": {truncated.Addr().String(), 10 * time.Second, false},
		"failing":   {failing.Addr().String(), 10 * time.Second, false},
	} {
		for kind, write := range writes {
			t.Run(name+" "+kind, func(t *testing.T) {
				h, registry := newHTTP(t, test.address, test.timeout)
				err := write(h)
				qt.Assert(t, err, qt.IsNotNil)
				qt.Assert(t, errors.Is(err, objectstore.ErrUnavailable), qt.Equals, test.unavailable)
				outcome := map[bool]string{true: "unavailable", false: "error"}[test.unavailable]
				qt.Assert(t, counted(t, registry, kind, outcome), qt.Equals, 1.0)
			})
		}
	}
}

func counted(t *testing.T, registry *prometheus.Registry, kind, outcome string) float64 {
	t.Helper()
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	for _, metric := range families[0].Metric {
		labels := map[string]string{}
		for _, pair := range metric.Label {
			labels[pair.GetName()] = pair.GetValue()
		}
		if labels["kind"] == kind && labels["outcome"] == outcome {
			return metric.Counter.GetValue()
		}
	}
	return 0
}

// TestHTTPConfig guards against settings that fail only at the first call.
func TestHTTPConfig(t *testing.T) {
	valid := objectstore.HTTPConfig{Address: "127.0.0.1:1", Timeout: time.Second, Registry: prometheus.NewRegistry()}
	qt.Assert(t, valid.Validate(), qt.IsNil)
	for name, change := range map[string]func(*objectstore.HTTPConfig){
		"no address":   func(c *objectstore.HTTPConfig) { c.Address = "" },
		"host name":    func(c *objectstore.HTTPConfig) { c.Address = "localhost:80" },
		"no port":      func(c *objectstore.HTTPConfig) { c.Address = "127.0.0.1" },
		"port zero":    func(c *objectstore.HTTPConfig) { c.Address = "127.0.0.1:0" },
		"no timeout":   func(c *objectstore.HTTPConfig) { c.Timeout = 0 },
		"long timeout": func(c *objectstore.HTTPConfig) { c.Timeout = time.Minute },
		"no registry":  func(c *objectstore.HTTPConfig) { c.Registry = nil },
	} {
		wrong := valid
		change(&wrong)
		_, err := objectstore.NewHTTP(wrong)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf(name))
	}
}
