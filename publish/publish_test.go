package publish

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const bookText = `service: book
kind: booking
deadline: 1s
limits: {slots: 3, connections: 30}
searchers:
  - {id: b, address: 127.0.0.1:9201, failure_domain: split}
`

func files(replace ...string) []settings.File {
	return []settings.File{{Path: "book.yaml", Text: strings.NewReplacer(replace...).Replace(bookText)}}
}

func request(t *testing.T, author string, f []settings.File) Request {
	t.Helper()
	id, err := NewChangeID()
	qt.Assert(t, err, qt.IsNil)
	return Request{Files: f, Author: author, Reason: "because " + author + " said so", ChangeID: id}
}

func publish(t *testing.T, s objectstore.Store, q Request) (Outcome, error) {
	t.Helper()
	return New(s, clock.System{}).Publish(context.Background(), q)
}

func mustPublish(t *testing.T, s objectstore.Store, f []settings.File) Outcome {
	t.Helper()
	o, err := publish(t, s, request(t, "ana", f))
	qt.Assert(t, err, qt.IsNil)
	return o
}

// TestPublishAndRollback guards against a history that does not chain, and
// against a publish without a change.
func TestPublishAndRollback(t *testing.T) {
	s := newStore()
	first := mustPublish(t, s, files())
	qt.Assert(t, first.Changes[0].Text, qt.Equals, "Service book is added: a booking with 1 searcher, deadline 1s.")
	_, err := publish(t, s, request(t, "ana", files()))
	qt.Assert(t, errors.Is(err, ErrNothingToDo), qt.IsTrue)
	mustPublish(t, s, files("1s", "2s"))
	o, err := New(s, clock.System{}).Rollback(context.Background(), 1, request(t, "ivo", nil))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o.Revision.Number, qt.Equals, uint64(3))
	qt.Assert(t, o.Changes, qt.DeepEquals, []Change{{"book", "In book, the deadline falls from 2s to 1s."}})
	_, err = New(s, clock.System{}).Rollback(context.Background(), 9, request(t, "ivo", nil))
	qt.Assert(t, result.From(err).Code, qt.Equals, result.NoRevision)
	v, err := History{s}.Verify(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v.Faults, qt.HasLen, 0)
	qt.Assert(t, v.Revisions, qt.Equals, 3)
}

// TestInvalidFilesAreNotWritten guards against a fault that reaches instances.
func TestInvalidFilesAreNotWritten(t *testing.T) {
	s := newStore()
	_, err := publish(t, s, request(t, "ana", files("slots: 3", "slots: 0")))
	_, ok := errors.AsType[*settings.InvalidError](err)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, s.objects, qt.HasLen, 0)
}

// TestRace guards against two winners, and a loser that is not told who won.
func TestRace(t *testing.T) {
	s := newStore()
	mustPublish(t, s, files())
	s.before = func(string) error {
		s.before = nil
		_, err := publish(t, s, request(t, "ivo", files("slots: 3", "slots: 4")))
		return err
	}
	_, err := publish(t, s, request(t, "ana", files("1s", "2s")))
	race, ok := errors.AsType[*RaceError](err)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, race.Winner.Author, qt.Equals, "ivo")
	qt.Assert(t, race.Changes, qt.DeepEquals, []Change{{"book", "In book, the number of slots of each searcher rises from 3 to 4."}})
	qt.Assert(t, err, qt.ErrorMatches, `4002 .* revision 2 by ivo, reason "because ivo said so"`)
	qt.Assert(t, s.names(prefix), qt.HasLen, 2)
}

// TestBase guards against a publish that reverts what others published after
// the review.
func TestBase(t *testing.T) {
	s := newStore()
	mustPublish(t, s, files())
	mustPublish(t, s, files("1s", "3s"))
	q := request(t, "ana", files("1s", "2s"))
	q.Base = 1
	_, err := publish(t, s, q)
	race, ok := errors.AsType[*RaceError](err)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, race.Winner.Number, qt.Equals, uint64(2))
	q.Base = 2
	_, err = publish(t, s, q)
	qt.Assert(t, err, qt.IsNil)
}

// TestLostReply guards against a second revision, or a false failure, when the
// write took effect and its reply was lost.
func TestLostReply(t *testing.T) {
	s := newStore()
	s.after = func(string) error { return errLost }
	o := mustPublish(t, s, files())
	qt.Assert(t, o.Revision.Number, qt.Equals, uint64(1))
	qt.Assert(t, s.names(prefix), qt.HasLen, 1)
}

// TestLostRequest guards against a publish that is given up although the write
// never took effect.
func TestLostRequest(t *testing.T) {
	s := newStore()
	s.before = func(string) error { s.before = nil; return errLost }
	mustPublish(t, s, files())
	qt.Assert(t, s.names(prefix), qt.HasLen, 1)
}

