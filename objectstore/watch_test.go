package objectstore

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// TestSilentWatch guards against a watch that waits for ever on a silent
// connection, and against the short timeout of other calls ending it.
func TestSilentWatch(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	h, err := NewHTTP(HTTPConfig{Address: listener.Addr().String(), Timeout: time.Millisecond, Registry: prometheus.NewRegistry()})
	qt.Assert(t, err, qt.IsNil)
	defer h.Close()
	qt.Assert(t, h.watchBy, qt.Equals, 35*time.Second)
	h.watchBy = 200 * time.Millisecond
	start := time.Now()
	_, err = h.Watch(context.Background(), "", 0)
	qt.Assert(t, errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	qt.Assert(t, time.Since(start) >= h.watchBy, qt.IsTrue)
}
