package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/memory"
)

// TestHeadWithoutMemoryIsRefused guards against a caller that gets no answer, or whose request is
// run, because there was no memory for its head, and against memory that is not given back.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	budget := memory.NewBudget(64 << 10)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	served := make(chan int64, 100)
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served <- budget.Used() }),
		ConnState: func(c net.Conn, state http.ConnState) {
			head, ok := c.(*headConn)
			qt.Check(t, ok, qt.IsTrue)
			head.setState(state)
		},
	}
	go func() { _ = server.Serve(&headListener{Listener: listener, budget: budget}) }()
	t.Cleanup(func() { _ = server.Close() })
	head := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A:b\r\n", 100) + "\r\n"
	ask := func(c net.Conn) int {
		_, err := io.WriteString(c, head)
		qt.Assert(t, err, qt.IsNil)
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		qt.Assert(t, err, qt.IsNil)
		if answer.StatusCode == http.StatusServiceUnavailable {
			qt.Check(t, answer.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
		return answer.StatusCode
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	kept := dial()
	for range 20 { // more than the budget has, if an answered request kept its bytes
		qt.Assert(t, ask(kept), qt.Equals, http.StatusOK)
		qt.Assert(t, <-served >= int64(len(head)), qt.IsTrue)
	}
	eventually(t, "bytes of answered requests stay taken", func() bool { return budget.Used() == 0 })
	other := budget.Hold()
	qt.Assert(t, other.Grow(30<<10), qt.IsNil)
	filled := int64(0)
	for budget.Grow(0, 1<<10) {
		filled++
	}
	refused := dial()
	qt.Assert(t, ask(refused), qt.Equals, http.StatusServiceUnavailable)
	_, err = refused.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF, qt.Commentf("the connection is closed"))
	qt.Assert(t, served, qt.HasLen, 0)
	other.Release()
	budget.Release(filled << 10)
	eventually(t, "bytes stay taken", func() bool { return budget.Used() == 0 })
}
