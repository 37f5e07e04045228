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

// allServed sends a number of requests and reports whether all were served.
func (i *instance) allServed(requests int) bool {
	for range requests {
		if i.status("/r/x") != http.StatusOK {
			return false
		}
	}
	return true
}

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
				ledger := &site.Ledger{}
				searchers := d.startSearchers(ledger, time.Millisecond)
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
				for _, i := range d.instances {
					eventually(t, i.settings.Name+" goes on to use searchers that drain", func() bool {
						before := ledger.Arrivals()
						return i.allServed(20) && ledger.Arrivals() == before
					})
				}
				for _, s := range searchers {
					s.Stop()
				}
				for _, i := range d.instances {
					qt.Assert(t, i.allServed(10), qt.IsTrue, qt.Commentf("%s", i.settings.Name))
				}
			})
		}
	}
}
