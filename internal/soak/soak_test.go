package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSoak guards against promises that break under faults which overlap: short
// runs of fixed seeds.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "wharf-gateway")
	text, err := exec.Command("go", "build", "-o", binary, "../../cmd/wharf-gateway").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", text))
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r, err := run(binary, t.TempDir(), seed, 10*time.Second)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.violations, qt.HasLen, 0, qt.Commentf("%v", r.violations))
			qt.Assert(t, r.good > 100, qt.IsTrue, qt.Commentf("%s", r))
		})
	}
}
