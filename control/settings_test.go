package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/settings"
)

// revision returns a revision of one service with the part that holds it.
func revision(c *qt.C, number uint64, deadline string) (Item, settings.Part) {
	part, err := settings.Pack(fmt.Sprintf("service: book\nkind: booking\ndeadline: %s\nlimits: {slots: 3, connections: 9}\nsearchers: [{id: b, address: 127.0.0.1:9201, failure_domain: x}]\n", deadline))
	c.Assert(err, qt.IsNil)
	value, err := settings.Revision{Number: number, Files: []settings.File{{Path: "book.yaml", Digest: part.Digest}}}.Encode()
	c.Assert(err, qt.IsNil)
	return Item{Name: ItemSettings, Major: number, Value: value}, part
}

// take offers a revision and checks whether it is taken.
func take(c *qt.C, s *State, item Item, want bool) {
	c.Helper()
	taken, err := s.TakeSettings(item)
	c.Assert(err, qt.IsNil)
	c.Assert(taken, qt.Equals, want)
}

// offered returns the number of the revision that other processes receive.
func offered(s *State) uint64 {
	item, _ := s.Item(ItemSettings)
	return item.Major
}

// TestIncompleteRevision guards against a revision that is in force or passed on
// without all its parts, and against one that waits for a parser before it is
// passed on.
func TestIncompleteRevision(t *testing.T) {
	c := qt.New(t)
	s := NewState()
	item, part := revision(c, 1, "1s")
	_, other := revision(c, 1, "2s")
	take(c, s, item, true)
	c.Assert(s.MissingParts(), qt.DeepEquals, []string{part.Digest})
	c.Assert(s.TakePart(other), qt.IsNil)
	c.Assert(s.TakePart(settings.Part{Digest: part.Digest, Packed: other.Packed}), qt.IsNotNil)
	c.Assert(s.Settle(), qt.IsNil)
	c.Assert(s.View().Revision, qt.Equals, uint64(0))
	c.Assert(offered(s), qt.Equals, uint64(0))
	c.Assert(s.Parts([]string{part.Digest, other.Digest}, 1<<20), qt.HasLen, 0)
	c.Assert(s.TakePart(part), qt.IsNil)
	c.Assert(offered(s), qt.Equals, uint64(1))
	c.Assert(s.Parts([]string{part.Digest}, 0), qt.DeepEquals, []settings.Part{part})
	c.Assert(s.View().Revision, qt.Equals, uint64(0))
	c.Assert(s.Settle(), qt.IsNil)
	c.Assert(s.View().Revision, qt.Equals, uint64(1))

	older, _ := revision(c, 2, "2s")
	newer, part := revision(c, 3, "3s")
	take(c, s, newer, true)
	take(c, s, older, false)
	c.Assert(s.TakePart(part), qt.IsNil)
	c.Assert(s.Settle(), qt.IsNil)
	take(c, s, older, false)
	c.Assert(s.View().Revision, qt.Equals, uint64(3))
	c.Assert(s.settings.parts, qt.HasLen, 1, qt.Commentf("parts that no revision needs"))
}

// TestInvalidRevision guards against a revision that is not valid and replaces
// the last good one, here or at a process that starts, or is received again with
// each exchange.
func TestInvalidRevision(t *testing.T) {
	c := qt.New(t)
	s := NewState()
	for number, deadline := range []string{1: "1s", 2: "0s", 3: "3s"} {
		if number == 0 {
			continue
		}
		item, part := revision(c, uint64(number), deadline)
		take(c, s, item, true)
		c.Assert(s.TakePart(part), qt.IsNil)
		if number != 2 {
			c.Assert(s.Settle(), qt.IsNil)
			c.Assert(s.View().Revision, qt.Equals, uint64(number))
			continue
		}
		c.Assert(s.Settle(), qt.ErrorMatches, `(?s).*book.yaml:3:11: deadline.*`)
		c.Assert(s.View().Revision, qt.Equals, uint64(1))
		c.Assert(offered(s), qt.Equals, uint64(1))
		_, wanted := s.Compare([]Item{item})
		c.Assert(wanted, qt.HasLen, 0)
		take(c, s, item, false)
	}
}
