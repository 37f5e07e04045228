package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// patience bounds waits whose length does not matter to a test.
const patience = 20 * time.Second

var domains = []string{"a", "b", "c"}

// fakeBroker answers for the searchers of one failure domain. answer returns
// the replies to one part; nil leaves it open. An error resets the stream.
type fakeBroker struct {
	id        string
	node      *peer.Node
	mu        sync.Mutex
	silent    bool
	states    []peer.SearcherState
	parts     map[string]int
	cancelled map[uint32]bool
	// withdrawn is what the reply to a cancelled part says of its run;
	// result.RunUnknown sends no reply.
	withdrawn result.Run
	answer    func(b *peer.Batch, p peer.Part) ([]*peer.PartReply, error)
	book      func(s *peer.Stream) error
	books     int
}

func (f *fakeBroker) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeBroker) status(ctx context.Context, s *peer.Stream) error {
	var request peer.StatusRequest
	if err := s.Receive(&request); err != nil {
		return err
	}
	for ctx.Err() == nil {
		f.mu.Lock()
		status := &peer.Status{Broker: f.id, Searchers: append([]peer.SearcherState(nil), f.states...)}
		silent := f.silent
		f.mu.Unlock()
		if !silent {
			if err := s.Send(status); err != nil {
				return err
			}
		}
		_ = clock.Pause(ctx, 50*time.Millisecond)
	}
	return nil
}

func (f *fakeBroker) batch(ctx context.Context, s *peer.Stream) error {
	var b peer.Batch
	if err := s.Receive(&b); err != nil {
		return err
	}
	// The last part is answered first: replies come in any order.
	for i := len(b.Parts) - 1; i >= 0; i-- {
		p := b.Parts[i]
		f.mu.Lock()
		f.parts[p.Searcher]++
		answer := f.answer
		f.mu.Unlock()
		replies, err := answer(&b, p)
		if err != nil {
			return err
		}
		for _, r := range replies {
			if err := s.Send(r); err != nil {
				return err
			}
		}
	}
	for {
		var c peer.Cancel
		if s.Receive(&c) != nil {
			return nil
		}
		var run result.Run
		f.locked(func() {
			run = f.withdrawn
			for _, id := range c.PartIDs {
				f.cancelled[id] = true
			}
		})
		for _, id := range c.PartIDs {
			if run == result.RunUnknown {
				continue
			}
			if err := s.Send(&peer.PartReply{QueryID: b.QueryID, PartID: id, Code: uint16(result.Cancelled), Run: uint8(run)}); err != nil {
				return err
			}
		}
	}
}

func good(b *peer.Batch, p peer.Part) *peer.PartReply {
	return &peer.PartReply{QueryID: b.QueryID, PartID: p.ID, Shard: p.Shard, Snapshot: p.Snapshot, Body: b.Query}
}

func refusal(b *peer.Batch, p peer.Part, code result.Code) *peer.PartReply {
	return &peer.PartReply{QueryID: b.QueryID, PartID: p.ID, Code: uint16(code), Run: uint8(result.RunNo)}
}

func one(r *peer.PartReply) ([]*peer.PartReply, error) { return []*peer.PartReply{r}, nil }

func answerGood(b *peer.Batch, p peer.Part) ([]*peer.PartReply, error) { return one(good(b, p)) }

// world is an entry before three fake brokers, with one searcher per shard in
// each of three failure domains.
type world struct {
	entry   *Entry
	clock   stoppableClock
	state   *control.State
	brokers []*fakeBroker
	shards  int
}

func held(shard, total int, numbers ...uint64) []peer.HeldSnapshot {
	var h []peer.HeldSnapshot
	for _, n := range numbers {
		h = append(h, peer.HeldSnapshot{
			Index: fmt.Sprintf("ix-%d", shard), ID: fmt.Sprintf("s%d", n), Number: n,
			ShardsTotal: uint32(total), Shards: []uint32{uint32(shard)},
		})
	}
	return h
}

func searcherID(shard int, domain string) string { return fmt.Sprintf("u-%d-%s", shard, domain) }

// stoppableClock is the clock of the machine until its boot time is stopped. It is safe for
// concurrent use.
type stoppableClock struct {
	clock.System
	stoppedAt atomic.Int64
}

// Boottime implements clock.Clock.
func (c *stoppableClock) Boottime() time.Duration {
	if at := c.stoppedAt.Load(); at != 0 {
		return time.Duration(at)
	}
	return c.System.Boottime()
}

// stop keeps Boottime where it is.
func (c *stoppableClock) stop() { c.stoppedAt.Store(int64(c.Boottime())) }