// TestUnknownOutcomeRepeated guards against a second revision when a publish of
// unknown outcome is repeated with its change identifier, also after another
// revision.
func TestUnknownOutcomeRepeated(t *testing.T) {
	s := newStore()
	mustPublish(t, s, files())
	q := request(t, "ana", files("1s", "2s"))
	s.after = func(string) error {
		s.get = func(string) error { return errLost }
		return errLost
	}
	_, err := publish(t, s, q)
	qt.Assert(t, errors.Is(err, ErrUnknown), qt.IsTrue, qt.Commentf("%v", err))
	s.after, s.get = nil, nil
	mustPublish(t, s, files("1s", "3s"))
	for range 2 {
		o, err := publish(t, s, q)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, o.Repeated, qt.IsTrue)
		qt.Assert(t, o.Revision.Number, qt.Equals, uint64(2))
	}
	qt.Assert(t, s.names(prefix), qt.HasLen, 3)
}

// TestLaggingList guards against a second revision of one publish when a
// reading of the platform does not show the first one yet.
func TestLaggingList(t *testing.T) {
	s := newStore()
	mustPublish(t, s, files())
	q := request(t, "ana", files("1s", "2s"))
	_, err := publish(t, s, q)
	qt.Assert(t, err, qt.IsNil)
	s.hidden = ObjectName(2)
	o, err := publish(t, s, q)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, o.Revision.Number, qt.Equals, uint64(2))
	qt.Assert(t, s.names(prefix), qt.HasLen, 2)
}

// TestUnavailable guards against an unknown outcome being reported for a write
// that was never sent.
func TestUnavailable(t *testing.T) {
	s := newStore()
	s.before = func(string) error { return objectstore.ErrUnavailable }
	_, err := publish(t, s, request(t, "ana", files()))
	qt.Assert(t, errors.Is(err, objectstore.ErrUnavailable), qt.IsTrue)
	qt.Assert(t, errors.Is(err, ErrUnknown), qt.IsFalse)
}

// TestPartsFirst guards against a revision that lists content that is not
// stored, or is damaged, whatever happens to the write of a part.
func TestPartsFirst(t *testing.T) {
	part := settings.PartName(settings.DigestOf(bookText))
	for name, c := range map[string]struct {
		fault func(s *fakeStore)
		want  string
	}{
		"reply lost":    {func(s *fakeStore) { s.after = func(string) error { return errLost } }, ""},
		"request lost":  {func(s *fakeStore) { s.before = func(string) error { s.before = nil; return errLost } }, ""},
		"stored before": {func(s *fakeStore) { mustPublish(t, s, files()); delete(s.objects, ObjectName(1)) }, ""},
		"never stored":  {func(s *fakeStore) { s.before = func(string) error { return errLost } }, ".*reply was lost"},
		"away":          {func(s *fakeStore) { s.before = func(string) error { return objectstore.ErrUnavailable } }, ".*not reachable"},
		"damaged":       {func(s *fakeStore) { s.objects[part] = []byte("x") }, ".*part .*"},
	} {
		s := newStore()
		s.faulty = "parts/"
		c.fault(s)
		_, err := publish(t, s, request(t, "ana", files()))
		if c.want != "" {
			qt.Check(t, err, qt.ErrorMatches, c.want, qt.Commentf(name))
			qt.Check(t, s.names(prefix), qt.HasLen, 0, qt.Commentf(name))
			continue
		}
		qt.Assert(t, err, qt.IsNil, qt.Commentf(name))
		r, err := History{s}.Get(context.Background(), 1)
		qt.Assert(t, err, qt.IsNil, qt.Commentf(name))
		qt.Check(t, r.Files[0].Text, qt.Equals, bookText)
	}
}

// TestPartTooLarge guards against a service that no process could receive.
func TestPartTooLarge(t *testing.T) {
	s := newStore()
	noise := make([]byte, settings.MaxPartBytes)
	_, _ = rand.NewChaCha8([32]byte{}).Read(noise)
	_, err := publish(t, s, request(t, "ana", files("kind:", "# "+hex.EncodeToString(noise)+"\nkind:")))
	qt.Assert(t, err, qt.ErrorMatches, `book.yaml has \d+ bytes when compressed, at most 1044480 are allowed.*`)
	qt.Assert(t, s.objects, qt.HasLen, 0)
}

// TestBoundedList guards against a publish that lists all revisions ever made,
// and against a newest one that is missed because the note of it is missing, old
// or wrong.
func TestBoundedList(t *testing.T) {
	s := newStore()
	const last = 3*rangeNumbers + 1
	for i := range last {
		mustPublish(t, s, files("1s", fmt.Sprintf("%dms", 100+i)))
	}
	qt.Assert(t, string(s.objects[floorName]), qt.Equals, fmt.Sprint(3*rangeNumbers))
	for name, c := range map[string]struct {
		floor  []byte
		listed int
	}{
		"present": {[]byte("300"), 2}, "not listed yet": {[]byte("400"), 2}, "old": {[]byte("7"), last}, "wrong": {[]byte("900"), last},
		"damaged": {[]byte("x"), last}, "missing": {nil, last},
	} {
		s.objects[floorName], s.listed = c.floor, 0
		if c.floor == nil {
			delete(s.objects, floorName)
		}
		head, err := History{s}.Head(context.Background())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, head.Number, qt.Equals, uint64(last), qt.Commentf(name))
		qt.Check(t, s.listed, qt.Equals, c.listed, qt.Commentf(name))
	}
	all, err := History{s}.Last(context.Background(), 2)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, all, qt.HasLen, 2)
	qt.Assert(t, all[1].Number, qt.Equals, uint64(last-1))
}

