package main

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/broker"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/entry"
	"github.com/wisteriawharf/wisteriawharf/internal/slope"
	"github.com/wisteriawharf/wisteriawharf/peer"
)

// nothing grants no dispatch, so that a broker opens no connection.
type nothing struct{}

func (nothing) Grant(string) assign.Grant {
	return assign.Grant{Share: assign.ShareNone, WarmOnly: true}
}

// idlePeriod is how long idle work is observed.
const idlePeriod = time.Second

// searchers measures a broker that owns idle searchers.
func (b *bench) searchers() {
	t := &slope.Table{
		Title: "A broker with idle searchers, without connections to them", Size: "searcher",
		Columns: []string{"memory bytes", "us of processor/s"},
	}
	for range repeats {
		for _, shards := range []int{15, 50, 200} {
			b.ownSearchers(t, shards)
		}
	}
	show(t)
}

func (b *bench) ownSearchers(t *slope.Table, shards int) {
	files := b.files(1, shards)
	item, parts := stored(files, 1)
	state := control.NewState()
	take(state, item, parts)
	check(state.Settle())
	for _, name := range homes {
		offerAll(state, itemOf(control.PrefixDomain+name, 1, 1, record(1)))
	}
	before := heldBytes()
	owning := must(broker.New(broker.Config{
		ID: processID(0), State: state, Ownership: nothing{}, Clock: clock.System{}, Log: quiet, Registry: prometheus.NewRegistry(),
	}))
	defer background(owning.Run)()
	until(func() bool { return len(owning.Status()) == 3*shards })
	memory := heldBytes() - before
	t.Add(float64(3*shards), memory, idleMicros())
}

// idleMicros returns the processor time per second of what runs by itself.
func idleMicros() float64 {
	before := processorTime()
	time.Sleep(idlePeriod)
	return float64((processorTime() - before).Microseconds()) / idlePeriod.Seconds()
}

func offerAll(state *control.State, items ...control.Item) {
	for _, item := range items {
		must(state.Offer(item))
	}
}

// status measures an entry's subscription to a broker.
func (b *bench) status() {
	t := &slope.Table{
		Title: "A status of a broker's searchers (encoded, sent, received, taken by an entry; both ends)", Size: "searcher",
		Columns: []string{"us/status", "frame bytes/status", "entry memory bytes"},
	}
	for range repeats {
		for _, size := range []int{45, 500, 5000} {
			b.subscribe(t, size)
		}
	}
	show(t)
}

// statuses is the number of statuses of which the processor time is taken.
const statuses = 50

func (b *bench) subscribe(t *slope.Table, size int) {
	frame := statusOf(size)
	// The source sends one status, then many after the signal, then waits.
	first, signal, sent := make(chan struct{}), make(chan struct{}), make(chan struct{})
	source := b.network.listen(map[peer.Kind]peer.Handler{peer.KindStatus: func(ctx context.Context, s *peer.Stream) error {
		check(s.Receive(&peer.StatusRequest{}))
		check(s.Send(frame))
		close(first)
		// The entry gives a silent subscription up, so the signal comes soon.
		<-signal
		for range statuses {
			check(s.Send(frame))
		}
		close(sent)
		<-ctx.Done()
		return nil
	}})
	defer source.Close()
	client := b.network.listen(nil)
	defer client.Close()
	state := control.NewState()
	r := record(1)
	r.Members[0].Address = source.Address()
	offerAll(state, itemOf(control.PrefixDomain+"x", 1, 1, r))
	before := heldBytes()
	e := must(entry.New(entry.Config{ID: "entry", State: state, Node: client, Clock: clock.System{}, Log: quiet, Registry: prometheus.NewRegistry()}))
	defer background(e.Run)()
	<-first
	micros := microsOf(1, func(int) {
		close(signal)
		<-sent
	})
	t.Add(float64(size), micros/statuses, float64(frameBytes(frame)), heldBytes()-before)
}

// statusOf returns a status of searchers that hold one shard each.
func statusOf(size int) *peer.Status {
	frame := &peer.Status{Broker: processID(0)}
	for i := range size {
		frame.Searchers = append(frame.Searchers, peer.SearcherState{
			Searcher: fmt.Sprintf("searcher-%06d", i), QueueWaitUs: 12345, Free: 2, Usable: true,
			Snapshots: []peer.HeldSnapshot{{
				Index: fmt.Sprintf("index-%06d", i), ID: "s1234567", Number: 1234567, ShardsTotal: 480, Shards: []uint32{uint32(i)},
			}},
		})
	}
	return frame
}

// connections measures idle connections between peers.
func (b *bench) connections() {
	t := &slope.Table{
		Title: "Idle peer connections (both ends in this process)", Size: "connection",
		Columns: []string{"memory bytes", "us of processor/s"},
	}
	for range repeats {
		for _, size := range []int{10, 40, 120} {
			b.connect(t, size)
		}
	}
	show(t)
	b.idleBytes()
}

// echo answers a heartbeat frame without a coordinator.
var echo = map[peer.Kind]peer.Handler{peer.KindHeartbeat: func(_ context.Context, s *peer.Stream) error {
	if err := s.Receive(&peer.Heartbeat{}); err != nil {
		return err
	}
	return s.Send(&peer.HeartbeatReply{})
}}

func (b *bench) connect(t *slope.Table, size int) {
	client := b.network.listen(nil)
	defer client.Close()
	var targets []*peer.Node
	for range size {
		target := b.network.listen(echo)
		defer target.Close()
		targets = append(targets, target)
	}
	idle, before := idleMicros(), heldBytes()
	microsOf(size, func(i int) { call(client, targets[i].Address(), &peer.Heartbeat{}) })
	memory := heldBytes() - before
	t.Add(float64(size), memory, idleMicros()-idle)
}

// idleBytes counts the UDP payload of one connection that carries only
// keep-alive packets, and that of the handshake and first call.
func (b *bench) idleBytes() {
	target := b.network.listen(echo)
	defer target.Close()
	client := b.network.listen(nil)
	defer client.Close()
	r := newRelay(target.Address())
	defer r.close()
	call(client, r.address(), &peer.Heartbeat{})
	time.Sleep(idlePeriod)
	opened := r.bytes()
	const seconds = 4
	time.Sleep(seconds * time.Second)
	fmt.Printf("\nUDP payload of a connection: %d bytes for the handshake, one call and the first second, then idle %.0f bytes/s (both directions)\n",
		opened, float64(r.bytes()-opened)/seconds)
}
