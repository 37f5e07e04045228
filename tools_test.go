package wisteriawharf_test

import (
	"os/exec"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestGeneratedFrames guards against frames whose generated encoding was not
// committed after a change of the types.
func TestGeneratedFrames(t *testing.T) {
	before, err := exec.Command("git", "hash-object", "peer/frames_gen.go").Output()
	qt.Assert(t, err, qt.IsNil)
	out := t.TempDir() + "/frames_gen.go"
	text, err := exec.Command("go", "tool", "msgp", "-file", "peer/frames.go", "-o", out, "-tests=false").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", text))
	after, err := exec.Command("git", "hash-object", out).Output()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.TrimSpace(string(after)), qt.Equals, strings.TrimSpace(string(before)))
}
