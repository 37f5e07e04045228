package entry

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	fleetDomains = 28
	fleetMembers = 75
)

// fleet is a service with three searchers for each shard in a fleet of 28
// failure domains of 75 brokers, which report their searchers.
type fleet struct {
	view    *control.View
	service *settings.Service
	table   *table
}

func newFleet(shards int) *fleet {
	f := &fleet{view: &control.View{Records: make(map[string]*control.Record)}}
	f.table = newTable(rand.New(rand.NewSource(1)), func() *control.View { return f.view })
	for d := range fleetDomains {
		f.view.Records[fmt.Sprintf("d%d", d)] = fleetRecord(d, fleetMembers)
	}
	f.service = fleetService(shards)
	f.view.Settings = settings.NewSet([]*settings.Service{f.service})
	f.report()
	return f
}

func fleetService(shards int) *settings.Service {
	s := &settings.Service{Name: "s", Kind: settings.KindSearch}
	for i := range shards {
		index := settings.Index{Name: "ix", Shard: uint32(i)}
		for j := range 3 {
			index.Searchers = append(index.Searchers, settings.Searcher{
				ID: fmt.Sprintf("searcher-%04d-%d", i, j), Address: "127.0.0.1:1", FailureDomain: fmt.Sprintf("d%d", j),
			})
		}
		s.Indexes = append(s.Indexes, index)
	}
	return s
}

func fleetRecord(domain, members int) *control.Record {
	r := &control.Record{}
	for i := range members {
		r.Members = append(r.Members, control.Member{ID: fmt.Sprintf("broker-d%d-%03d", domain, i)})
	}
	return r
}

// report sends the status of each broker with the searchers that it owns.
func (f *fleet) report() {
	statuses := make(map[string]*peer.Status)
	for _, index := range f.service.Indexes {
		for _, u := range index.Searchers {
			owner, _ := assign.OwnerByRecord(f.view.Records, u.FailureDomain, u.ID)
			if statuses[owner.ID] == nil {
				statuses[owner.ID] = &peer.Status{Broker: owner.ID}
			}
			statuses[owner.ID].Searchers = append(statuses[owner.ID].Searchers, peer.SearcherState{
				Searcher: u.ID, Free: 3, Usable: true, Snapshots: []peer.HeldSnapshot{{
					Index: index.Name, ID: "s7", Number: 7, ShardsTotal: uint32(len(f.service.Indexes)), Shards: []uint32{index.Shard},
				}},
			})
		}
	}
	for _, r := range f.view.Records {
		for _, m := range r.Members {
			if statuses[m.ID] == nil {
				statuses[m.ID] = &peer.Status{Broker: m.ID}
			}
			f.table.report(m, statuses[m.ID], 0)
		}
	}
}

// change replaces the view by one that differs as said.
func (f *fleet) change(how string) {
	next := *f.view
	next.Records = maps.Clone(f.view.Records)
	next.Recorded = maps.Clone(f.view.Recorded)
	switch how {
	case "renewal":
		renewed := *next.Records["d0"]
		next.Records["d0"] = &renewed
	case "members":
		// One more broker, which reports no searchers yet, and back.
		next.Records["d0"] = fleetRecord(0, fleetMembers+len(next.Records["d0"].Members)%2)
	case "order":
		next.Recorded = map[string]*control.RecordedOrder{"domain/d2": {Order: control.Order{Out: true}}}
	case "back":
		next.Recorded = nil
		next.Direct = nil
	case "direct":
		next.Direct = []control.Order{{Kind: control.OrderUpstream, Name: "searcher-0002-1", Out: true}}
	case "forgotten":
		if _, known := next.Records["d2"]; known {
			delete(next.Records, "d2")
		} else {
			next.Records["d2"] = fleetRecord(2, fleetMembers)
		}
	case "settings":
		f.service = fleetService(len(f.service.Indexes))
		next.Settings = settings.NewSet([]*settings.Service{f.service})
	}
	f.view = &next
}

// BenchmarkGather measures how long the making of a plan locks the table, with
// all owners reporting and with those of a third of the searchers lost.
func BenchmarkGather(b *testing.B) {
	for _, lost := range []bool{false, true} {
		for _, shards := range []int{48, 160, 480} {
			b.Run(fmt.Sprintf("lost=%t/shards=%d", lost, shards), func(b *testing.B) {
				f := newFleet(shards)
				f.table.plan(f.service)
				for _, m := range f.view.Records["d0"].Members {
					if lost {
						f.table.lose(m.ID)
					}
				}
				places := f.table.builders["s"].places(f.service, f.table.basis)
				for b.Loop() {
					f.table.gather(&plan{}, f.service, places, nil)
				}
			})
		}
	}
}

// BenchmarkPlan takes the plan of a service after one change of the view.
func BenchmarkPlan(b *testing.B) {
	for _, how := range []string{"renewal", "members", "order", "settings"} {
		for _, shards := range []int{48, 160, 480} {
			b.Run(fmt.Sprintf("%s/shards=%d", how, shards), func(b *testing.B) {
				f := newFleet(shards)
				f.table.plan(f.service)
				for b.Loop() {
					b.StopTimer()
					f.change(how)
					b.StartTimer()
					f.table.plan(f.service)
				}
			})
		}
	}
}
