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

// TestRenewalsAreNotExchanged guards against the renewal of leases, which every
// record sees every two seconds, being sent to processes that do not need it.
func TestRenewalsAreNotExchanged(t *testing.T) {
	c := qt.New(t)
	offer := func(s *State, minor uint64, r Record) {
		value, err := json.Marshal(r)
		c.Assert(err, qt.IsNil)
		taken, err := s.Offer(Item{Name: PrefixDomain + "split", Major: r.Epoch, Minor: minor, Value: value})
		c.Assert(err, qt.IsNil)
		c.Assert(taken, qt.IsTrue)
	}
	here, there := NewState(), NewState()
	offer(here, 7, Record{Epoch: 1, Renewal: 1, Change: 1})
	offer(there, 9, Record{Epoch: 1, Renewal: 3, Change: 1})
	newer, wanted := here.Compare(there.Summary())
	c.Assert(newer, qt.HasLen, 0)
	c.Assert(wanted, qt.HasLen, 0)

	offer(there, 11, Record{Epoch: 1, Renewal: 4, Change: 2})
	_, wanted = here.Compare(there.Summary())
	c.Assert(wanted, qt.DeepEquals, []string{PrefixDomain + "split"})
	newer, _ = there.Compare(here.Summary())
	c.Assert(newer, qt.HasLen, 1)
}
