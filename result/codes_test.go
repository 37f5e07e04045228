package result

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPage guards against a code that docs/codes.md does not explain, or
// explains under another text.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../docs/codes.md")
	qt.Assert(t, err, qt.IsNil)
	got := make(map[string]string)
	row := regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \| (yes|no|unknown|as stated) \| [^|]+\. \|$`)
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		_, twice := got[m[1]]
		qt.Check(t, twice, qt.IsFalse, qt.Commentf("code %s stands twice", m[1]))
		got[m[1]] = m[2]
	}
	want := make(map[string]string)
	for _, c := range Codes() {
		want[fmt.Sprint(uint16(c))] = c.String()
	}
	qt.Assert(t, got, qt.DeepEquals, want)
}
