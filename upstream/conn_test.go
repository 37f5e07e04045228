package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"pgregory.net/rapid"
)

// newConnPair returns a Conn and the searcher's end of the same connection.
func newConnPair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	clientEnd, searcherEnd := net.Pipe()
	c := newConn(clientEnd)
	t.Cleanup(func() { c.Close(); _ = searcherEnd.Close() })
	return c, searcherEnd
}

// answerRaw reads one request and answers it with raw.
func answerRaw(searcherEnd net.Conn, raw string) {
	if _, err := http.ReadRequest(bufio.NewReader(searcherEnd)); err == nil {
		_, _ = io.WriteString(searcherEnd, raw)
	}
}

func response(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// newRequests returns one request of each kind. Those that have a work ID have "w".
func newRequests(t *testing.T) map[string]*Request {
	t.Helper()
	d := Deadline{Remaining: time.Second, UnixMs: 1}
	search, err1 := NewSearchRequest("127.0.0.1:1", "w", d, Search{Index: "x"})
	run, err2 := NewRunRequest("127.0.0.1:1", "w", d, Run{Key: "k"})
	remove, err3 := NewDeleteRequest("127.0.0.1:1", "w")
	page, err4 := NewStateRequest("127.0.0.1:1")
	for _, err := range []error{err1, err2, err3, err4} {
		qt.Assert(t, err, qt.IsNil)
	}
	return map[string]*Request{"search": search, "run": run, "delete": remove, "state": page}
}

// TestReplyValidation guards against accepting a reply that is malformed, too large or
// for other work. Such a reply must end the connection.
func TestReplyValidation(t *testing.T) {
	const bodyWithWorkID = `{"work_id":"w"}`
	for _, c := range []struct {
		name, request, raw string
		status             int // zero for an error
	}{
		{"answer", "search", response(200, "", bodyWithWorkID), 200},
		{"chunked answer", "search", "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + bodyWithWorkID + "\r\n0\r\n\r\n", 200},
		{"other work", "search", response(200, "", `{"work_id":"v"}`), 0},
		{"no work", "search", response(200, "", `{}`), 0},
		{"header of other work", "search", response(429, "Wharf-Work-Id: v\r\n", ""), 0},
		{"header and body differ", "search", response(200, "Wharf-Work-Id: v\r\n", bodyWithWorkID), 0},
		{"refusal", "search", response(429, "", ""), 429},
		{"refusal of a booking", "run", response(429, "Wharf-Work-Id: w\r\n", ""), 429},
		{"refusal that may be of another booking", "run", response(429, "", ""), 0},
		{"delete reply for other work", "delete", response(200, "", `{"work_id":"v"}`), 0},
		{"answer in place of a state page", "state", response(200, "", bodyWithWorkID), 0},
		{"state page", "state", response(200, "", `{"draining":false}`), 200},
		{"not a state page", "state", response(200, "", `{}`), 0},
		{"not JSON", "search", response(200, "Wharf-Work-Id: w\r\n", "<html>"), 0},
		{"not HTTP", "search", "SSH-2.0-x\r\n\r\n", 0},
		{"interim status", "search", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		{"cut off", "search", "HTTP/1.1 200 x\r\nContent-Length: 90\r\n\r\n" + bodyWithWorkID, 0},
		{"large body", "search", response(200, "", `{"work_id":"w","body":"`+strings.Repeat("x", maxBodyBytes)+`"}`), 0},
		{"endless header", "search", "HTTP/1.1 200 x\r\nA: " + strings.Repeat("x", maxReplyBytes+1), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, searcherEnd := newConnPair(t)
			go func() {
				answerRaw(searcherEnd, c.raw)
				if c.name == "cut off" {
					_ = searcherEnd.Close()
				}
			}()
			reply, err := conn.Exchange(newRequests(t)[c.request])
			if c.status == 0 {
				qt.Assert(t, err, qt.IsNotNil)
				qt.Assert(t, errors.Is(err, ErrNotWritten), qt.IsFalse)
				<-conn.Done()
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, reply.Status, qt.Equals, c.status)
		})
	}
}

// TestErrNotWritten guards against an error that says the wrong thing about the request:
// ErrNotWritten although the searcher may have received it, or another error although no
// byte of it was written.
func TestErrNotWritten(t *testing.T) {
	t.Run("broken before the write", func(t *testing.T) {
		conn, searcherEnd := newConnPair(t)
		_ = searcherEnd.Close()
		<-conn.Done()
		_, err := conn.Exchange(newRequests(t)["run"])
		qt.Assert(t, errors.Is(err, ErrNotWritten), qt.IsTrue)
	})
	t.Run("broken after a part of the write", func(t *testing.T) {
		conn, searcherEnd := newConnPair(t)
		go func() {
			_, _ = searcherEnd.Read(make([]byte, 10))
			_ = searcherEnd.Close()
		}()
		_, err := conn.Exchange(newRequests(t)["run"])
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, errors.Is(err, ErrNotWritten), qt.IsFalse)
	})
	t.Run("broken after the write", func(t *testing.T) {
		conn, searcherEnd := newConnPair(t)
		go func() {
			answerRaw(searcherEnd, "")
			_ = searcherEnd.Close()
		}()
		_, err := conn.Exchange(newRequests(t)["run"])
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, errors.Is(err, ErrNotWritten), qt.IsFalse)
	})
	t.Run("unsolicited reply", func(t *testing.T) {
		conn, searcherEnd := newConnPair(t)
		_, _ = io.WriteString(searcherEnd, "H")
		<-conn.Done()
		_, err := conn.Exchange(newRequests(t)["run"])
		qt.Assert(t, errors.Is(err, ErrNotWritten), qt.IsTrue)
	})
}

// TestArbitraryReplyBytes guards against a crash on arbitrary bytes from a broken
// searcher, and against such bytes being accepted as a successful reply to a search, a
// booking or a state request.
func TestArbitraryReplyBytes(t *testing.T) {
	all := newRequests(t)
	rapid.Check(t, func(r *rapid.T) {
		conn, searcherEnd := newConnPair(t)
		defer conn.Close()
		kind := rapid.SampledFrom([]string{"search", "run", "delete", "state"}).Draw(r, "kind")
		raw := string(rapid.SliceOf(rapid.Byte()).Draw(r, "raw"))
		if rapid.Bool().Draw(r, "framed") {
			raw = response(rapid.IntRange(0, 999).Draw(r, "status"), "", raw)
		}
		go func() {
			answerRaw(searcherEnd, raw)
			_ = searcherEnd.Close()
		}()
		reply, err := conn.Exchange(all[kind])
		if err == nil && reply.Status == http.StatusOK && kind != "delete" {
			r.Fatalf("%q was accepted as a valid reply", raw)
		}
	})
}
