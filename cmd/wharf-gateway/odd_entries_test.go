package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// oddEntries are contents of entries of searchers that no searcher writes.
var oddEntries = map[string]string{
	"deep":               strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
	"deep by a little":   strings.Repeat("[", 9996) + strings.Repeat("]", 9996),
	"deep field":         `{"backend":"one","x":` + strings.Repeat(`{"x":`, 20000) + "1" + strings.Repeat("}", 20000) + "}",
	"number too large":   `{"backend":"one","address":"127.0.0.1:1","zone":"a","slots":1e999999,"state":"ready","warmup_left_ms":0}`,
	"many slots":         `{"backend":"one","address":"127.0.0.1:1","zone":"a","slots":9223372036854775807,"state":"ready","warmup_left_ms":0}`,
	"fewer than no slot": `{"backend":"one","address":"127.0.0.1:1","zone":"a","slots":-9223372036854775808,"state":"ready","warmup_left_ms":0}`,
	"cold for ever":      `{"backend":"one","address":"127.0.0.1:1","zone":"a","slots":1,"state":"ready","warmup_left_ms":1e308}`,
	"born late":          `{"backend":"one","address":"127.0.0.1:1","zone":"a","slots":1,"state":"ready","warmup_left_ms":0,"born":99999999999999999999}`,
	"port out of range":  `{"backend":"one","address":"127.0.0.1:99999","zone":"a","slots":1,"state":"ready","warmup_left_ms":0}`,
	"no port":            `{"backend":"one","address":"127.0.0.1:0","zone":"a","slots":1,"state":"ready","warmup_left_ms":0}`,
	"two\r\nlines":       `{"backend":"one","address":"127.0.0.1:1","zone":"a","slots":1,"state":"ready","warmup_left_ms":0}`,
}

// followTime is the time within which all instances know that a searcher drains.
const followTime = 3 * time.Second

// TestOddEntryDoesNotStopFollowing guards against an instance that ends, or that no longer follows
// the searchers, because another writer left an odd entry among theirs. The entry comes before
// the start of the instances or while they run, from the store or from another instance.
func TestOddEntryDoesNotStopFollowing(t *testing.T) {
	for name, content := range oddEntries {
		for _, beforeStart := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				putOdd := func() { d.store.PutBytes("servers", name, []byte(content)) }
				if beforeStart {
					putOdd()
				}
				d.startInstance("a")
				b := d.startInstance("b")
				searchers := d.startSearchers(&site.Ledger{}, time.Millisecond)
				d.configure(1, "/r/")
				d.awaitServing("/r/x")
				b.storeRefuses.Store(true) // b learns what happens from a
				if !beforeStart {
					putOdd()
				}
				// Other searchers take the place of the first ones.
				d.startSearchersOf("one", "again", 4, &site.Ledger{}, time.Millisecond)
				for _, s := range searchers {
					d.store.Put("servers", s.ID, s.Entry("draining"))
				}
				time.Sleep(followTime)
				for _, s := range searchers {
					s.Stop()
				}
				for _, i := range d.instances {
					for range 10 {
						qt.Assert(t, i.status("/r/x"), qt.Equals, http.StatusOK, qt.Commentf("%s", i.settings.Name))
					}
				}
			})
		}
	}
}
