package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStopRequestForms guards against a stop that cuts a request of a rarer form: HEAD, pipelined,
// with a body that the caller holds back for an interim answer or sends slowly, or with an answer
// that it reads slowly.
func TestStopRequestForms(t *testing.T) {
	const grace = 3 * time.Second
	t.Run("HEAD", func(t *testing.T) {
		s := newStopServer(t)
		c := s.connect(t)
		done := s.stop(grace)
		c.send("HEAD /r/x HTTP/1.1\r\nHost: a.example\r\n\r\n")
		response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.Body.Close(), qt.IsNil)
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
		qt.Assert(t, <-done, qt.IsNil)
	})
	t.Run("pipelined", func(t *testing.T) {
		s := newStopServer(t)
		c := s.connect(t)
		done := s.stop(grace)
		c.send(strings.Repeat(wholeRequest, 100))
		for i := range 100 {
			status, err := c.status()
			qt.Assert(t, err, qt.IsNil, qt.Commentf("request %d", i))
			qt.Assert(t, status, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, <-done, qt.IsNil)
	})
	t.Run("body after interim answer", func(t *testing.T) {
		s := newStopServer(t)
		c := s.connect(t)
		done := s.stop(grace)
		c.send("POST /book/x HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		line, err := c.reader.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
		_, err = c.reader.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		c.send("ab")
		status, err := c.status()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, <-done, qt.IsNil)
	})
	t.Run("slow body", func(t *testing.T) {
		s := newStopServer(t)
		c := s.connect(t)
		const size = 24
		c.send(fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n", size))
		done := s.stop(grace)
		for range size {
			time.Sleep(grace * 7 / 10 / size)
			c.send("a")
		}
		status, err := c.status()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, <-done, qt.IsNil)
	})
	t.Run("slow reader", func(t *testing.T) {
		s := newStopServer(t)
		c := s.connect(t)
		c.send("GET /large HTTP/1.1\r\nHost: a.example\r\n\r\n")
		eventually(t, "the request is not served", func() bool { return s.gate.InFlight() == 1 })
		done := s.stop(grace)
		time.Sleep(grace * 7 / 10) // past the time at which the listener closes
		response, err := http.ReadResponse(c.reader, nil)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.HasLen, largeAnswer)
		qt.Assert(t, <-done, qt.IsNil)
	})
}

// largeAnswer is the size of an answer that does not fit into the buffers of a connection.
const largeAnswer = 16 << 20

// TestStopsInSeries guards against a request that is cut or dropped at a moment of the stop that
// only some stops hit. Callers use kept and new connections from before the signal on.
func TestStopsInSeries(t *testing.T) {
	const (
		stops   = 24
		callers = 8
		grace   = 2 * time.Second
	)
	for n := range stops {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			s := newStopServer(t)
			var group sync.WaitGroup
			var over atomic.Bool
			for range callers {
				group.Go(func() {
					var c net.Conn
					for !over.Load() {
						time.Sleep(rand.N(4 * time.Millisecond))
						if c == nil {
							var err error
							if c, err = net.Dial("tcp", s.address); err != nil {
								return // the listener is closed
							}
						}
						if !askOnce(t, c) {
							_ = c.Close() // it is closed on the other side
							c = nil
						}
					}
				})
			}
			time.Sleep(rand.N(20 * time.Millisecond))
			done := s.stop(grace)
			qt.Check(t, <-done, qt.IsNil)
			over.Store(true)
			group.Wait()
		})
	}
}

// askOnce sends a request and reports whether the connection can be used again. It fails the test
// if the connection ends without an answer later than unansweredLimit, or within an answer.
func askOnce(t *testing.T, c net.Conn) bool {
	began := time.Now()
	if _, err := io.WriteString(c, wholeRequest); err != nil {
		return false
	}
	raw := &rawCaller{t: t, conn: c, reader: bufio.NewReader(c)}
	status, err := raw.status()
	waited := time.Since(began)
	switch {
	case err != nil && (status != 0 || waited > unansweredLimit):
		t.Errorf("ended with status %d after %v: %v", status, waited, err)
	case err == nil && status != http.StatusOK && status != http.StatusServiceUnavailable:
		t.Errorf("status %d", status)
	}
	return err == nil && status == http.StatusOK
}
