package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestStopOfPausedProcessEndsInTime guards against a stop whose signal came while the process stood
// still, and whose schedule then ends only after the platform has killed the process.
func TestStopOfPausedProcessEndsInTime(t *testing.T) {
	t.Parallel()
	const grace, pause, interval = 6 * time.Second, 4 * time.Second, 50 * time.Millisecond
	ledger := &site.Ledger{}
	p := processSite(t, ledger, 20*time.Millisecond, func(n *site.Node) { n.StopGrace = int(grace / time.Second) })
	began := time.Now()
	p.signal(syscall.SIGSTOP)
	p.signal(syscall.SIGTERM)
	time.Sleep(pause)
	p.signal(syscall.SIGCONT)
	path := fmt.Sprintf("/book/x?%s=%d", site.WorkQuery, time.Second.Milliseconds())
	var group sync.WaitGroup
	for i := 0; time.Since(began) < grace-time.Second; i++ {
		conn, err := site.Connect(p.node.Callers)
		if err != nil {
			break // it accepts no more connections
		}
		group.Go(func() {
			defer conn.Close()
			id := fmt.Sprint("s", i)
			status, _ := conn.Ask(http.MethodPost, path, id, 2*time.Second)
			if ended := time.Since(began); ended > grace && ledger.Count(id) > 0 {
				t.Errorf("%s was answered %d %s after the signal", id, status, ended)
			}
		})
		time.Sleep(interval)
	}
	group.Wait()
	qt.Assert(t, <-p.ended, qt.IsNil)
	qt.Check(t, time.Since(began) < grace, qt.IsTrue, qt.Commentf("ended after %s", time.Since(began)))
}

// longRequest sends a request that runs for longer than a time and returns once it runs.
func (p *gatewayProcess) longRequest(t *testing.T, ledger *site.Ledger, longer time.Duration) {
	t.Helper()
	conn, err := site.Connect(p.node.Callers)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(conn.Close)
	path := fmt.Sprintf("/safe/x?%s=%d", site.WorkQuery, (2 * longer).Milliseconds())
	go conn.Ask(http.MethodGet, path, "long", 2*longer)
	eventually(t, "the request does not run", func() bool { return ledger.Count("long") > 0 })
}

// TestStopAfterShortPauseEndsInTime guards against a process that is killed at the end of the grace because it stood still for a
// moment when the signal came, too shortly to count as a stall, while requests are open for as long as the stop allows.
func TestStopAfterShortPauseEndsInTime(t *testing.T) {
	t.Parallel()
	const grace = 3 * time.Second
	for _, pause := range []time.Duration{120 * time.Millisecond, 240 * time.Millisecond, 360 * time.Millisecond, 480 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			ledger := &site.Ledger{}
			p := processSite(t, ledger, 20*time.Millisecond, func(n *site.Node) { n.StopGrace = int(grace / time.Second) })
			p.longRequest(t, ledger, grace)
			began := time.Now()
			p.signal(syscall.SIGSTOP)
			p.signal(syscall.SIGTERM)
			time.Sleep(pause)
			p.signal(syscall.SIGCONT)
			qt.Check(t, <-p.ended, qt.IsNil)
			qt.Check(t, time.Since(began) < grace, qt.IsTrue, qt.Commentf("ended after %s", time.Since(began)))
		})
	}
}

// TestStopKeepsGraceOfSettingsFile guards against requests that are cut because the process is killed at the end of a grace that
// was shortened in the settings file while it ran, with a signal or without one. A file that can't be read changes nothing.
func TestStopKeepsGraceOfSettingsFile(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		announced bool
		file      func(n site.Node) string
		grace     time.Duration
	}{
		{"shorter", false, func(n site.Node) string { n.StopGrace = 2; return n.File() }, 2 * time.Second},
		{"shorter, with a signal", true, func(n site.Node) string { n.StopGrace = 2; return n.File() }, 2 * time.Second},
		{"shorter, with another value that is not valid", false, func(n site.Node) string {
			n.StopGrace = 2
			return n.File() + "limits: {cores: many}\n"
		}, 2 * time.Second},
		{"unreadable", true, func(site.Node) string { return "{" }, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ledger := &site.Ledger{}
			p := processSite(t, ledger, 20*time.Millisecond, func(n *site.Node) { n.StopGrace = 4 })
			p.longRequest(t, ledger, 4*time.Second)
			qt.Assert(t, os.WriteFile(p.settingsFile, []byte(c.file(p.node)), 0o600), qt.IsNil)
			if c.announced {
				p.signal(syscall.SIGHUP)
			}
			began := time.Now()
			p.signal(syscall.SIGTERM)
			qt.Check(t, <-p.ended, qt.IsNil)
			qt.Check(t, time.Since(began) < c.grace, qt.IsTrue, qt.Commentf("ended after %s", time.Since(began)))
		})
	}
}
