package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const (
	// clockSlack is the tolerance for times that the kernel, the caller and the instance measure.
	clockSlack = 50 * time.Millisecond
	// pauseLength is how long a process is stopped.
	pauseLength = 850 * time.Millisecond
)

// timedRequest is a request of a caller that knows when it had been sent.
type timedRequest struct {
	id    string
	limit time.Duration
	conn  net.Conn
	sent  time.Time
}

// requestText returns a request with a time limit.
func requestText(method, path, id string, limit time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, site.Host, id, limit.Milliseconds())
}

// sendTimed sends a request on a connection.
func sendTimed(t *testing.T, conn net.Conn, method, path, id string, limit time.Duration) *timedRequest {
	t.Helper()
	_, err := conn.Write([]byte(requestText(method, path, id, limit)))
	qt.Assert(t, err, qt.IsNil)
	return &timedRequest{id: id, limit: limit, conn: conn, sent: time.Now()}
}

// leftAt returns how much of the time limit was left at a time.
func (r *timedRequest) leftAt(at time.Time) time.Duration { return r.sent.Add(r.limit).Sub(at) }

// checkRuns checks that no searcher got more time for the request than was left at a time, before
// which it can't have been passed on.
func (r *timedRequest) checkRuns(t *testing.T, ledger *site.Ledger, at time.Time) {
	t.Helper()
	for _, run := range ledger.Runs() {
		if run.RequestID == r.id && run.Left > max(r.leftAt(at), 0)+clockSlack {
			t.Errorf("%s (limit %s) ran with %s left, its caller had %s", r.id, r.limit, run.Left, r.leftAt(at))
		}
	}
}

// nextStatus returns the status of the next answer on a connection, zero if there is none.
func nextStatus(conn net.Conn, reader *bufio.Reader) int {
	status, _ := nextAnswer(conn, reader)
	return status
}

// nextAnswer returns the status and the body of the next answer on a connection, zero if there is none.
func nextAnswer(conn net.Conn, reader *bufio.Reader) (int, string) {
	if conn.SetReadDeadline(time.Now().Add(10*time.Second)) != nil {
		return 0, ""
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, strings.TrimSpace(string(body))
}

// pause stops a process for pauseLength, see pauseFor.
func (p *gatewayProcess) pause(during func()) time.Time { return p.pauseFor(pauseLength, during) }

// pauseFor stops a process for a time, calls during at its start, and returns when it goes on.
func (p *gatewayProcess) pauseFor(length time.Duration, during func()) time.Time {
	p.signal(syscall.SIGSTOP)
	eventually(p.t, "the process does not stop", p.stopped)
	began := time.Now()
	during()
	time.Sleep(time.Until(began.Add(length)))
	resumed := time.Now()
	p.signal(syscall.SIGCONT)
	return resumed
}

// stopped reports whether all threads of a process stand still.
func (p *gatewayProcess) stopped() bool {
	states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	for _, file := range states {
		text, readErr := os.ReadFile(file)
		_, fields, _ := strings.Cut(string(text), ") ")
		if readErr != nil || !strings.HasPrefix(fields, "T") {
			return false
		}
	}
	return err == nil && len(states) > 0
}

// settledSite is processSite with an instance that has its whole part of the connections: in its first
// moments it has a twelfth of them, and refuses a burst as too many requests.
func settledSite(t *testing.T, ledger *site.Ledger, work time.Duration) *gatewayProcess {
	t.Helper()
	p := processSite(t, ledger, work)
	time.Sleep(startupPeriod + 2*periodicInterval)
	return p
}

// connectAll opens connections to an instance. Those with an even index have carried a request.
func connectAll(t *testing.T, p *gatewayProcess, n int) []net.Conn {
	t.Helper()
	all := make([]net.Conn, n)
	for i := range all {
		conn, err := net.Dial("tcp", p.node.Callers)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		if i%2 == 0 {
			sendTimed(t, conn, http.MethodGet, "/missing", "warm-up", requestDeadline)
			qt.Assert(t, nextStatus(conn, bufio.NewReader(conn)), qt.Equals, http.StatusNotFound)
		}
		all[i] = conn
	}
	return all
}

// requestForms are a method and a path of each kind of route.
var requestForms = [][2]string{{http.MethodGet, "/safe/x"}, {http.MethodGet, "/search/x"}, {http.MethodPost, "/book/x"}}

// TestPausedProcessCountsTimeBeforeReading guards against requests that come while the process stands
// still and are handed to searchers as if they had just been sent.
func TestPausedProcessCountsTimeBeforeReading(t *testing.T) {
	for _, limit := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(limit.String(), func(t *testing.T) {
			t.Parallel()
			ledger := &site.Ledger{}
			p := settledSite(t, ledger, 20*time.Millisecond)
			for round := range 3 {
				conns := connectAll(t, p, 30)
				requests := make([]*timedRequest, len(conns))
				resumed := p.pause(func() {
					for i, conn := range conns {
						form := requestForms[i%len(requestForms)]
						requests[i] = sendTimed(t, conn, form[0], form[1], fmt.Sprintf("r%d-%d", round, i), limit)
						time.Sleep(pauseLength / time.Duration(2*len(conns)))
					}
				})
				for _, r := range requests {
					status, body := nextAnswer(r.conn, bufio.NewReader(r.conn))
					r.checkRuns(t, ledger, resumed)
					if want := http.StatusServiceUnavailable; r.leftAt(resumed) < -clockSlack && status != want {
						t.Errorf("%s is answered %d after its time limit, want %d", r.id, status, want)
					}
					if r.leftAt(resumed) > limit/2 && status != http.StatusOK {
						t.Errorf("%s is answered %d with %s left: %s", r.id, status, r.leftAt(resumed), body)
					}
				}
			}
		})
	}
}

