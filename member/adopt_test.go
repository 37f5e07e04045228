package member

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// watchGrants reports searchers that two processes may use beyond the limits.
// Processes that were stopped are asked too: their leases run on. The first of
// two is asked again after the second, so that a handover between the questions
// is not taken for a double grant.
func (c *cluster) watchGrants(processes ...*process) (stop func() []string) {
	limits := settings.Limits{Slots: 3, Connections: 9, Cold: settings.Cold{Allowance: 1}}
	end := make(chan struct{})
	found := make(chan []string, 1)
	go func() {
		var double []string
		for {
			for _, s := range testSearchers {
				for _, p := range processes {
					for _, q := range processes {
						before := p.Grant(s).Slots(limits)
						other := q.Grant(s).Slots(limits)
						if p != q && min(before, p.Grant(s).Slots(limits))+other > limits.Slots {
							double = append(double, s+" by "+p.config.Self.ID+" and "+q.config.Self.ID)
						}
					}
				}
			}
			select {
			case <-end:
				found <- double
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	return func() []string {
		close(end)
		return <-found
	}
}

// TestAdoption guards against searchers that have no owner after all brokers of
// their domain died, that are granted twice meanwhile, or that do not return by
// release to a broker of the domain.
func TestAdoption(t *testing.T) {
	c := newCluster(t)
	c.store.publish(c.C, 1)
	home := c.brokers("a", "b")
	adopters := []*process{c.start("k", "y", control.RoleBroker), c.start("l", "y", control.RoleBroker), c.start("m", "z", control.RoleBroker)}
	held := func(processes ...*process) int {
		n := 0
		for _, p := range processes {
			n += p.grants(full)
		}
		return n
	}
	c.eventually("others known in the domain", func() bool {
		record := home[0].state.View().Records["x"]
		return held(home...) == len(testSearchers) && len(record.Confirmers) == 5 && len(record.Former) == 0
	})
	first := c.watchGrants(append(home, adopters...)...)
	home[0].stop()
	home[1].stop()
	c.eventually("adopted", func() bool { return held(adopters...) == len(testSearchers) })
	c.Assert(first(), qt.HasLen, 0)
	record := adopters[0].state.View().Records["x"]
	c.Assert(record.Adopted(), qt.IsTrue)
	c.Assert(slices.ContainsFunc(record.Members, func(m control.Member) bool { return m.Domain != record.Members[0].Domain }), qt.IsFalse)
	back := c.start("a2", "x", control.RoleBroker)
	second := c.watchGrants(append(adopters, back)...)
	c.eventually("returned", func() bool { return back.grants(full) == len(testSearchers) })
	c.eventually("adopters left", func() bool {
		members := back.state.View().Records["x"].Members
		return len(members) == 1 && members[0].ID == "a2"
	})
	c.Assert(second(), qt.HasLen, 0)
	c.Assert(held(adopters...), qt.Equals, 0)
	c.Assert(back.holder.takenCount(), qt.Equals, len(testSearchers))
	back.stop()
	c.eventually("adopted again", func() bool { return held(adopters...) == len(testSearchers) })
}

// TestAdoptionWait guards against adopting a domain that has only just been
// seen, that could not renew because the platform was away, or that is out of
// service, and against adoption by a domain that is lost or out of service.
func TestAdoptionWait(t *testing.T) {
	c := qt.New(t)
	manual := &clock.Manual{}
	m, err := New(Config{
		Self:  control.Instance{ID: "k", FailureDomain: "y", Role: control.RoleBroker},
		State: control.NewState(), Store: newStore(), Clock: manual,
		Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(), Timing: testTiming(),
	})
	c.Assert(err, qt.IsNil)
	wait := m.config.Timing.Lease + m.config.Timing.Removal
	view := &control.View{Records: map[string]*control.Record{}, Settings: &settings.Set{
		Searchers: map[string]settings.Placement{"s": {Searcher: settings.Searcher{ID: "s", FailureDomain: "x"}}},
	}}
	after := func(d time.Duration, reachable bool) bool {
		manual.Advance(d)
		m.contact.note(reachable, manual.Boottime(), 0)
		m.followRenewals(view)
		return m.isAdopter(view, "x")
	}
	c.Assert(after(wait, true), qt.IsFalse)
	c.Assert(after(wait-1, true), qt.IsFalse)
	c.Assert(after(1, true), qt.IsTrue)
	c.Assert(after(wait, false), qt.IsFalse)
	c.Assert(after(wait-1, true), qt.IsFalse)
	view.Records["x"] = &control.Record{Renewal: 1}
	c.Assert(after(1, true), qt.IsFalse)
	c.Assert(after(wait, true), qt.IsTrue)
	order := func(domain string, out bool) *control.RecordedOrder {
		return &control.RecordedOrder{Order: control.Order{Kind: control.OrderDomain, Name: domain, Out: out}}
	}
	view.Recorded = map[string]*control.RecordedOrder{"domain/x": order("x", true)}
	c.Assert(m.isAdopter(view, "x"), qt.IsFalse)
	view.Recorded["domain/x"] = order("x", false)
	c.Assert(m.isAdopter(view, "x"), qt.IsTrue)
	// A domain that is itself lost does not adopt, one that is alive may come first.
	for _, other := range []string{"v", "w", "z"} {
		view.Records[other] = &control.Record{Renewal: 1, Members: []control.Member{{ID: other}}}
	}
	after(0, true)
	c.Assert(m.isAdopter(view, "x"), qt.Equals, assign.Rank([]string{"v", "w", "y", "z"}, "x")[0] == "y")
	for _, other := range []string{"v", "w", "z"} {
		view.Recorded["domain/"+other] = order(other, true)
	}
	c.Assert(m.isAdopter(view, "x"), qt.IsTrue)
	view.Recorded["domain/y"] = order("y", true)
	c.Assert(m.isAdopter(view, "x"), qt.Equals, assign.Rank([]string{"v", "w", "y", "z"}, "x")[0] == "y")
	c.Assert(after(wait, true), qt.IsTrue)
}
