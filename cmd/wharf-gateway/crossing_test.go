package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// endedConnection returns an idle connection of a caller that has read its end, the set that it is in, and
// the end of the caller.
func endedConnection(t *testing.T) (*callerConn, *callerConns, net.Conn) {
	t.Helper()
	server, client := connectedPair(t)
	conns := &callerConns{}
	limits := limitingListener{writeTimeout: answerWriteTimeout}
	c := conns.add(limits.limit(server))
	c.end()
	_, err := c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
	return c, conns, client
}

// TestRequestBehindEndOfConnectionIsRefused guards against a request that arrives after the last look at
// an idle connection which ends, and before its close, and is reset without an answer.
func TestRequestBehindEndOfConnectionIsRefused(t *testing.T) {
	c, conns, client := endedConnection(t)
	_, err := io.WriteString(client, requestText(http.MethodPost, "/book/x", "late", requestDeadline))
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "the request does not arrive", c.arrivals.More)
	closed := make(chan error, 1)
	go func() { closed <- c.Close() }()
	status := nextStatus(client, bufio.NewReader(client))
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, client.Close(), qt.IsNil)
	qt.Assert(t, <-closed, qt.IsNil)
	qt.Assert(t, conns.count(), qt.Equals, 0)
}

// TestEndOfIdleConnectionWritesNothing guards against an answer on a connection without a request.
func TestEndOfIdleConnectionWritesNothing(t *testing.T) {
	c, _, client := endedConnection(t)
	qt.Assert(t, c.Close(), qt.IsNil)
	qt.Assert(t, client.SetReadDeadline(time.Now().Add(requestDeadline)), qt.IsNil)
	n, err := client.Read(make([]byte, 1))
	qt.Assert(t, n, qt.Equals, 0)
	qt.Assert(t, err, qt.Equals, io.EOF)
}
