package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/placement"
)

// TestPlacementAsksInstance guards against a query that drops a parameter, and output that leaves out the choice.
func TestPlacementAsksInstance(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if r.URL.Path != placement.Path || q.Get(placement.ParamHost) != "h" || q.Get(placement.ParamPath) != "/p?a=b" || q.Get(placement.ParamAccount) != "acme" || q.Get(placement.ParamSize) != "12" {
			http.Error(w, "wrong query", http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(placement.Answer{Instance: "front-1", Route: "r", Services: []placement.Service{
			{Name: "s", Chosen: "i-1", Searchers: []placement.Searcher{{ID: "i-1", Eligible: true, ExpectedCostMs: 4.5}, {ID: "i-2", Excluded: "it drains"}}},
		}})
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var out bytes.Buffer
	env := &environment{stdout: &out, stderr: &out}
	args := []string{"placement", "--instance", address, "--host", "h", "--path", "/p?a=b", "--account", "acme", "--size", "12"}
	qt.Assert(t, run(args, env), qt.Equals, exitOK, qt.Commentf("%s", &out))
	for _, want := range []string{"front-1", "s: i-1", "4.5", "it drains"} {
		qt.Check(t, out.String(), qt.Contains, want)
	}
	out.Reset()
	qt.Assert(t, run(append(args, "--json"), env), qt.Equals, exitOK)
	qt.Assert(t, out.String(), qt.Contains, `"chosen"`)
	qt.Assert(t, run([]string{"placement", "--instance", address, "--host", "x", "--path", "/p"}, env) != exitOK, qt.IsTrue)
}
