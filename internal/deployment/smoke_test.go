package deployment

import (
	"net/http"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestWholePath guards against programs that do not work together: a search
// goes from a caller's address through an entry and brokers to searchers.
func TestWholePath(t *testing.T) {
	c := qt.New(t)
	root, err := filepath.Abs("../..")
	c.Assert(err, qt.IsNil)
	d, err := Start(Config{
		Binaries: filepath.Join(root, "bin"), Services: filepath.Join(root, "examples/brac"),
		Dir: c.TempDir(), Domains: []string{"split", "trogir", "brac"}, PerDomain: 2,
	})
	c.Assert(err, qt.IsNil)
	defer d.Kill()
	began := time.Now()
	var answer []byte
	c.Assert(Until(20*time.Second, func() (err error) {
		answer, err = call(http.MethodPost, "http://"+d.Instances[0].EntryAddress()+"/v1/search/restoration-desk",
			map[string]any{"query": "grey, riven", "deadline_ms": 1000})
		return err
	}), qt.IsNil)
	t.Logf("after %s: %s", time.Since(began), answer)
	c.Assert(Until(20*time.Second, func() (err error) {
		answer, err = call(http.MethodPost, "http://"+d.Instances[1].EntryAddress()+"/v1/book/order-booking",
			map[string]any{"item": "20 slates", "deadline_ms": 1000})
		return err
	}), qt.IsNil)
	t.Logf("after %s: %s", time.Since(began), answer)
	text, err := d.Wharfctl("status")
	t.Logf("%s %v", text, err)
	c.Assert(d.Stop(), qt.IsNil)
}
