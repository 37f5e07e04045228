package scenarios

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/internal/deployment"
)

var (
	commandLine = regexp.MustCompile(`(?m)^ *wharfctl (.+)$`)
	commandWord = regexp.MustCompile(`"[^"]*"|\S+`)
	inlineNamed = regexp.MustCompile("`wharfctl ([a-z][^`]*)`")
)

// documented returns the arguments of every wharfctl command that a page shows
// on a line of its own, in order, and of those that it names in a sentence.
func documented(c *qt.C, page string) (lines, inline [][]string) {
	text, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	split := func(pattern *regexp.Regexp) (all [][]string) {
		for _, found := range pattern.FindAllStringSubmatch(string(text), -1) {
			words := commandWord.FindAllString(found[1], -1)
			for i, w := range words {
				words[i] = strings.Trim(w, `"`)
			}
			all = append(all, words)
		}
		return all
	}
	return split(commandLine), split(inlineNamed)
}

// TestDocumentedCommands guards against commands on the page for operators that
// do not exist or fail. They run in the order of the page, with the names of the
// example brac; only what belongs to one deployment is replaced.
func TestDocumentedCommands(t *testing.T) {
	c := qt.New(t)
	t.Parallel()
	deployments <- struct{}{}
	defer func() { <-deployments }()
	d, err := deployment.Start(deployment.Config{
		Binaries: binaries, Services: filepath.Join(examples, "brac"), Dir: t.TempDir(),
		Domains: []string{"split", "trogir", "brac"}, PerDomain: 1, Operators: []string{"ana"}, Replace: relaxed,
	})
	c.Assert(err, qt.IsNil)
	defer d.Kill()
	c.Assert(replaceIn(filepath.Join(d.ServicesDir(), "dispatch.yaml"), "slots: 3", "slots: 4"), qt.IsNil)
	// The page publishes after a review of revision 41 and goes back to it.
	here := strings.NewReplacer("services/", d.ServicesDir(), "certs", filepath.Join(t.TempDir(), "certs"))
	lines, inline := documented(c, "../docs/operators.md")
	c.Assert(len(lines) > 10, qt.IsTrue, qt.Commentf("%q", lines))
	for _, args := range append(lines, []string{"log"}, []string{"show", "1"}, []string{"verify"}, []string{"completion"}) {
		for i, a := range args {
			if a = here.Replace(a); a == "41" {
				a = "1"
			}
			args[i] = a
		}
		out, err := d.Operate("ana", args...)
		c.Assert(err, qt.IsNil)
		c.Check(out.ExitCode, qt.Equals, 0, qt.Commentf("wharfctl %q\n%s%s", args, out.Stdout, out.Stderr))
	}
	for _, args := range inline {
		name := args[:1]
		if len(args) > 1 && args[1] == strings.ToLower(args[1]) && !strings.HasPrefix(args[1], "-") {
			name = args[:2]
		}
		out, err := d.Operate("ana", append(name, "--help")...)
		c.Assert(err, qt.IsNil)
		c.Check(out.ExitCode, qt.Equals, 0, qt.Commentf("wharfctl %q\n%s", args, out.Stderr))
	}
}