// TestPausedProcessDropsRequestsOfGoneCallers guards against requests that are handed to searchers
// although their callers have closed their connections while the process stood still.
func TestPausedProcessDropsRequestsOfGoneCallers(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ledger := &site.Ledger{}
			p := settledSite(t, ledger, 20*time.Millisecond)
			conns := connectAll(t, p, 30)
			var requests []*timedRequest
			p.pause(func() {
				for i, conn := range conns {
					form := requestForms[i%len(requestForms)]
					requests = append(requests, sendTimed(t, conn, form[0], form[1], fmt.Sprint("gone", i), requestDeadline))
					if reset {
						qt.Assert(t, conn.(*net.TCPConn).SetLinger(0), qt.IsNil)
					}
					qt.Assert(t, conn.Close(), qt.IsNil)
				}
			})
			time.Sleep(pauseLength)
			for _, r := range requests {
				if n := ledger.Count(r.id); n > 0 {
					t.Errorf("%s ran %d times after its caller had left", r.id, n)
				}
			}
		})
	}
}

// TestRequestBehindAnotherCountsItsWait guards against a request that waits behind another one on its
// connection and is then handed to a searcher as if it had just been sent.
func TestRequestBehindAnotherCountsItsWait(t *testing.T) {
	const before = 1200 * time.Millisecond
	for name, apart := range map[string]time.Duration{"together": 0, "later": 100 * time.Millisecond} {
		for _, limit := range []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " ", limit), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				ledger := &site.Ledger{}
				d.startSearchers(ledger, time.Millisecond)
				d.store.Put("config", "main", site.Configuration(1, []string{"one"}, []site.Route{{Prefix: "/r/", Service: "one", Idempotent: true, TargetMs: 500}}))
				instance := d.startInstance("a")
				d.awaitServing("/r/x")
				conn, err := net.Dial("tcp", instance.settings.CallerAddress)
				qt.Assert(t, err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				first := requestText(http.MethodGet, fmt.Sprint("/r/x?", site.WorkQuery, "=", before.Milliseconds()), "first", requestDeadline)
				second := requestText(http.MethodGet, "/r/x", "second", limit)
				if apart == 0 {
					first, second = first+second, ""
				}
				began := time.Now()
				_, err = conn.Write([]byte(first))
				qt.Assert(t, err, qt.IsNil)
				time.Sleep(apart)
				_, err = conn.Write([]byte(second))
				qt.Assert(t, err, qt.IsNil)
				r := &timedRequest{id: "second", limit: limit, sent: time.Now()}
				reader := bufio.NewReader(conn)
				qt.Assert(t, nextStatus(conn, reader), qt.Equals, http.StatusOK)
				status := nextStatus(conn, reader)
				r.checkRuns(t, ledger, began.Add(before))
				if limit < before {
					qt.Check(t, status, qt.Equals, http.StatusServiceUnavailable)
				} else {
					qt.Check(t, status, qt.Equals, http.StatusOK)
				}
			})
		}
	}
}

// TestRequestAfterDroppedBodyIsFresh guards against a sound request that is refused because its age
// counts from the body of the request before it on the connection.
func TestRequestAfterDroppedBodyIsFresh(t *testing.T) {
	const limit = 300 * time.Millisecond
	d := newDeployment(t)
	d.startSearchers(&site.Ledger{}, time.Millisecond)
	d.configure(1, "/r/")
	instance := d.startInstance("a")
	d.awaitServing("/r/x")
	for path, want := range map[string]int{"/missing": http.StatusNotFound, "/r/x": http.StatusOK} {
		conn, err := net.Dial("tcp", instance.settings.CallerAddress)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for _, body := range []string{"Content-Length: 2\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"} {
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: b\r\n", path, site.Host)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(limit / 3)
			_, err = conn.Write([]byte(body))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, nextStatus(conn, reader), qt.Equals, want)
			time.Sleep(2 * limit)
			sendTimed(t, conn, http.MethodGet, "/r/x", "fresh", limit)
			qt.Assert(t, nextStatus(conn, reader), qt.Equals, http.StatusOK)
			time.Sleep(2 * limit)
		}
	}
}
