package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/cost"
	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// TestCostKind guards against requests that are taken to cost alike although their route, account or
// size differs.
func TestCostKind(t *testing.T) {
	route := &routing.Route{Name: "r"}
	kinds := make(map[cost.Kind]bool)
	for _, c := range []*call{
		{route: route}, {route: &routing.Route{Name: "other"}}, {route: route, account: &routing.Account{Name: "a"}}, {route: route, body: make([]byte, 5000)},
	} {
		c.g = &Gateway{}
		kinds[c.dispatchRequest(&part{service: "s"}, dispatch.First).CostKind] = true
	}
	qt.Check(t, kinds, qt.HasLen, 4)
}
