package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

func load(t *testing.T, ca *identity.DevCA, name string, role identity.Role) *identity.Identity {
	t.Helper()
	files, err := ca.Issue(name, role)
	qt.Assert(t, err, qt.IsNil)
	id, err := identity.Load(files)
	qt.Assert(t, err, qt.IsNil)
	return id
}

func newCA(t *testing.T) *identity.DevCA {
	t.Helper()
	ca, err := identity.NewDevCA(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	return ca
}

func serve(t *testing.T, ca *identity.DevCA, name string) (*Server, *control.State) {
	t.Helper()
	state := control.NewState()
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "wharf_test_total"}))
	s, err := Listen(Config{
		Address: "127.0.0.1:0", Identity: load(t, ca, name, identity.RoleInstance), State: state,
		Status: func() Status {
			return Status{ID: name, Role: control.RoleBroker, FailureDomain: "split", State: control.Live,
				Searchers: []SearcherStatus{{ID: "a", Warm: true}, {ID: "b"}}}
		},
		Explain:  func(id string) (any, bool) { return map[string]string{"id": id}, id == "known" },
		Gatherer: registry, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = s.Close(context.Background()) })
	return s, state
}

func client(t *testing.T, id *identity.Identity) *Client {
	t.Helper()
	c := NewClient(id, 10*time.Second)
	t.Cleanup(c.Close)
	return c
}

var nextID int

func order(name string, out bool) control.Order {
	nextID++
	return control.Order{Kind: control.OrderDomain, Name: name, Out: out, Author: "nobody", Reason: "test",
		Time: time.Unix(int64(nextID), 0).UTC(), ChangeID: fmt.Sprintf("00000000-0000-7000-8000-%012d", nextID)}
}

// TestPort guards against an order with an author other than the certificate's,
// an order that supersedes nothing, and a status without the control state.
func TestPort(t *testing.T) {
	ctx, ca := context.Background(), newCA(t)
	s, state := serve(t, ca, "one")
	c := client(t, load(t, ca, "ana", identity.RoleOperator))

	out := order("split", true)
	held, err := c.Order(ctx, s.Address(), out)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, held.InForce, qt.IsTrue)
	qt.Assert(t, held.Order.Author, qt.Equals, "ana")
	_, err = c.Order(ctx, s.Address(), out)
	qt.Assert(t, err, qt.IsNil)
	status, err := c.Status(ctx, s.Address())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.OutDomains, qt.DeepEquals, []string{"split"})
	qt.Assert(t, status.DirectOrders, qt.HasLen, 1)
	qt.Assert(t, status.Warm(), qt.Equals, 1)

	back, err := c.Order(ctx, s.Address(), order("split", false))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, back.Order.Supersedes, qt.DeepEquals, []string{out.ChangeID})
	qt.Assert(t, back.InForce, qt.IsTrue)
	qt.Assert(t, state.View().Out(control.OrderDomain, "split"), qt.IsFalse)

	raw, err := c.Explain(ctx, s.Address(), "known")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(raw), qt.Contains, "known")
	_, err = c.Explain(ctx, s.Address(), "other")
	qt.Assert(t, errors.Is(err, ErrNotKnown), qt.IsTrue)
	answer, err := c.http.Get("https://" + s.Address() + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, string(text), qt.Contains, "wharf_test_total 0")
}

// TestSetState guards against a process that is shown as live before it serves.
func TestSetState(t *testing.T) {
	var s Status
	s.SetState(false, errors.New("no lease was granted yet"))
	qt.Assert(t, s.State, qt.Equals, control.Starting)
	qt.Assert(t, s.Reason, qt.Equals, "no lease was granted yet")
	s = Status{}
	s.SetState(false, nil)
	qt.Assert(t, s, qt.DeepEquals, Status{State: control.Live})
	s.SetState(true, nil)
	qt.Assert(t, s.State, qt.Equals, control.Leaving)
}

// TestOnlyOperators guards against an instance, or an operator of another
// deployment, that gives orders to a process.
func TestOnlyOperators(t *testing.T) {
	ca := newCA(t)
	s, state := serve(t, ca, "one")
	for _, id := range []*identity.Identity{
		load(t, ca, "two", identity.RoleInstance), load(t, newCA(t), "ana", identity.RoleOperator),
	} {
		_, err := client(t, id).Order(context.Background(), s.Address(), order("split", true))
		qt.Assert(t, err, qt.IsNotNil)
	}
	qt.Assert(t, state.View().Direct, qt.HasLen, 0)
}

