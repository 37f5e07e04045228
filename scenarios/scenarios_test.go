// Package scenarios runs sessions of operators and faults against real
// processes on loopback. Each file *.txtar is one scenario, a script of
// testscript with the commands of commands_test.go and expect_test.go.
package scenarios

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wisteriawharf/wisteriawharf/internal/deployment"
	"github.com/wisteriawharf/wisteriawharf/internal/relay"
)

var update = flag.Bool("update", false, "write the sessions that were seen into the scenarios")

// deployments bounds the deployments that run at the same time. Each has about
// fifteen processes that use one to two cores.
var deployments = make(chan struct{}, 3)

// binaries is the directory of the programs, built by TestMain.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "wharf-scenarios")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binaries = dir
	if out, err := exec.Command("go", "build", "-o", dir+"/", "../cmd/...").CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// TestScenarios runs every scenario. What each guards against stands in its
// first lines.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: ".", UpdateScripts: *update, RequireUniqueNames: true, Setup: setup, Cmds: commands(),
	})
}

// scenario is the state of one running script.
type scenario struct {
	dir        string
	deployment *deployment.Deployment
	loads      map[string]*deployment.Load
	reports    map[string]any
	marks      map[string]time.Time
	words      *words
	relays     []*relay.TCP
	session    *os.File
	// distance is that of the deployment to start.
	distance deployment.Distance
}

type scenarioKey struct{}

func setup(env *testscript.Env) error {
	deployments <- struct{}{}
	env.Defer(func() { <-deployments })
	s := &scenario{
		dir: env.WorkDir, loads: make(map[string]*deployment.Load),
		reports: make(map[string]any), marks: make(map[string]time.Time),
	}
	session, err := os.Create(filepath.Join(env.WorkDir, "session"))
	if err != nil {
		return errors.Trace(err)
	}
	s.session = session
	env.Values[scenarioKey{}] = s
	env.Defer(s.end)
	env.Setenv("PATH", binaries+string(os.PathListSeparator)+env.Getenv("PATH"))
	return nil
}

// end kills what still runs.
func (s *scenario) end() {
	for _, l := range s.loads {
		l.Kill()
	}
	if s.deployment != nil {
		s.deployment.Kill()
	}
	for _, r := range s.relays {
		r.Close()
	}
	_ = s.session.Close()
}
