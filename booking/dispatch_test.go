package booking

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// TestOtherOwnerIsAskedNext guards against a booking that uses up its attempts
// at the searchers of one owner that has no right to dispatch.
func TestOtherOwnerIsAskedNext(t *testing.T) {
	record := func(id string) *control.Record { return &control.Record{Members: []control.Member{{ID: id}}} }
	view := &control.View{Records: map[string]*control.Record{"suva": record("b1"), "nadi": record("b2")}}
	suva := []settings.Searcher{{ID: "s1", FailureDomain: "suva"}, {ID: "s2", FailureDomain: "suva"}}
	nadi := settings.Searcher{ID: "n1", FailureDomain: "nadi"}
	c := qt.New(t)
	c.Assert(elsewhere(view, suva[0], []settings.Searcher{suva[1], nadi}), qt.DeepEquals, []settings.Searcher{nadi})
	c.Assert(elsewhere(view, suva[0], suva[1:]), qt.DeepEquals, suva[1:])
}