func offer(t *testing.T, s *control.State, name string, major uint64, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	qt.Assert(t, err, qt.IsNil)
	_, err = s.Offer(control.Item{Name: name, Major: major, Value: text})
	qt.Assert(t, err, qt.IsNil)
}

// TestRefusedOrders guards against an order without a reason or with a misspelt
// name.
func TestRefusedOrders(t *testing.T) {
	state := control.NewState()
	offer(t, state, control.ItemSettings, 1, settings.Revision{Number: 1, Files: []settings.File{{Path: "f", Text: `service: book
kind: booking
deadline: 1s
limits: {slots: 3, connections: 30}
searchers: [{id: b, address: 127.0.0.1:9201, failure_domain: split}]
`}}})
	_, err := hold(state, order("split", true), time.Now())
	qt.Assert(t, err, qt.IsNil)
	_, err = hold(state, order("spilt", true), time.Now())
	qt.Assert(t, err, qt.ErrorMatches, `1001 .* domain "spilt" is not in the settings; known: split`)
	silent := order("split", true)
	silent.Reason = " "
	_, err = hold(state, silent, time.Now())
	qt.Assert(t, result.From(err).Code, qt.Equals, result.Malformed)
}

// TestNewerCopy guards against a direct order that is held twice after a copy
// that supersedes more has replaced it.
func TestNewerCopy(t *testing.T) {
	state, back := control.NewState(), order("split", false)
	for _, supersedes := range [][]string{nil, {"x", "y"}, {"x"}} {
		back.Supersedes = supersedes
		_, err := hold(state, back, time.Now())
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, state.View().Direct, qt.HasLen, 1)
	qt.Assert(t, state.View().Direct[0].Supersedes, qt.DeepEquals, []string{"x", "y"})
}

// fakeStore keeps objects in memory; the hooks run before and after a write
// takes effect.
type fakeStore struct {
	objectstore.Store
	objects       map[string]objectstore.Object
	before, after func() error
	get           func() error
}

func newStore() *fakeStore { return &fakeStore{objects: make(map[string]objectstore.Object)} }

func call(hook func() error) error {
	if hook == nil {
		return nil
	}
	return hook()
}

func (s *fakeStore) Get(_ context.Context, name string) (objectstore.Object, error) {
	if err := call(s.get); err != nil {
		return objectstore.Object{}, err
	}
	if o, ok := s.objects[name]; ok {
		return o, nil
	}
	return objectstore.Object{}, objectstore.ErrNotFound
}

func (s *fakeStore) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return s.Update(ctx, name, 0, value)
}

func (s *fakeStore) Update(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	if err := call(s.before); err != nil {
		return 0, err
	}
	if s.objects[name].Version != version {
		return 0, objectstore.ErrConflict
	}
	s.objects[name] = objectstore.Object{Name: name, Version: version + 1, Value: value}
	return version + 1, call(s.after)
}

func record(t *testing.T, s *fakeStore, o control.Order, direct ...control.Order) *control.RecordedOrder {
	t.Helper()
	r, err := Record(context.Background(), s, o, direct)
	qt.Assert(t, err, qt.IsNil)
	return r
}

// TestRecord guards against a lost former order, a history without bound, and a
// direct order that instances follow although a later one is recorded.
func TestRecord(t *testing.T) {
	s := newStore()
	first, direct, second := order("split", true), order("split", true), order("split", false)
	qt.Assert(t, record(t, s, first).Sequence, qt.Equals, uint64(1))
	r := record(t, s, second, direct, order("trogir", true))
	qt.Assert(t, r.Sequence, qt.Equals, uint64(2))
	qt.Assert(t, r.History, qt.DeepEquals, []control.Order{direct, first})
	qt.Assert(t, record(t, s, second).Sequence, qt.Equals, uint64(2))
	for range MaxHistory + 5 {
		r = record(t, s, order("split", true))
	}
	qt.Assert(t, r.History, qt.HasLen, MaxHistory)
	qt.Assert(t, r.Sequence, qt.Equals, uint64(MaxHistory+7))
}

// TestRecordLostReply guards against an order that is recorded twice, or
// reported as failed, when the reply to the write was lost.
func TestRecordLostReply(t *testing.T) {
	s := newStore()
	s.after = func() error { s.after = nil; return errors.New("reply was lost") }
	qt.Assert(t, record(t, s, order("split", true)).Sequence, qt.Equals, uint64(1))
	s.before = func() error { s.before = nil; return errors.New("request was lost") }
	qt.Assert(t, record(t, s, order("split", false)).Sequence, qt.Equals, uint64(2))
	s.after = func() error {
		s.get = func() error { return errors.New("reading was lost") }
		return errors.New("reply was lost")
	}
	_, err := Record(context.Background(), s, order("split", true), nil)
	qt.Assert(t, errors.Is(err, ErrUnknown), qt.IsTrue)
}

