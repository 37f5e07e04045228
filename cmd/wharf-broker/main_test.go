package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// process returns the settings of a broker on loopback and its services.
func process(t *testing.T, searcher string) (*settings.Process, options) {
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
	service := fmt.Sprintf(`{service: s, kind: booking, deadline: 1s, queue_limit: 4,
limits: {slots: 2, connections: 4, cold: {allowance: 1, step_successes: 2}},
searchers: [{id: u, address: "%s", failure_domain: d}]}`, searcher)
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
		p, o := process(t, "127.0.0.1:1")
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

// TestServesWithStaticOwnership guards against wiring that leaves a part out:
// a booking has to reach the searcher of --services and come back.
func TestServesWithStaticOwnership(t *testing.T) {
	searcher := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"draining":false}`)
			return
		}
		_, _ = fmt.Fprintf(w, `{"work_id":%q,"key":"k","body":"done"}`, r.Header.Get("Wharf-Work-Id"))
	}))
	defer searcher.Close()
	p, o := process(t, searcher.Listener.Addr().String())
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	d, err := wire(p, o, log)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.run(ctx) }()
	id, err := identity.Load(identity.Files{Certificate: p.Certificate, Key: p.Key, CA: p.CA})
	qt.Assert(t, err, qt.IsNil)
	client, err := peer.Listen(peer.Config{Address: "127.0.0.1:0", Identity: id, Log: log})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = client.Close() }()
	reply := peer.RunReply{Code: uint16(result.NotOwner)}
	for end := time.Now().Add(20 * time.Second); reply.Code == uint16(result.NotOwner) && time.Now().Before(end); {
		run := &peer.Run{Searcher: "u", Key: "k", RemainingMs: 1000, DeadlineUnixMs: time.Now().Add(time.Second).UnixMilli()}
		qt.Assert(t, client.Call(ctx, d.node.Address(), peer.KindRun, run, &reply), qt.IsNil)
	}
	qt.Assert(t, reply.Body, qt.Equals, "done", qt.Commentf("%d %s", reply.Code, reply.Detail))
	d.stop(ctx)
	cancel()
	qt.Assert(t, <-ended, qt.IsNil)
}

// TestUsage guards against a start with settings that cannot be used.
func TestUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"--settings", "/does/not/exist"}, {"--unknown"}} {
		var stderr bytes.Buffer
		qt.Assert(t, run(args, &stderr), qt.Equals, exitUsage)
		qt.Assert(t, stderr.String(), qt.Not(qt.Equals), "")
	}
}
