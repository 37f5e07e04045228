package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// TestLargestStateFitsBudget guards against an instance that can't fetch the state of the largest
// deployment from another one, although nothing else needs memory.
func TestLargestStateFitsBudget(t *testing.T) {
	const searchers, entryBytes, processBytes = 95_000, 280, 284_000_000
	d := mirror.Delta{Full: true}
	for i := range searchers {
		spec := json.RawMessage(`{"a":"` + strings.Repeat("x", entryBytes) + `"}`)
		d.Objects = append(d.Objects, platform.StoredObject{Name: fmt.Sprintf("searcher-%06d", i), Spec: spec})
	}
	text, err := json.Marshal(d)
	qt.Assert(t, err, qt.IsNil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(text) }))
	defer server.Close()
	x := &Exchange{client: &http.Client{}}
	var got mirror.Delta
	err = x.get(context.Background(), strings.TrimPrefix(server.URL, "http://"), "/", time.Minute, &got, memory.ProcessBudget(processBytes).Hold())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Objects, qt.HasLen, searchers)
}