// TestRecordRace guards against a "back" that overrules an "out" its operator
// did not know, and against an "out" that is given up.
func TestRecordRace(t *testing.T) {
	s := newStore()
	record(t, s, order("split", true))
	intervene := func() {
		s.before = func() error {
			s.before = nil
			record(t, s, order("split", true))
			return nil
		}
	}
	intervene()
	_, err := Record(context.Background(), s, order("split", false), nil)
	_, lost := errors.AsType[*RaceError](err)
	qt.Assert(t, lost, qt.IsTrue, qt.Commentf("%v", err))
	intervene()
	qt.Assert(t, record(t, s, order("split", true)).Sequence, qt.Equals, uint64(4))
}

// TestGiveWithoutPlatform guards against an order that no instance receives
// while the platform is away, and against two instances that hold different
// copies of it for good.
func TestGiveWithoutPlatform(t *testing.T) {
	ctx, ca := context.Background(), newCA(t)
	one, stateOne := serve(t, ca, "one")
	two, stateTwo := serve(t, ca, "two")
	gone, _ := serve(t, ca, "gone")
	offer(t, stateOne, control.PrefixRoster+"split", 1, control.Roster{Instances: []control.Instance{{ID: "two", OperatorAddress: two.Address()}}})
	qt.Assert(t, gone.Close(ctx), qt.IsNil)
	c := client(t, load(t, ca, "ana", identity.RoleOperator))
	earlier := order("split", true)
	_, err := c.Order(ctx, two.Address(), earlier)
	qt.Assert(t, err, qt.IsNil)

	store := newStore()
	store.get = func() error { return objectstore.ErrUnavailable }
	fleet := Fleet{Port: c, Addresses: []string{one.Address(), gone.Address()}, Step: 10 * time.Second}
	given, err := fleet.Give(ctx, store, order("split", false))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, given.Record, qt.IsNil)
	qt.Assert(t, given.Held(), qt.Equals, 2)
	qt.Assert(t, given.Holders, qt.HasLen, 3)
	qt.Assert(t, given.Order.Supersedes, qt.DeepEquals, []string{earlier.ChangeID})
	name := control.DirectName(given.Order)
	itemOne, _ := stateOne.Item(name)
	itemTwo, _ := stateTwo.Item(name)
	qt.Assert(t, itemOne, qt.DeepEquals, itemTwo)
	qt.Assert(t, Lag(fleet.Reports(ctx), 1), qt.HasLen, 3)

	store.get = nil
	given, err = fleet.Give(ctx, store, order("split", false))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, given.Record.History, qt.HasLen, 2)
	offer(t, stateTwo, control.OrderName(control.OrderDomain, "split"), 1, given.Record)
	qt.Assert(t, stateTwo.View().Out(control.OrderDomain, "split"), qt.IsFalse)
	qt.Assert(t, stateTwo.View().Direct, qt.HasLen, 0)
	_, err = Fleet{Port: c, Addresses: []string{gone.Address()}}.Give(ctx, nil, order("split", true))
	qt.Assert(t, errors.Is(err, objectstore.ErrUnavailable), qt.IsTrue)
}

// TestProcessEnded guards against the statement that a process has ended while
// it answers, and against one that is taken back.
func TestProcessEnded(t *testing.T) {
	ctx, ca := context.Background(), newCA(t)
	s, state := serve(t, ca, "one")
	c := client(t, load(t, ca, "ana", identity.RoleOperator))
	ended := order("broker-split-0-1a2b3c4d", true)
	ended.Kind = control.OrderProcess
	_, err := c.Order(ctx, s.Address(), ended)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state.View().Out(control.OrderProcess, ended.Name), qt.IsTrue)
	back := order(ended.Name, false)
	back.Kind = control.OrderProcess
	_, err = c.Order(ctx, s.Address(), back)
	qt.Assert(t, err, qt.ErrorMatches, ".*cannot come back.*")
	reports := []Report{{Address: "10.0.0.1:7202", Status: &Status{ID: ended.Name}}}
	qt.Assert(t, CheckEnded(reports, ended), qt.ErrorMatches, ".*answers at 10.0.0.1:7202.*")
	qt.Assert(t, CheckEnded(reports, order("split", true)), qt.IsNil)
}
