package member

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// TestRosterIsOfferedWhenDue guards against a suspicion or a leaving process
// that waits for the interval of rosters, against changes that are forgotten
// while they wait, and against a roster for every heartbeat or new revision.
func TestRosterIsOfferedWhenDue(t *testing.T) {
	c := qt.New(t)
	now := &clock.Manual{}
	now.Advance(1e12)
	state := control.NewState()
	offer := func(name string, major, minor uint64, value any) {
		text, err := json.Marshal(value)
		c.Assert(err, qt.IsNil)
		taken, err := state.Offer(control.Item{Name: name, Major: major, Minor: minor, Value: text})
		c.Assert(err, qt.IsNil)
		c.Assert(taken, qt.IsTrue)
	}
	offer("domain/x", 1, 1, control.Record{Epoch: 1, Coordinator: "a", Members: []control.Member{{ID: "a"}, {ID: "b"}}})
	m, err := New(Config{
		Self: control.Instance{ID: "a", Role: control.RoleBroker, FailureDomain: "x"}, State: state, Store: newStore(),
		Clock: now, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
	})
	c.Assert(err, qt.IsNil)
	m.home.observeRecord()
	beat := func(b peer.Heartbeat) {
		b.Domain, b.Record = "x", "x"
		c.Assert(m.home.takeHeartbeat(b), qt.IsTrue)
	}
	expect := func(what string, version uint64, b control.InstanceState) {
		c.Helper()
		item, _ := state.Item("roster/x")
		c.Assert(item.Minor, qt.Equals, version, qt.Commentf(what))
		listed := control.InstanceState("")
		for _, i := range state.View().Rosters["x"].Instances {
			if i.ID == "b" {
				listed = i.State
			}
		}
		c.Assert(listed, qt.Equals, b, qt.Commentf(what))
	}
	interval := m.config.Timing.Heartbeat
	beat(m.home.heartbeat())
	expect("the first is offered at once", 1, "")
	beat(peer.Heartbeat{ID: "b"})
	expect("a second change waits", 1, "")
	now.Advance(interval)
	beat(m.home.heartbeat())
	expect("and is offered after the interval", 2, control.Live)
	for i := range 5 {
		offer(control.ItemSettings, uint64(i+1), 0, settings.Revision{Number: uint64(i + 1)})
		now.Advance(interval)
		beat(m.home.heartbeat())
	}
	expect("heartbeats without a change, or after one of the settings, offer nothing", 2, control.Live)
	now.Advance(m.config.Timing.Silence)
	beat(peer.Heartbeat{ID: "a", CallerAddress: "127.0.0.1:1"})
	expect("another address", 3, control.Live)
	m.home.detectLost(context.Background())
	expect("a suspicion is offered at once", 4, control.Suspected)
	beat(peer.Heartbeat{ID: "b"})
	expect("its end too", 5, control.Live)
	beat(peer.Heartbeat{ID: "b", Leaving: true})
	expect("a leaving process too", 6, control.Leaving)
	offer("roster/x", 1, 7, control.Roster{Coordinator: "b"})
	now.Advance(interval)
	m.home.detectLost(context.Background())
	expect("the roster of another coordinator is replaced", 8, control.Leaving)
}
