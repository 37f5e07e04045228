package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// buildGateway builds the program under test and returns its path.
func buildGateway(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "wharf-gateway")
	text, err := exec.Command("go", "build", "-o", binary, "../../cmd/wharf-gateway").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", text))
	return binary
}

// TestPlannedStopsCutNothing guards against requests that end without an answer around planned
// stops in calm. Callers go on to use the connections that they have until the process is gone.
func TestPlannedStopsCutNothing(t *testing.T) {
	r, err := run(plan{binary: buildGateway(t), out: t.TempDir(), seed: 1, duration: 15 * time.Second, stopsOnly: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.violations, qt.HasLen, 0, qt.Commentf("%v", r.violations))
	qt.Assert(t, r.faults > 1, qt.IsTrue, qt.Commentf("%s", r))
}

// TestOverlappingStopsCutNoRequest guards against requests that end without an answer when several
// of nine instances stop at once, with work that may take longer than what is left of the stop.
func TestOverlappingStopsCutNoRequest(t *testing.T) {
	r, err := run(plan{binary: buildGateway(t), out: t.TempDir(), seed: 1, duration: 20 * time.Second, stopsOnly: true, instances: 9})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.violations, qt.HasLen, 0, qt.Commentf("%v", r.violations))
	qt.Assert(t, r.faults > 1 && r.inStops > 0, qt.IsTrue, qt.Commentf("%s", r))
}

// TestSoak guards against promises that break under faults which overlap: short
// runs of fixed seeds.
func TestSoak(t *testing.T) {
	binary := buildGateway(t)
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r, err := run(plan{binary: binary, out: t.TempDir(), seed: seed, duration: 10 * time.Second})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.violations, qt.HasLen, 0, qt.Commentf("%v", r.violations))
			qt.Assert(t, r.good > 100, qt.IsTrue, qt.Commentf("%s", r))
		})
	}
}
