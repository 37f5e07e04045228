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

// TestEndingConnectionServesBufferedRequest guards against a request that is cancelled because its
// connection was to end, although the server had read it together with the request before it.
func TestEndingConnectionServesBufferedRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	v := &servers{failed: make(chan error, 1), connections: newConnTracker(func() time.Duration { return 0 })}
	asked := make(chan struct{}, 2)
	goOn := make(chan struct{}, 2)
	v.serveCallers(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusBadGateway)
		case <-goOn:
			w.WriteHeader(http.StatusOK)
		}
	}), l)
	t.Cleanup(func() { _ = v.callerServer.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	<-asked
	v.callers.endIdle()
	goOn <- struct{}{}
	reader := bufio.NewReader(c)
	for n := range 2 {
		if n == 1 {
			<-asked
			time.AfterFunc(200*time.Millisecond, func() { goOn <- struct{}{} })
		}
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, response.StatusCode, qt.Equals, http.StatusOK)
		_ = response.Body.Close()
	}
}
