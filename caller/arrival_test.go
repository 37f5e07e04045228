package caller

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestDeadlineCountsFromArrival guards against a request that lay unread, or waited behind another one
// on its connection, and is then served as if it had just been sent.
func TestDeadlineCountsFromArrival(t *testing.T) {
	const wait = 400 * time.Millisecond
	const slack = 10 * time.Millisecond // the kernel counts in jiffies
	request := func(ms time.Duration) string {
		body := fmt.Sprintf(`{"query":"q","deadline_ms":%d}`, ms.Milliseconds())
		return fmt.Sprintf("POST /v1/search/desk HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	f := &fakeEngine{answer: &SearchAnswer{}}
	s, err := Listen("127.0.0.1:0", newTestHandler(f), discardLogger())
	qt.Assert(t, err, qt.IsNil)
	sound, expired := dialServer(t, s), dialServer(t, s)
	sound.write(request(time.Minute))
	expired.write(request(wait / 2))
	time.Sleep(wait)
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() { _ = s.Close(); qt.Check(t, <-done, qt.IsNil) })
	status := func(c *client) int {
		response, err := http.ReadResponse(c.reader, nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.Body.Close(), qt.IsNil)
		return response.StatusCode
	}
	checkLast := func(most time.Duration) {
		t.Helper()
		f.mu.Lock()
		defer f.mu.Unlock()
		if left := f.last.Deadline; left > most+slack || left < most/2 {
			t.Errorf("%s is left, at most %s is", left, most)
		}
	}
	qt.Assert(t, status(expired), qt.Equals, http.StatusBadRequest)
	qt.Assert(t, status(sound), qt.Equals, http.StatusOK)
	checkLast(time.Minute - wait)

	f.onSearch(func(SearchRequest) {
		f.onSearch(nil)
		time.Sleep(wait)
	})
	sound.write(request(time.Minute) + request(time.Minute) + request(wait/2))
	qt.Assert(t, status(sound), qt.Equals, http.StatusOK)
	qt.Assert(t, status(sound), qt.Equals, http.StatusOK)
	checkLast(time.Minute - wait)
	qt.Assert(t, status(sound), qt.Equals, http.StatusBadRequest)

	time.Sleep(wait)
	sound.write(request(wait / 2))
	qt.Assert(t, status(sound), qt.Equals, http.StatusOK, qt.Commentf("a fresh request"))
}

// TestSearchOfGoneCallerIsNotRun guards against a search that lay unread until its caller had closed the
// connection, and is then run for nobody.
func TestSearchOfGoneCallerIsNotRun(t *testing.T) {
	const wait = 100 * time.Millisecond
	f := &fakeEngine{answer: &SearchAnswer{}}
	var ran atomic.Int64
	f.onSearch(func(SearchRequest) { ran.Add(1) })
	s, err := Listen("127.0.0.1:0", newTestHandler(f), discardLogger())
	qt.Assert(t, err, qt.IsNil)
	request := fmt.Sprintf("POST /v1/search/desk HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(searchJSON), searchJSON)
	for i := range 10 {
		c := dialServer(t, s)
		c.write(request)
		if i%2 == 0 {
			qt.Assert(t, c.conn.(*net.TCPConn).SetLinger(0), qt.IsNil) // it resets
		}
		qt.Assert(t, c.conn.Close(), qt.IsNil)
	}
	stays := dialServer(t, s)
	stays.write(request)
	time.Sleep(wait)
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() { _ = s.Close(); qt.Check(t, <-done, qt.IsNil) })
	stays.readOK()
	time.Sleep(wait)
	qt.Assert(t, ran.Load(), qt.Equals, int64(1))
}
