package main

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/placement"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestPlacementIsServed guards against an instance that does not answer where a request would go.
func TestPlacementIsServed(t *testing.T) {
	d := newDeployment(t)
	a := d.startInstance("a")
	d.startSearchers(&site.Ledger{}, 0)
	d.configure(1, "/r/")
	eventually(t, "the configuration is not in force", func() bool { return a.status("/r/x") == http.StatusOK })
	base := "http://" + internalPortAddress(a.settings, metricsPortOffset) + placement.Path
	response, err := http.Get(base + "?host=a.example&path=/r/x")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	var answer placement.Answer
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&answer), qt.IsNil)
	qt.Assert(t, answer.Instance, qt.Equals, a.settings.Name)
	qt.Assert(t, answer.Refused, qt.Equals, "")
	qt.Assert(t, answer.Services[0].Chosen, qt.Not(qt.Equals), "")
	response, err = http.Get(base + "?host=a.example")
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusBadRequest)
}
