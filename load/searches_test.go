package load

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/standin"
)

// TestSearchFacts guards against refusals and partial answers that pass although
// the searchers ran something else.
func TestSearchFacts(t *testing.T) {
	runs := func(started, answered int) []standin.SearchRun {
		return []standin.SearchRun{{Snapshot: "s1", Shard: 0, Started: 1, Answered: 1},
			{Snapshot: "s1", Shard: 1, Started: started, Answered: answered}}
	}
	partial := func(code int) answer { return search(2, 1, fmt.Sprintf(`{"shard":1,"code":%d}`, code), part(0)) }
	refusal := func(run string, answered int, missing string) answer {
		return answer{http.StatusServiceUnavailable, fmt.Appendf(nil, `{"code":2202,"message":"m","run":%q,"request_id":"r","snapshot":"s1",
			"coverage":{"asked":2,"answered":%d,"missing":[%s]}}`, run, answered, missing)}
	}
	const neither = `{"shard":0,"code":2101},{"shard":1,"code":2101}`
	for name, test := range map[string]struct {
		got         answer
		ran         []standin.SearchRun
		run         findings
		badCoverage int
	}{
		"late":              {partial(2103), runs(1, 1), findings{}, 0},
		"no replica":        {partial(2101), runs(0, 0), findings{}, 0},
		"replica was used":  {partial(2101), runs(1, 0), findings{}, 1},
		"nothing answered":  {partial(2103), runs(1, 0)[1:], findings{}, 1},
		"other snapshot":    {partial(2103), []standin.SearchRun{{Snapshot: "s2", Started: 1, Answered: 1}}, findings{}, 1},
		"not run":           {refusal("no", 0, neither), nil, findings{}, 0},
		"ran all the same":  {refusal("no", 0, `{"shard":0,"code":2102},{"shard":1,"code":2102}`), runs(0, 0), findings{falseRefusals: 1}, 0},
		"ran":               {refusal("yes", 1, `{"shard":1,"code":2101}`), runs(0, 0), findings{}, 0},
		"did not run":       {refusal("yes", 0, neither), nil, findings{falseRefusals: 1}, 0},
		"unknown":           {refusal("unknown", 0, neither), nil, findings{}, 0},
		"refused, hides":    {refusal("yes", 2, ""), runs(1, 0), findings{}, 1},
		"refused, miscount": {refusal("yes", 0, `{"shard":1,"code":2103}`), runs(1, 0), findings{}, 1},
		"refused, twice":    {refusal("yes", 0, `{"shard":1,"code":2103},{"shard":1,"code":2103}`), runs(1, 0), findings{}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l, r := newSearchLedger(), newRecorder(Config{})
			s := sample{verdict: checkSearch(test.got, "q")}
			r.add(s)
			l.add("q", s, claimOf(test.got))
			l.check(map[string][]standin.SearchRun{"q": test.ran}, r)
			test.run.searchesChecked = 1
			qt.Assert(t, r.found, qt.Equals, test.run)
			qt.Assert(t, r.coverageBad, qt.Equals, test.badCoverage)
		})
	}
}
