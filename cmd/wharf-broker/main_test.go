package main

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// process returns the settings of a broker on loopback and its services.
func process(t *testing.T) (*settings.Process, options) {
	t.Helper()
	dir := t.TempDir()
	ca, err := identity.NewDevCA(dir)
	qt.Assert(t, err, qt.IsNil)
	files, err := ca.Issue("broker", identity.RoleInstance)
	qt.Assert(t, err, qt.IsNil)
	text := fmt.Sprintf("id: b\nfailure_domain: d\npeer_address: 127.0.0.1:0\ncertificate: %s\nkey: %s\nca: %s\nstop_timeout: 10s\n",
		files.Certificate, files.Key, files.CA)
	path := filepath.Join(dir, "broker.yaml")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	services := filepath.Join(dir, "services")
	qt.Assert(t, os.Mkdir(services, 0o700), qt.IsNil)
	service := `{service: s, kind: booking, deadline: 1s, queue_limit: 4,
limits: {slots: 2, connections: 4, cold: {allowance: 1, step_successes: 2}},
searchers: [{id: u, address: "127.0.0.1:1", failure_domain: d}]}`
	qt.Assert(t, os.WriteFile(filepath.Join(services, "s.yaml"), []byte(service), 0o600), qt.IsNil)
	p, err := readProcess(path)
	qt.Assert(t, err, qt.IsNil)
	return p, options{Settings: path, Services: services}
}

// TestSignals guards against a planned stop that fails or is cut short by a
// second signal, and against SIGQUIT being taken for one.
func TestSignals(t *testing.T) {
	for _, c := range []struct {
		signals []os.Signal
		failure string
	}{
		{[]os.Signal{syscall.SIGTERM, syscall.SIGTERM}, ""},
		{[]os.Signal{syscall.SIGQUIT}, "immediate stop.*"},
	} {
		p, o := process(t)
		signals := make(chan os.Signal, 2)
		for _, s := range c.signals {
			signals <- s
		}
		ended := make(chan error, 1)
		go func() { ended <- serve(p, o, slog.New(slog.NewTextHandler(io.Discard, nil)), signals) }()
		select {
		case err := <-ended:
			if c.failure == "" {
				qt.Assert(t, err, qt.IsNil)
			} else {
				qt.Assert(t, err, qt.ErrorMatches, c.failure)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("did not stop")
		}
	}
}

// TestUsage guards against a start with settings that cannot be used.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"--settings", "/does/not/exist"}, {"--unknown"}} {
		var stderr bytes.Buffer
		qt.Assert(t, run(args, &stderr), qt.Equals, exitUsage)
		qt.Assert(t, stderr.String(), qt.Not(qt.Equals), "")
	}
}
