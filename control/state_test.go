package control

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReconciledOrderIsDropped guards against direct orders that stay in every
// summary after they were recorded, or that an exchange brings back.
func TestReconciledOrderIsDropped(t *testing.T) {
	c := qt.New(t)
	s := NewState()
	offer := func(name string, major uint64, value any) bool {
		encoded, err := json.Marshal(value)
		c.Assert(err, qt.IsNil)
		taken, err := s.Offer(Item{Name: name, Major: major, Value: encoded})
		c.Assert(err, qt.IsNil)
		return taken
	}
	first := Order{Kind: OrderDomain, Name: "x", Out: true, ChangeID: "c1"}
	second := Order{Kind: OrderDomain, Name: "x", ChangeID: "c2"}
	c.Assert(offer(DirectName(first), 1, first), qt.IsTrue)
	c.Assert(offer(DirectName(second), 1, second), qt.IsTrue)
	c.Assert(offer(OrderName(OrderDomain, "x"), 1, RecordedOrder{Sequence: 1, Order: first}), qt.IsTrue)
	c.Assert(s.View().Direct, qt.DeepEquals, []Order{second})
	_, ok := s.Item(DirectName(first))
	c.Assert(ok, qt.IsFalse)
	c.Assert(offer(DirectName(first), 2, first), qt.IsFalse)
	_, wanted := s.Compare([]Item{{Name: DirectName(first), Major: 1}, {Name: DirectName(second), Major: 2}})
	c.Assert(wanted, qt.DeepEquals, []string{DirectName(second)})
	c.Assert(s.View().Out(OrderDomain, "x"), qt.IsTrue)
}