func newWorld(t *testing.T, shards int, extra string) *world {
	t.Helper()
	ca, err := identity.NewDevCA(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	w := &world{state: control.NewState(), shards: shards}
	for _, d := range domains {
		f := &fakeBroker{id: "broker-" + d, parts: make(map[string]int), cancelled: make(map[uint32]bool), answer: answerGood}
		for s := range shards {
			f.states = append(f.states, peer.SearcherState{Searcher: searcherID(s, d), Usable: true, Free: 3, Snapshots: held(s, shards, 7)})
		}
		f.book = func(s *peer.Stream) error { return s.Send(&peer.BookReply{Body: f.id}) }
		f.node = listen(t, ca, f.id, map[peer.Kind]peer.Handler{
			peer.KindStatus: f.status, peer.KindBatch: f.batch,
			peer.KindBook: func(_ context.Context, s *peer.Stream) error {
				var r peer.Book
				if err := s.Receive(&r); err != nil {
					return err
				}
				var book func(*peer.Stream) error
				f.locked(func() { f.books++; book = f.book })
				return book(s)
			},
		})
		w.brokers = append(w.brokers, f)
		w.offer(t, control.PrefixDomain+d, &control.Record{Epoch: 1, Members: []control.Member{{ID: f.id, Address: f.node.Address()}}})
	}
	w.offer(t, control.ItemSettings, settings.Revision{Number: 1, Files: []settings.File{
		{Path: "desk.yaml", Text: deskYAML(shards, extra)},
		{Path: "orders.yaml", Text: ordersYAML},
	}})
	w.entry, err = New(Config{
		ID: "entry", CallerAddress: "127.0.0.1:7001", State: w.state, Clock: &w.clock,
		Node: listen(t, ca, "entry", nil), Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Registry: prometheus.NewRegistry(),
	})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = w.entry.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	w.eventually(t, func() bool { return w.usable(7) == 3*shards })
	return w
}

func listen(t *testing.T, ca *identity.DevCA, name string, handlers map[peer.Kind]peer.Handler) *peer.Node {
	files, err := ca.Issue(name, identity.RoleInstance)
	qt.Assert(t, err, qt.IsNil)
	id, err := identity.Load(files)
	qt.Assert(t, err, qt.IsNil)
	n, err := peer.Listen(peer.Config{Address: "127.0.0.1:0", Identity: id, Handlers: handlers, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = n.Close() })
	return n
}

const ordersYAML = `
service: orders
kind: booking
deadline: 4s
limits: {slots: 3, connections: 30, cold: {allowance: 1, step_successes: 8}}
searchers:
  - {id: orders-0, address: "127.0.0.1:8999", failure_domain: a}
`

func deskYAML(shards int, extra string) string {
	text := "service: desk\nkind: search\ndeadline: 4s\nlimits: {slots: 3, connections: 30, cold: {allowance: 1, step_successes: 8}}\n" + extra + "\nindexes:\n"
	for s := range shards {
		text += fmt.Sprintf("  - name: ix-%d\n    shard: %d\n    searchers:\n", s, s)
		for i, d := range domains {
			text += fmt.Sprintf("      - {id: %s, address: \"127.0.0.1:%d\", failure_domain: %s}\n", searcherID(s, d), 9000+10*s+i, d)
		}
	}
	return text
}

func (w *world) offer(t *testing.T, name string, value any) {
	t.Helper()
	text, err := json.Marshal(value)
	qt.Assert(t, err, qt.IsNil)
	_, err = w.state.Offer(control.Item{Name: name, Major: 1, Minor: 1, Value: text})
	qt.Assert(t, err, qt.IsNil)
}

// usable counts the replicas of a snapshot that may get parts.
func (w *world) usable(number uint64) int {
	view := w.state.View()
	count := 0
	for _, l := range w.entry.table.plan(view.Settings.Services["desk"]).layouts {
		if l.Number == number {
			for _, r := range l.Replicas {
				count += len(r)
			}
		}
	}
	return count
}

func (w *world) eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition was not met in time")
		}
	}
}

func (w *world) answerAll(answer func(f *fakeBroker, b *peer.Batch, p peer.Part) ([]*peer.PartReply, error)) {
	for _, f := range w.brokers {
		f.locked(func() {
			f.answer = func(b *peer.Batch, p peer.Part) ([]*peer.PartReply, error) { return answer(f, b, p) }
		})
	}
}

func (w *world) search(query string, deadline time.Duration) (*caller.SearchAnswer, *result.Error) {
	return w.entry.Search(context.Background(), caller.SearchRequest{
		RequestID: uuid.NewString(), Service: "desk", Caller: "test", Query: query, Deadline: deadline,
	})
}

// whole searches and requires an answer of all shards.
func (w *world) whole(t *testing.T, query string) *caller.SearchAnswer {
	t.Helper()
	answer, refusal := w.search(query, 0)
	succeeded(t, refusal)
	qt.Assert(t, answer.Coverage, qt.DeepEquals, caller.Coverage{Asked: w.shards, Answered: w.shards})
	for i, r := range answer.Results {
		qt.Assert(t, r, qt.Equals, caller.Result{Shard: uint32(i), Body: caller.Body(query)})
	}
	return answer
}

// learn makes the entry hedge soon.
func (w *world) learn(budget float64) {
	p := w.entry.policyOf("desk", budget)
	p.mu.Lock()
	defer p.mu.Unlock()
	for range 10 * 100 {
		p.Latency.Add(w.entry.config.Clock.Boottime(), time.Millisecond)
	}
}

// refunds returns how many hedges were refunded.
func (w *world) refunds(t *testing.T) int {
	t.Helper()
	registry := prometheus.NewRegistry()
	qt.Assert(t, registry.Register(w.entry.metrics.hedgesRefunded), qt.IsNil)
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	total := 0
	for _, f := range families {
		for _, m := range f.Metric {
			total += int(m.GetCounter().GetValue())
		}
	}
	return total
}

func succeeded(t *testing.T, refusal *result.Error) {
	t.Helper()
	if refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
}
