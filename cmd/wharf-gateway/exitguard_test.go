package main

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// endsInGrace sends SIGTERM and fails the test if the process is still there after 0.95 of the grace.
func (p *gatewayProcess) endsInGrace(t *testing.T) {
	t.Helper()
	began := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		took := time.Since(began)
		qt.Check(t, took <= processGrace*95/100, qt.IsTrue, qt.Commentf("the stop took %s", took))
	case <-time.After(2 * processGrace):
		t.Fatal("the process does not end")
	}
}

// fullPipe returns the writing end of a pipe that takes no further byte.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	r, w, err := os.Pipe()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _, _ = r.Close(), w.Close() })
	size, err := unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize())
	qt.Assert(t, err, qt.IsNil)
	_, err = w.Write(make([]byte, size))
	qt.Assert(t, err, qt.IsNil)
	return w
}

// TestStopWithBlockedLog guards against a process that waits for its log and never handles its signal.
func TestStopWithBlockedLog(t *testing.T) {
	t.Parallel()
	ports, err := site.FreePorts("127.0.0.1", 1)
	qt.Assert(t, err, qt.IsNil)
	p := startProcessWithLog(t, fullPipe(t), fmt.Sprintf("127.0.0.1:%d", ports[0]))
	eventually(t, "the process does not listen", func() bool {
		c, err := net.Dial("tcp", p.node.Callers)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
	p.endsInGrace(t)
}

// TestStopEndsBeforeGrace guards against a process that is still there when the grace ends, because callers keep
// connections open that send or read nothing, a request is at a searcher that does not reply, or the process gets
// a fourth of the processor time.
func TestStopEndsBeforeGrace(t *testing.T) {
	for _, slow := range []bool{false, true} {
		t.Run(fmt.Sprint("slow ", slow), func(t *testing.T) {
			t.Parallel()
			ledger := &site.Ledger{}
			p, searchers := processSiteOf(t, ledger, 10*time.Millisecond)
			for _, s := range searchers {
				s.SetFaults(site.SearcherFaults{Silent: true})
			}
			for n, head := range []string{"", "GET /safe/x HTT", "GET /safe/x HTTP/1.1\r\nHost: a\r\nRequest-Id: s%d\r\n\r\n", "POST /book/x HTTP/1.1\r\nHost: a\r\nRequest-Id: s%d\r\nContent-Length: 9\r\n\r\n"} {
				for i := range 10 {
					c, err := net.Dial("tcp", p.node.Callers)
					qt.Assert(t, err, qt.IsNil)
					t.Cleanup(func() { _ = c.Close() })
					if n >= 2 {
						head = fmt.Sprintf(head, 10*n+i)
					}
					_, err = c.Write([]byte(head))
					qt.Assert(t, err, qt.IsNil)
				}
			}
			over := make(chan struct{})
			defer close(over)
			if slow {
				go func() {
					for {
						select {
						case <-over:
							return
						default:
						}
						p.signal(syscall.SIGSTOP)
						time.Sleep(30 * time.Millisecond)
						p.signal(syscall.SIGCONT)
						time.Sleep(10 * time.Millisecond)
					}
				}()
			}
			p.endsInGrace(t)
		})
	}
}
