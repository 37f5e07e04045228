package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/placement"
	"github.com/wisteriawharf/wisteriawharf/routing"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// TestExplainedPlacementIsTheChoice guards against an explanation that names another searcher than the one that
// gets the request, gives no reason for one that does not, sends something, or contains a key.
func TestExplainedPlacementIsTheChoice(t *testing.T) {
	h := newHarness(t, "one")
	h.configure(1, routing.Route{Targets: oneTarget})
	config := h.gateway.RoutingConfig()
	config.Accounts = routing.NewAccounts()
	config.Accounts.Add(routing.Account{Name: "acme", Quota: routing.Quota{PerSecond: 7, Burst: 3}}, []string{"secret-key"})
	h.gateway.SetRoutingConfig(config)
	h.putSearcher(h.searchers["one"][1], true)
	h.dispatcher.SetDomainOut("c", true)
	q := placement.Query{Host: "a.example", Path: "/r/x", Account: "acme", Size: 100}
	answer := h.gateway.Explain(q)
	qt.Assert(t, h.ledger.Arrivals(), qt.Equals, 0)
	one := answer.Services[0]
	qt.Assert(t, one.Chosen, qt.Equals, "one-a")
	qt.Assert(t, *answer.Account, qt.Equals, placement.Account{Name: "acme", QuotaPerSecond: 7, QuotaBurst: 3})
	reasons := map[string]string{}
	for _, s := range one.Searchers {
		reasons[s.ID] = s.Excluded
		qt.Check(t, s.Eligible, qt.Equals, s.Excluded == "")
		qt.Check(t, s.ExpectedCostMs > 0, qt.IsTrue)
	}
	qt.Assert(t, reasons, qt.DeepEquals, map[string]string{"one-a": "", "one-b": "it drains", "one-c": "its failure domain is out of service"})
	var text strings.Builder
	qt.Assert(t, answer.Write(&text), qt.IsNil)
	encoded, err := json.Marshal(answer)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(text.String()+string(encoded), "secret-key"), qt.IsFalse)

	for _, refused := range []placement.Query{{Host: "a.example", Path: "/r/x"}, {Host: "a.example", Path: "/r/x", Account: "none"}, {Host: "b.example", Path: "/r/x"}, {Host: "a.example", Path: "/r/x", Account: "acme", Size: 1 << 30}} {
		a := h.gateway.Explain(refused)
		qt.Check(t, a.Refused, qt.Not(qt.Equals), "", qt.Commentf("%+v", refused))
		qt.Check(t, a.Services, qt.HasLen, 0)
	}

	config.Accounts = nil
	h.setFaults("one", site.SearcherFaults{})
	h.gateway.SetRoutingConfig(config)
	qt.Assert(t, h.do(t, "GET", "/r/x", "", 0).status, qt.Equals, http.StatusOK)
	qt.Assert(t, h.ledger.Runs()[0].Searcher, qt.Equals, one.Chosen)
	h.dispatcher.SetDomainOut("a", true)
	qt.Assert(t, h.gateway.Explain(placement.Query{Host: "a.example", Path: "/r/x"}).Services[0].NotSent, qt.Equals, "no usable searcher")
}
