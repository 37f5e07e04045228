package booking

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/claim"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const laneBooking = `
service: lane-booking
kind: booking
deadline: 1s
queue_limit: 8
limits: {slots: 4, connections: 45, cold: {allowance: 1, step_successes: 4}}
searchers:
  - {id: lb-00, address: 127.0.0.1:9001, failure_domain: suva}
  - {id: lb-01, address: 127.0.0.1:9002, failure_domain: nadi}
`

// store is an object service in memory whose writes can lose their replies.
type store struct {
	objectstore.Store
	mu          sync.Mutex
	objects     map[string]objectstore.Object
	version     uint64
	loseReplies int
	away        bool
}

func (s *store) Get(_ context.Context, name string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	o, ok := s.objects[name]
	if !ok {
		return o, objectstore.ErrNotFound
	}
	return o, nil
}

func (s *store) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	return s.Update(ctx, name, 0, value)
}

func (s *store) Update(_ context.Context, name string, version uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, objectstore.ErrUnavailable
	}
	if s.objects[name].Version != version {
		return 0, objectstore.ErrConflict
	}
	s.version++
	s.objects[name] = objectstore.Object{Name: name, Version: s.version, Value: value}
	if s.loseReplies > 0 {
		s.loseReplies--
		return 0, errors.New("connection was closed")
	}
	return s.version, nil
}

// upstreams count what they ran and may hold or refuse it.
type upstreams struct {
	mu     sync.Mutex
	runs   map[string]int
	refuse int
	hold   chan struct{}
	// lost is the address of an owner that is not reached; attempts counts calls.
	lost     string
	attempts int
}

func (u *upstreams) CallWithin(_ context.Context, _ time.Duration, address string, _ peer.Kind, request, response peer.Message) error {
	if address == u.lost {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.attempts++
		return result.NotRun(result.ConnectionLost, "not reached")
	}
	run, reply := request.(*peer.Run), response.(*peer.RunReply)
	if u.hold != nil {
		<-u.hold
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.refuse > 0 {
		u.refuse--
		*reply = peer.RunReply{Code: uint16(result.UpstreamShed), Run: uint8(result.RunNo)}
		return nil
	}
	u.runs[run.Key]++
	*reply = peer.RunReply{Run: uint8(result.RunYes), Body: "lane " + run.Item}
	return nil
}

type fixture struct {
	store *store
	ups   *upstreams
	state *control.State
}

func newFixture(c *qt.C) *fixture {
	f := &fixture{
		store: &store{objects: make(map[string]objectstore.Object)},
		ups:   &upstreams{runs: make(map[string]int)},
		state: control.NewState(),
	}
	f.offer(c, control.ItemSettings, settings.Revision{Number: 1, Files: []settings.File{{Path: "lane.yaml", Text: laneBooking}}})
	record := control.Record{Epoch: 1, Members: []control.Member{{ID: "b1", Address: "127.0.0.1:1"}}}
	f.offer(c, control.PrefixDomain+"suva", record)
	// The second searcher's domain has no broker of its own.
	record.Members = []control.Member{{ID: "b1", Address: "127.0.0.1:1", Domain: "suva"}}
	f.offer(c, control.PrefixDomain+"nadi", record)
	return f
}

func (f *fixture) offer(c *qt.C, name string, value any) {
	text, err := json.Marshal(value)
	c.Assert(err, qt.IsNil)
	_, err = f.state.Offer(control.Item{Name: name, Major: 1, Value: text})
	c.Assert(err, qt.IsNil)
}

// service starts one process over the fixture's store.
func (f *fixture) service(c *qt.C, id string) *Service {
	s, err := New(Config{
		ID: id, State: f.state, Store: f.store, Clock: clock.System{},
		Log:             slog.New(slog.NewTextHandler(io.Discard, nil)),
		Registry:        prometheus.NewRegistry(),
		WritesPerSecond: 1000,
	})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, f.ups) }()
	for !s.started() {
		time.Sleep(time.Millisecond)
	}
	c.Cleanup(func() { cancel(); <-ended })
	return s
}

func book(s *Service, key, item string) peer.BookReply {
	deadline := 5 * time.Second
	return s.Book(context.Background(), peer.Book{
		Service: "lane-booking", Key: key, Item: item,
		DeadlineUnixMs: time.Now().Add(deadline).UnixMilli(), RemainingMs: deadline.Milliseconds(),
	})
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// TestBookAndRepeat guards against a repeat that runs again, also at another
// process.
func TestBookAndRepeat(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	key := newKey()
	a, b := f.service(c, "b1"), f.service(c, "b2")
	first := book(a, key, "4")
	c.Assert(first.Code, qt.Equals, uint16(result.OK))
	c.Assert(first.Body, qt.Equals, "lane 4")
	repeat := book(a, key, "4")
	c.Assert(repeat.Body, qt.Equals, "lane 4")
	c.Assert(repeat.Repeated, qt.IsTrue)
	elsewhere := book(b, key, "4")
	c.Assert(result.Code(elsewhere.Code) == result.OK || result.Code(elsewhere.Code) == result.OutcomeUnknown, qt.IsTrue)
	c.Assert(f.ups.runs[key], qt.Equals, 1)
}

// bookOnce makes a booking that has to succeed and to run once.
func (f *fixture) bookOnce(c *qt.C) {
	c.Helper()
	s := f.service(c, "b1")
	key := newKey()
	c.Assert(book(s, key, "4").Code, qt.Equals, uint16(result.OK))
	c.Assert(f.ups.runs[key], qt.Equals, 1)
}

// TestLostReply guards against a booking that is refused or run twice because
// the reply to the write of its claim was lost.
func TestLostReply(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.store.loseReplies = 3
	f.bookOnce(c)
}

// TestPlatformAway guards against a booking that runs without a claim, and
// against a refusal that does not say that it was not run.
func TestPlatformAway(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.store.away = true
	s := f.service(c, "b1")
	key := newKey()
	reply := book(s, key, "4")
	c.Assert(result.Code(reply.Code), qt.Equals, result.PlatformAway)
	c.Assert(result.Run(reply.Run), qt.Equals, result.RunNo)
	c.Assert(f.ups.runs[key], qt.Equals, 0)
	f.store.mu.Lock()
	f.store.away = false
	f.store.mu.Unlock()
	c.Assert(book(s, key, "4").Code, qt.Equals, uint16(result.OK))
}

// TestRefusedElsewhere guards against giving up a booking that one searcher
// refused without running it.
func TestRefusedElsewhere(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.ups.refuse = 1
	f.bookOnce(c)
}

// TestWriteShare guards against writes of claims that grow with the number of
// brokers beyond what the platform takes.
func TestWriteShare(t *testing.T) {
	c := qt.New(t)
	view := *newFixture(c).state.View()
	for _, brokers := range []int{1, 9, 2100} {
		record := &control.Record{}
		for i := range brokers {
			record.Members = append(record.Members, control.Member{ID: strconv.Itoa(i)})
		}
		view.Records = map[string]*control.Record{"suva": record}
		owners := make(map[string]float64)
		for p := range claim.Partitions {
			owner, _ := assign.Owner(record.Members, claim.OwnerKey("lane-booking", p))
			owners[owner.ID] = writeShare(&view, owner.ID, 200)
		}
		sum := 0.0
		for _, share := range owners {
			sum += share
		}
		c.Check(int(sum+0.5), qt.Equals, 200, qt.Commentf("%d brokers", brokers))
	}
}

// TestLostOwnerIsPassedOver guards against bookings that all wait for the owner of
// a searcher that was lost, until its domain's record changes.
func TestLostOwnerIsPassedOver(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.ups.lost = "127.0.0.1:2"
	text, err := json.Marshal(control.Record{Epoch: 2, Members: []control.Member{{ID: "b2", Address: f.ups.lost}}})
	c.Assert(err, qt.IsNil)
	_, err = f.state.Offer(control.Item{Name: control.PrefixDomain + "nadi", Major: 2, Value: text})
	c.Assert(err, qt.IsNil)
	s := f.service(c, "b1")
	began := time.Now()
	for range 40 {
		c.Assert(book(s, newKey(), "4").Code, qt.Equals, uint16(result.OK))
	}
	f.ups.mu.Lock()
	defer f.ups.mu.Unlock()
	c.Assert(f.ups.attempts <= 1+int(time.Since(began)/unreachedFor), qt.IsTrue, qt.Commentf("%d attempts", f.ups.attempts))
}

// TestRace guards against two processes that both dispatch one key.
func TestRace(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	services := []*Service{f.service(c, "b1"), f.service(c, "b2"), f.service(c, "b3")}
	var wait sync.WaitGroup
	keys := make([]string, 50)
	for i := range keys {
		keys[i] = newKey()
		for _, s := range services {
			wait.Add(1)
			go func() { defer wait.Done(); book(s, keys[i], "4") }()
		}
	}
	wait.Wait()
	for _, key := range keys {
		c.Assert(f.ups.runs[key], qt.Equals, 1)
	}
}

// TestStopWaitsForRunning guards against a planned stop that cuts a booking.
func TestStopWaitsForRunning(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.ups.hold = make(chan struct{})
	s, err := New(Config{ID: "b1", State: f.state, Store: f.store, Clock: clock.System{},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry(), WritesPerSecond: 1000})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, f.ups) }()
	for !s.started() {
		time.Sleep(time.Millisecond)
	}
	replies := make(chan peer.BookReply, 1)
	go func() { replies <- book(s, newKey(), "4") }()
	f.ups.hold <- struct{}{}
	f.ups.hold = nil
	cancel()
	c.Assert((<-replies).Code, qt.Equals, uint16(result.OK))
	c.Assert(<-ended, qt.IsNil)
	late := book(s, newKey(), "4")
	c.Assert(result.Code(late.Code), qt.Equals, result.Stopping)
	c.Assert(result.Run(late.Run), qt.Equals, result.RunNo)
}
