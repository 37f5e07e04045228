package entry

import (
	"maps"
	"math/rand"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
)

// TestPlanFollowsChanges guards against a plan that is kept although something
// that it was made from changed, and against holders of searchers that are not
// followed: every plan equals one made anew.
func TestPlanFollowsChanges(t *testing.T) {
	f := newFleet(4)
	random := rand.New(rand.NewSource(1))
	hows := []string{"renewal", "members", "order", "back", "direct", "suspicion", "trust", "settings", "forgotten", "drain", "lose", "disown", "report", "unlist"}
	for step := range 600 {
		how := hows[random.Intn(len(hows))]
		p := f.table.plan(f.service)
		switch {
		case len(p.replicas) == 0:
			f.report()
		case how == "suspicion" || how == "trust":
			f.suspect(p.replicas[random.Intn(len(p.replicas))].broker.member.ID, how == "suspicion")
		case how == "drain":
			r := p.replicas[random.Intn(len(p.replicas))]
			state := r.searcher.state
			state.Draining = !state.Draining
			f.table.reportPart(r, state, 0)
		case how == "lose":
			f.table.lose(p.replicas[random.Intn(len(p.replicas))].broker.member.ID)
		case how == "disown":
			f.table.disown(p.replicas[random.Intn(len(p.replicas))])
		case how == "report":
			r := p.replicas[random.Intn(len(p.replicas))]
			// Another broker reports the searcher too, as in a handover.
			f.table.report(f.view.Records["d1"].Members[random.Intn(3)], &peer.Status{Searchers: []peer.SearcherState{r.searcher.state}}, 0)
		case how == "unlist":
			f.table.report(p.replicas[random.Intn(len(p.replicas))].broker.member, &peer.Status{}, 0)
		default:
			f.change(how)
		}
		anew := newTable(nil, f.table.view)
		anew.brokers = f.table.brokers
		for _, b := range anew.brokers {
			for id := range b.searchers {
				anew.holders[id] = append(anew.holders[id], b)
			}
		}
		got, want := f.table.plan(f.service), anew.plan(f.service)
		qt.Assert(t, slices.Equal(got.replicas, want.replicas), qt.IsTrue, qt.Commentf("step %d: %s", step, how))
		qt.Assert(t, reflect.DeepEqual(got.layouts, want.layouts), qt.IsTrue, qt.Commentf("step %d: %s", step, how))
	}
}

// suspect replaces the roster of a domain by one with or without a suspicion.
func (f *fleet) suspect(broker string, suspected bool) {
	next := *f.view
	state := control.Live
	if suspected {
		state = control.Suspected
	}
	next.Rosters = map[string]*control.Roster{"d0": {Instances: []control.Instance{{ID: broker, State: state}}}}
	f.view = &next
}

// TestPlansOfOtherServicesAreKept guards against all plans being made again
// after a change that concerns none of their searchers.
func TestPlansOfOtherServicesAreKept(t *testing.T) {
	f := newFleet(4)
	kept := f.table.plan(f.service)
	f.change("renewal")
	next := *f.view
	next.Records = maps.Clone(f.view.Records)
	next.Records["d9"] = fleetRecord(9, 2)
	next.Rosters = map[string]*control.Roster{"d1": {Coordinator: "broker-d1-000"}}
	f.view = &next
	f.table.report(control.Member{ID: "broker-d9-001"}, &peer.Status{Searchers: []peer.SearcherState{{Searcher: "of another service"}}}, 0)
	qt.Assert(t, f.table.plan(f.service) == kept, qt.IsTrue)
	f.table.lose(kept.replicas[0].broker.member.ID)
	qt.Assert(t, f.table.plan(f.service) == kept, qt.IsFalse)
}
