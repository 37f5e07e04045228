package member

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/control"
)

// TestDirectOrder guards against an order that is lost while the platform is
// away, or that is recorded twice after a lost reply.
func TestDirectOrder(t *testing.T) {
	c := newCluster(t)
	c.store.publish(c.C, 1)
	started := c.brokers("a", "b")
	c.store.set(func(s *store) { s.away = true })
	order := control.Order{Kind: control.OrderDomain, Name: "y", Out: true, Author: "op", ChangeID: "c1", Time: time.Unix(1, 0).UTC()}
	value, err := json.Marshal(order)
	c.Assert(err, qt.IsNil)
	_, err = started[1].state.Offer(control.Item{Name: control.DirectName(order), Major: 1, Value: value})
	c.Assert(err, qt.IsNil)
	c.eventually("spread", func() bool { return started[0].state.View().Out(control.OrderDomain, "y") })
	c.store.set(func(s *store) { s.away, s.lose = false, 1 })
	c.eventually("recorded", func() bool {
		recorded := started[1].state.View().Recorded["domain/y"]
		return recorded != nil && recorded.Order.Author == "op" && len(started[1].state.View().Direct) == 0
	})
	c.store.set(func(s *store) { c.Assert(s.writes["orders/domain/y"], qt.Equals, 1) })
}

// TestReconcileOutWins guards against a direct "back" that overrides an "out"
// which its author did not know.
func TestReconcileOutWins(t *testing.T) {
	c := qt.New(t)
	out := control.Order{Out: true, ChangeID: "out"}
	recorded := control.RecordedOrder{Sequence: 4, Order: out}
	blind := reconcile(recorded, true, control.Order{ChangeID: "back"})
	c.Assert(blind.Order.Out, qt.IsTrue)
	c.Assert(blind.Holds("back"), qt.IsTrue)
	knowing := reconcile(recorded, true, control.Order{ChangeID: "back", Supersedes: []string{"out"}})
	c.Assert(knowing.Order.Out, qt.IsFalse)
	c.Assert(knowing.Sequence, qt.Equals, uint64(5))
	late := reconcile(control.RecordedOrder{Order: knowing.Order}, true, out)
	c.Assert(late.Order.Out, qt.IsFalse)
}

// TestReconcileKeepsNewerOrder guards against an order that comes late and
// replaces one that was given after it.
func TestReconcileKeepsNewerOrder(t *testing.T) {
	c := qt.New(t)
	at := func(seconds int64, id string, out bool) control.Order {
		return control.Order{Time: time.Unix(seconds, 0), ChangeID: id, Out: out}
	}
	recorded := control.RecordedOrder{Sequence: 4, Order: at(2, "back", false)}
	older := reconcile(recorded, true, at(1, "out", true))
	c.Assert(older.Order.ChangeID, qt.Equals, "back")
	c.Assert(older.Holds("out"), qt.IsTrue)
	c.Assert(reconcile(recorded, true, at(3, "out", true)).Order.Out, qt.IsTrue)
	c.Assert(reconcile(recorded, true, at(2, "out", true)).Order.Out, qt.IsTrue)
}
