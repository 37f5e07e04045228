package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/operator"
	"github.com/wisteriawharf/wisteriawharf/publish"
)

// memory is a platform in memory. away makes every call fail; before runs
// before a write.
type memory struct {
	objectstore.Store
	objects map[string]objectstore.Object
	away    bool
	before  func()
}

func (m *memory) Get(_ context.Context, name string) (objectstore.Object, error) {
	if m.away {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	if o, ok := m.objects[name]; ok {
		return o, nil
	}
	return objectstore.Object{}, objectstore.ErrNotFound
}

func (m *memory) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return m.Update(ctx, name, 0, value)
}

func (m *memory) Update(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	if m.away {
		return 0, objectstore.ErrUnavailable
	}
	if before := m.before; before != nil {
		m.before = nil
		before()
	}
	if m.objects[name].Version != version {
		return 0, objectstore.ErrConflict
	}
	m.objects[name] = objectstore.Object{Name: name, Version: version + 1, Value: value}
	return version + 1, nil
}

func (m *memory) List(_ context.Context, prefix string) ([]objectstore.Object, error) {
	if m.away {
		return nil, objectstore.ErrUnavailable
	}
	var all []objectstore.Object
	for name, o := range m.objects {
		if strings.HasPrefix(name, prefix) {
			all = append(all, o)
		}
	}
	return all, nil
}

// console runs wharfctl against a platform in memory and one instance.
type console struct {
	t     *testing.T
	dir   string
	store *memory
	state *control.State
}

func newConsole(t *testing.T) *console {
	c := &console{t: t, dir: t.TempDir(), store: &memory{objects: make(map[string]objectstore.Object)}, state: control.NewState()}
	pems := filepath.Join(c.dir, "pems")
	_, code := c.run("dev-ca", pems, "--instance", "one", "--operator", "ana", "--operator", "ivo")
	qt.Assert(t, code, qt.Equals, exitOK)
	id, err := identity.Load(identity.Files{Certificate: pems + "/one.pem", Key: pems + "/one-key.pem", CA: pems + "/ca.pem"})
	qt.Assert(t, err, qt.IsNil)
	s, err := operator.Listen(operator.Config{
		Address: "127.0.0.1:0", Identity: id, State: c.state, Gatherer: prometheus.NewRegistry(),
		Status: func() operator.Status { return operator.Status{ID: "one", State: control.Live} },
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = s.Close(context.Background()) })
	c.configure("ana", s.Address())
	c.configure("ivo", s.Address())
	c.configure("one", s.Address())
	c.write("1s")
	return c
}

func (c *console) configure(name, address string) {
	text := strings.NewReplacer("NAME", filepath.Join(c.dir, "pems", name), "DIR", filepath.Join(c.dir, "pems"), "ADDRESS", address).Replace(
		"platform_address: 127.0.0.1:1\noperator_addresses: [ADDRESS]\ncertificate: NAME.pem\nkey: NAME-key.pem\nca: DIR/ca.pem\ntimeout: 10s\n")
	qt.Assert(c.t, os.WriteFile(filepath.Join(c.dir, name+".conf"), []byte(text), 0o600), qt.IsNil)
}

// write replaces the service settings file.
func (c *console) write(deadline string) {
	c.t.Helper()
	dir := filepath.Join(c.dir, "services")
	qt.Assert(c.t, os.MkdirAll(dir, 0o700), qt.IsNil)
	text := "service: book\nkind: booking\ndeadline: " + deadline +
		"\nlimits: {slots: 3, connections: 30}\nsearchers: [{id: b, address: 127.0.0.1:9201, failure_domain: split}]\n"
	qt.Assert(c.t, os.WriteFile(filepath.Join(dir, "book.yaml"), []byte(text), 0o600), qt.IsNil)
}

func (c *console) run(args ...string) (string, int) {
	var out bytes.Buffer
	code := run(args, &environment{stdout: &out, stderr: &out,
		openStore: func(string, time.Duration) (objectstore.Store, error) { return c.store, nil }})
	return out.String(), code
}

// as runs a command with an operator's settings and checks code and output.
func (c *console) as(name string, code int, want string, args ...string) string {
	c.t.Helper()
	out, got := c.run(append([]string{"--config", filepath.Join(c.dir, name+".conf")}, args...)...)
	qt.Check(c.t, got, qt.Equals, code, qt.Commentf("%v: %s", args, out))
	qt.Check(c.t, out, qt.Contains, want, qt.Commentf("%v", args))
	return out
}

