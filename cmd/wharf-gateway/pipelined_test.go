package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
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

// TestStopAnswersPipelinedRequests guards against requests that arrived behind another one on their
// connection, and end without an answer because a planned stop closes the connection after that.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		requests int
		pause    time.Duration
	}{"in one write": {requests: 10}, "more than a buffer": {requests: 60}, "one by one": {requests: 10, pause: time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.startSearchers(&site.Ledger{}, 5*time.Millisecond)
			d.configure(1, "/r/")
			instance := d.startInstance("a")
			d.awaitServing("/r/x")
			conn, err := net.Dial("tcp", instance.settings.CallerAddress)
			qt.Assert(t, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			sendTimed(t, conn, http.MethodGet, "/missing", "warm-up", requestDeadline)
			reader := bufio.NewReader(conn)
			qt.Assert(t, nextStatus(conn, reader), qt.Equals, http.StatusNotFound)
			instance.signals <- syscall.SIGTERM
			eventually(t, "the instance does not stop", func() bool { return len(instance.addresses("a")) == 0 })
			var all []byte
			for i := range c.requests {
				text := requestText(http.MethodGet, "/r/x", fmt.Sprint("p", i), requestDeadline)
				if c.pause == 0 {
					all = append(all, text...)
					continue
				}
				_, err = io.WriteString(conn, text)
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(c.pause)
			}
			_, err = conn.Write(all)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, conn.SetReadDeadline(time.Now().Add(stopGrace)), qt.IsNil)
			answers, err := io.ReadAll(reader)
			qt.Check(t, err, qt.IsNil, qt.Commentf("a planned stop ends the connection"))
			qt.Check(t, strings.Count(string(answers), "HTTP/1.1 200"), qt.Equals, c.requests)
			qt.Check(t, strings.Count(string(answers), "Connection: close"), qt.Equals, 1)
		})
	}
}

// TestHeadEnd guards against the end of a head that is not found, or found too early, wherever its
// bytes are cut.
func TestHeadEnd(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for text, want := range map[string]int{
		head: len(head), head + head: len(head), "A: b\n\nC": 6, "A: b\r\nC\r\n": 9, "\r\n": 2, "": 0, "abc": 3,
	} {
		for cut := range len(text) + 1 {
			var before [2]byte
			for _, b := range []byte(text[:cut]) {
				before = [2]byte{before[1], b}
			}
			if first := headEnd([2]byte{}, []byte(text[:cut])); first < cut {
				qt.Check(t, first, qt.Equals, want, qt.Commentf("%q cut at %d", text, cut))
				continue
			}
			if cut < want || want == len(text) {
				qt.Check(t, cut+headEnd(before, []byte(text[cut:])), qt.Equals, want, qt.Commentf("%q cut at %d", text, cut))
			}
		}
	}
}
