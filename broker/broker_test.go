package broker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	slots       = 3
	connections = 6
)

// rights grants what the test says.
type rights struct{ grant atomic.Pointer[assign.Grant] }

func (r *rights) Grant(string) assign.Grant { return *r.grant.Load() }

func (r *rights) set(g assign.Grant) { r.grant.Store(&g) }

// bench is a broker that owns one searcher, and an entry's node.
type bench struct {
	t      *testing.T
	broker *Broker
	state  *control.State
	rights *rights
	server *peer.Node
	client *peer.Node
	ctx    context.Context
	major  uint64
}

func newBench(t *testing.T, address string, stepSuccesses int) *bench {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	b := &bench{t: t, state: control.NewState(), rights: &rights{}, ctx: ctx}
	b.rights.set(assign.Grant{Share: assign.ShareFull})
	var err error
	b.broker, err = New(Config{ID: "me", State: b.state, Ownership: b.rights, Clock: clock.System{},
		Log: log, Registry: prometheus.NewRegistry()})
	qt.Assert(t, err, qt.IsNil)
	b.offerSettings(address, stepSuccesses, slots)
	b.offer(control.PrefixDomain+"d", control.Record{Members: []control.Member{{ID: "me"}}})
	ca, err := identity.NewDevCA(t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	node := func(name string, handlers map[peer.Kind]peer.Handler) *peer.Node {
		files, err := ca.Issue(name, identity.RoleInstance)
		qt.Assert(t, err, qt.IsNil)
		id, err := identity.Load(files)
		qt.Assert(t, err, qt.IsNil)
		n, err := peer.Listen(peer.Config{Address: "127.0.0.1:0", Identity: id, Handlers: handlers, Log: log})
		qt.Assert(t, err, qt.IsNil)
		return n
	}
	b.server, b.client = node("broker", b.broker.Handlers()), node("entry", nil)
	done := make(chan struct{})
	go func() { defer close(done); _ = b.broker.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = b.client.Close()
		_ = b.server.Close()
	})
	eventually(t, "searcher is owned and its page read", func() bool {
		all := b.broker.Status()
		return len(all) == 1 && len(all[0].State.Snapshots) == 1
	})
	return b
}

func (b *bench) offer(name string, value any) {
	b.t.Helper()
	text, err := json.Marshal(value)
	qt.Assert(b.t, err, qt.IsNil)
	b.major++
	_, err = b.state.Offer(control.Item{Name: name, Major: b.major, Value: text})
	qt.Assert(b.t, err, qt.IsNil)
}

func (b *bench) offerSettings(address string, stepSuccesses, slots int) {
	b.t.Helper()
	text := fmt.Sprintf(`
service: svc
kind: search
deadline: 2s
queue_limit: 64
limits: {slots: %d, connections: %d, cold: {allowance: 1, step_successes: %d}}
indexes:
  - name: x
    shard: 0
    searchers:
      - {id: u, address: "%s", failure_domain: d}
`, slots, connections, stepSuccesses, address)
	b.offer(control.ItemSettings, settings.Revision{Number: b.major + 1, Files: []settings.File{{Path: "svc.yaml", Text: text}}})
}

func (b *bench) order(kind control.OrderKind, name string, out bool) {
	b.offer(control.OrderName(kind, name), control.RecordedOrder{Order: control.Order{Kind: kind, Name: name, Out: out}})
}

func (b *bench) status() SearcherStatus { return b.broker.Status()[0] }

// search sends parts as one batch and returns the stream.
func (b *bench) search(query string, parts int, deadline time.Duration) *peer.Stream {
	b.t.Helper()
	s, err := b.client.Open(b.ctx, b.server.Address(), peer.KindBatch)
	qt.Assert(b.t, err, qt.IsNil)
	batch := &peer.Batch{QueryID: query, Service: "svc", Query: query,
		DeadlineUnixMs: time.Now().Add(deadline).UnixMilli(), RemainingMs: deadline.Milliseconds()}
	for i := range parts {
		batch.Parts = append(batch.Parts, peer.Part{ID: uint32(i), Searcher: "u", Index: "x", Snapshot: "s1"})
	}
	qt.Assert(b.t, s.Send(batch), qt.IsNil)
	return s
}

func (b *bench) reply(s *peer.Stream) *peer.PartReply {
	b.t.Helper()
	var reply peer.PartReply
	qt.Assert(b.t, s.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	qt.Assert(b.t, s.Receive(&reply), qt.IsNil)
	return &reply
}

// one runs a search of one part.
func (b *bench) one(query string, deadline time.Duration) *peer.PartReply {
	b.t.Helper()
	s := b.search(query, 1, deadline)
	defer s.Cancel()
	return b.reply(s)
}

func (b *bench) run(key string, deadline time.Duration) *peer.RunReply {
	b.t.Helper()
	var reply peer.RunReply
	err := b.client.Call(b.ctx, b.server.Address(), peer.KindRun, &peer.Run{Service: "svc", Searcher: "u", Key: key,
		Item: "item", DeadlineUnixMs: time.Now().Add(deadline).UnixMilli(), RemainingMs: deadline.Milliseconds()}, &reply)
	qt.Assert(b.t, err, qt.IsNil)
	return &reply
}

func (b *bench) warm() {
	b.t.Helper()
	eventually(b.t, "searcher is warm", func() bool {
		b.one("warm", time.Second)
		return !b.status().State.Cold
	})
}

func plain(int, string) behaviour { return behaviour{} }

// TestThinPath guards against a part or booking that does not come back with
// its own answer.
func TestThinPath(t *testing.T) {
	f := newFake(t, plain)
	b := newBench(t, f.address(), 2)
	reply := b.one("q", time.Second)
	qt.Assert(t, reply.Code, qt.Equals, uint16(result.OK), qt.Commentf("%v", reply.Detail))
	qt.Assert(t, reply.Body, qt.Equals, `"answer to q"`)
	qt.Assert(t, reply.Snapshot, qt.Equals, "s1")
	run := b.run("k", time.Second)
	qt.Assert(t, run.Code, qt.Equals, uint16(result.OK), qt.Commentf("%v", run.Detail))
	qt.Assert(t, run.Body, qt.Equals, `"answer to item"`)
}