// TestRevisions guards against exit codes and outputs other than documented
// from the first publish to the verification of the history.
func TestRevisions(t *testing.T) {
	c := newConsole(t)
	services := filepath.Join(c.dir, "services")
	c.as("ana", exitOK, "Against revision 0:\n  - Service book is added", "diff", services)
	c.as("one", exitNotOperator, `4004 certificate is not an operator's: "one" has role "instance"`, "publish", services, "--reason", "r")
	c.as("ana", exitOK, "Published revision 1 by ana", "publish", services, "--reason", "first")
	c.as("ana", exitNothing, "nothing to do", "publish", services, "--reason", "again")
	c.as("ana", exitUsage, "reason", "publish", services)
	c.write("2")
	c.as("ana", exitInvalid, `book.yaml:3:11: deadline: "2" has no unit`, "publish", services, "--reason", "second")
	c.write("2s")
	c.store.before = func() {
		c.write("3s")
		c.as("ivo", exitOK, "Published revision 2 by ivo", "publish", services, "--reason", "third")
	}
	c.as("ana", exitRace, "revision 2 by ivo, reason \"third\"\n  - In book, the deadline rises from 1s to 3s.", "publish", services, "--reason", "second")
	c.as("ana", exitLagging, "Lags: one at 127.0.0.1", "rollback", "1", "--reason", "undo", "--wait", "--wait-timeout", "1ms")
	c.as("ana", exitNotFound, "4003", "show", "9")
	c.as("ana", exitUsage, "invalid syntax", "show", "x")
	c.as("ana", exitUsage, "unexpected arguments", "show", "1", "2")
	c.as("ana", exitFailed, "host names are not used", "log", "--platform", "localhost:1")
	c.as("ana", exitOK, "Reason: undo", "show", "3")
	c.as("ana", exitOK, "3         ", "log")
	c.as("ana", exitOK, "3 revisions", "verify")
	delete(c.store.objects, publish.ObjectName(2))
	c.as("ana", exitHistory, "revisions 2 to 2 are missing", "verify")
	c.store.away = true
	c.as("ana", exitPlatform, "not reachable", "publish", services, "--reason", "away")
}

// TestOrders guards against an order that is lost with the platform away, or
// about a name that does not exist.
func TestOrders(t *testing.T) {
	c := newConsole(t)
	c.as("ana", exitOK, "Published revision 1", "publish", filepath.Join(c.dir, "services"), "--reason", "first")
	c.as("ana", exitOK, "Recorded as order 1", "domain", "out", "split", "--reason", "power work")
	c.as("ana", exitFailed, `domain "spilt" is not in the settings; known: split`, "domain", "out", "spilt", "--reason", "r")
	c.as("ana", exitFailed, `upstream "z" is not in the settings; known: b`, "upstream", "drain", "z", "--reason", "r")
	c.store.away = true
	c.as("ana", exitNotRecorded, "Held by 1 of 1 instances", "upstream", "drain", "b", "--reason", "repair")
	qt.Assert(t, c.state.View().Out(control.OrderUpstream, "b"), qt.IsTrue)
	c.as("ivo", exitOK, `not recorded yet: upstream b out=true by ana, reason "repair"`, "status")
	var reports []operator.Report
	qt.Assert(t, json.Unmarshal([]byte(c.as("ivo", exitOK, "", "status", "--output", "json")), &reports), qt.IsNil)
	qt.Assert(t, reports[0].Status.OutUpstreams, qt.DeepEquals, []string{"b"})
	c.store.away = false
	c.as("ana", exitOK, "Recorded as order 1", "upstream", "undrain", "b", "--reason", "repaired")
	c.as("ana", exitNotFound, "request is not known", "explain", "r-1")
	c.as("ana", exitOK, "complete -F _wharfctl wharfctl", "completion")
}

// TestDevCANames guards against a certificate that replaces another one, or is
// written outside the directory.
func TestDevCANames(t *testing.T) {
	c := &console{t: t, dir: t.TempDir()}
	for _, names := range [][]string{
		{"--operator", "ana", "--instance", "ana"}, {"--operator", "ca"}, {"--operator", "../ana"},
		{"--operator", "ana", "--operator", "ana-key"}, {},
	} {
		out, code := c.run(append([]string{"dev-ca", filepath.Join(c.dir, "pems")}, names...)...)
		qt.Check(t, code, qt.Not(qt.Equals), exitOK, qt.Commentf("%v: %s", names, out))
	}
	_, err := os.Stat(filepath.Join(c.dir, "pems"))
	qt.Assert(t, os.IsNotExist(err), qt.IsTrue)
}

// TestExitCodesArePublished guards against an exit code that the help or the
// page does not explain.
func TestExitCodesArePublished(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	qt.Assert(t, err, qt.IsNil)
	lines := regexp.MustCompile(`(?m)^ +(\d+)  (.+)$`).FindAllStringSubmatch(helpText, -1)
	qt.Assert(t, lines, qt.HasLen, exitUnknown+1)
	for _, l := range lines {
		qt.Check(t, string(page), qt.Contains, "| "+l[1]+" | "+l[2]+" |")
	}
}

// TestExplainLogs guards against logs that can't be read from a file or from standard
// input, and against a request without a line that ends as if it were explained.
func TestExplainLogs(t *testing.T) {
	const line = `{"time":"t","msg":"not answered","instance":"a1","request":"q","status":503,"reason":"not run: no usable searcher"}`
	const want = "t a1: not answered with status 503: not run: no usable searcher\n"
	file := filepath.Join(t.TempDir(), "log")
	qt.Assert(t, os.WriteFile(file, []byte(line), 0o600), qt.IsNil)
	for _, test := range []struct {
		args  []string
		stdin string
		code  int
		want  string
	}{
		{[]string{"explain", "--log", file, "q"}, "", exitOK, want},
		{[]string{"explain", "--log=-", "q"}, line, exitOK, want},
		{[]string{"explain", "--log", file, "other"}, "", exitNotFound, `wharfctl: request "other": no line names the request` + "\n"},
	} {
		var out bytes.Buffer
		code := run(test.args, &environment{stdin: strings.NewReader(test.stdin), stdout: &out, stderr: &out})
		qt.Check(t, code, qt.Equals, test.code)
		qt.Check(t, out.String(), qt.Equals, test.want)
	}
	var out bytes.Buffer
	qt.Assert(t, run([]string{"explain", "--log", file + ".no", "q"}, &environment{stdout: &out, stderr: &out}), qt.Equals, exitFailed)
}
