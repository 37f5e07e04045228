package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/operator"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// fakeService has one request open, which ends when finish is closed.
type fakeService struct {
	finish  chan struct{}
	stopped bool
}

func (f *fakeService) Run(ctx context.Context) error { <-ctx.Done(); return nil }

func (f *fakeService) Stop(ctx context.Context) error {
	select {
	case <-f.finish:
		f.stopped = true
		return nil
	case <-ctx.Done():
		return errors.New("request was still open")
	}
}

func (f *fakeService) Status(*operator.Status) {}

func (f *fakeService) Explain(string) (any, bool) { return nil, false }

func writeSettings(t *testing.T, stopTimeout string) string {
	t.Helper()
	dir := t.TempDir()
	ca, err := identity.NewDevCA(dir)
	qt.Assert(t, err, qt.IsNil)
	files, err := ca.Issue("broker", identity.RoleInstance)
	qt.Assert(t, err, qt.IsNil)
	text := fmt.Sprintf("id: b\nfailure_domain: d\npeer_address: 127.0.0.1:0\noperator_address: 127.0.0.1:0\n"+
		"platform_address: 127.0.0.1:1\ncertificate: %s\nkey: %s\nca: %s\naddress_lifetime: 100ms\nstop_timeout: %s\n",
		files.Certificate, files.Key, files.CA, stopTimeout)
	path := filepath.Join(dir, "broker.yaml")
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

func process(t *testing.T, stopTimeout string) *settings.Process {
	t.Helper()
	p, err := readProcess(writeSettings(t, stopTimeout), control.RoleBroker)
	qt.Assert(t, err, qt.IsNil)
	return p
}

// TestSignals guards against a planned stop that fails or is cut short by a
// second signal, that goes on without a bound, and against SIGQUIT being taken
// for a planned stop.
func TestSignals(t *testing.T) {
	for _, c := range []struct {
		name        string
		signals     []os.Signal
		finishes    bool
		stopTimeout string
		failure     string
	}{
		{"planned", []os.Signal{syscall.SIGTERM, syscall.SIGTERM}, true, "30s", ""},
		{"immediate", []os.Signal{syscall.SIGQUIT}, false, "30s", "immediate stop.*"},
		{"immediate while stopping", []os.Signal{syscall.SIGTERM, syscall.SIGQUIT}, false, "30s", "immediate stop.*"},
		{"bounded", []os.Signal{syscall.SIGTERM}, false, "1s", ".*(took longer|still open).*"},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := &fakeService{finish: make(chan struct{})}
			if c.finishes {
				close(service.finish)
			}
			signals := make(chan os.Signal, 2)
			for _, s := range c.signals {
				signals <- s
			}
			err := serve(process(t, c.stopTimeout), control.RoleBroker, slog.New(slog.NewTextHandler(io.Discard, nil)),
				func(*Base) (Service, error) { return service, nil }, signals)
			if c.failure == "" {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, service.stopped, qt.IsTrue)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, c.failure)
		})
	}
}

// TestUsage guards against a start with settings that cannot be used, and
// against an entry without an address for callers.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"--settings", "/does/not/exist"}, {"--unknown"}, {"--settings", writeSettings(t, "30s")}} {
		var stderr bytes.Buffer
		qt.Assert(t, run(args, &stderr, control.RoleEntry, nil), qt.Equals, exitUsage)
		qt.Assert(t, stderr.String(), qt.Not(qt.Equals), "")
	}
}
