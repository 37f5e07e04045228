package broker

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// TestOwnedFollowsView guards against owners that are kept although the members
// of a record, an adoption or the settings changed.
func TestOwnedFollowsView(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	view := &control.View{Settings: placements(random), Records: make(map[string]*control.Record)}
	owned := newOwned("m0")
	for step := range 2000 {
		domain := fmt.Sprintf("d%d", random.IntN(3))
		switch random.IntN(8) {
		case 0:
			view.Settings = placements(random)
		case 1:
			delete(view.Records, domain)
		case 2, 3:
			if r := view.Records[domain]; r != nil {
				renewed := *r
				view.Records[domain] = &renewed
			}
		default:
			view.Records[domain] = membersOf(random)
		}
		want := make(map[string]settings.Placement)
		for id, p := range view.Settings.Searchers {
			if m, ok := assign.OwnerByRecord(view.Records, p.FailureDomain, id); ok && m.ID == "m0" {
				want[id] = p
			}
		}
		qt.Assert(t, owned.update(view), qt.DeepEquals, want, qt.Commentf("step %d", step))
	}
}

func placements(random *rand.Rand) *settings.Set {
	service := &settings.Service{Name: "s"}
	for i := range 12 {
		service.Searchers = append(service.Searchers, settings.Searcher{
			ID: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1+random.IntN(9)), FailureDomain: fmt.Sprintf("d%d", random.IntN(3)),
		})
	}
	return settings.NewSet([]*settings.Service{service})
}

// membersOf returns a record of some of four brokers, each at home or an adopter.
func membersOf(random *rand.Rand) *control.Record {
	r := &control.Record{}
	for i := range 4 {
		if random.IntN(2) == 0 {
			r.Members = append(r.Members, control.Member{ID: fmt.Sprintf("m%d", i), Domain: []string{"", "elsewhere"}[random.IntN(2)]})
		}
	}
	return r
}