// TestVerify guards against a changed or missing revision or part that goes
// unnoticed.
func TestVerify(t *testing.T) {
	s := newStore()
	for _, deadline := range []string{"1s", "2s", "3s", "4s"} {
		mustPublish(t, s, files("1s", deadline))
	}
	original := s.objects[ObjectName(2)]
	s.objects[ObjectName(2)] = []byte(strings.Replace(string(original), "ana", "eve", 1))
	v, err := History{s}.Verify(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v.Faults, qt.HasLen, 1)
	qt.Assert(t, v.Faults[0], qt.Contains, "revision 3 names parent digest")
	s.objects[ObjectName(2)] = []byte("{")
	v, err = History{s}.Verify(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v.Faults[0], qt.Contains, "revision 2 is not readable")
	s.get = func(string) error { return errLost }
	_, err = History{s}.Verify(context.Background())
	qt.Assert(t, errors.Is(err, errLost), qt.IsTrue)
	s.get = nil
	s.objects[ObjectName(2)] = original
	part := settings.PartName(settings.DigestOf(strings.Replace(bookText, "1s", "3s", 1)))
	content := s.objects[part]
	for _, damaged := range [][]byte{nil, s.objects[settings.PartName(settings.DigestOf(bookText))]} {
		s.objects[part] = damaged
		v, err = History{s}.Verify(context.Background())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, v.Faults, qt.HasLen, 1)
		qt.Assert(t, v.Faults[0], qt.Contains, "revision 3: the content of file book.yaml is not readable")
	}
	s.objects[part] = content
	delete(s.objects, ObjectName(2))
	v, err = History{s}.Verify(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, v.Faults, qt.DeepEquals, []string{"revisions 2 to 2 are missing"})
}

// TestCompare guards against a change of a value that no sentence names.
func TestCompare(t *testing.T) {
	const desk = `service: desk
kind: search
deadline: 110ms
limits: {slots: 3, connections: 30}
indexes:
  - name: slate
    shard: 0
    searchers:
      - {id: a, address: 127.0.0.1:9101, failure_domain: split}
`
	for _, c := range []struct{ old, with, want string }{
		{"kind: search", "kind: search\nmin_coverage: 0.8", "In desk, the minimum coverage falls from 1 to 0.8."},
		{"kind: search", "kind: search\nhedge_budget: 0.08", "In desk, the hedge budget rises from 0.05 to 0.08."},
		{"kind: search", "kind: search\nsoft_deadline: 80ms", "In desk, the soft deadline falls from 110ms to 80ms."},
		{"kind: search", "kind: search\nqueue_limit: 9", "In desk, the queue limit of each searcher falls from 64 to 9."},
		{"connections: 30", "connections: 31", "In desk, the number of connections to each searcher rises from 30 to 31."},
		{"30}", "30, cold: {allowance: 2}}", "In desk, the cold allowance of each searcher rises from 1 to 2."},
		{"30}", "30, cold: {step_successes: 9}}", "In desk, the number of successes for each step out of cold start rises from 8 to 9."},
		{"9101", "9102", "In desk, searcher a moves from address 127.0.0.1:9101 to 127.0.0.1:9102 and starts cold."},
		{"split", "trogir", "In desk, searcher a moves from failure domain split to trogir."},
		{"id: a", "id: z", "In desk, searcher a in failure domain split is removed from index slate.\nIn desk, searcher z at 127.0.0.1:9101 in failure domain split is added to index slate."},
		{"name: slate", "name: tile", "In desk, index slate with shard 0 is removed.\nIn desk, index tile is added as shard 0.\nIn desk, searcher a moves from index slate to index tile."},
		{"service: desk", "service: other", "Service desk is removed with its 1 index on 1 searcher; callers get code 1003.\nService other is added: a search with 1 index on 1 searcher, deadline 110ms."},
		{"service: desk", "# comment\nservice: desk", "File f changes in its text; no value that the services use is known to change."},
	} {
		old := &settings.Revision{Files: []settings.File{{Path: "f", Text: desk}}}
		next := &settings.Revision{Files: []settings.File{{Path: "f", Text: strings.Replace(desk, c.old, c.with, 1)}}}
		var lines []string
		for _, change := range Compare(old, next) {
			lines = append(lines, change.Text)
		}
		qt.Check(t, strings.Join(lines, "\n"), qt.Equals, c.want)
	}
}
