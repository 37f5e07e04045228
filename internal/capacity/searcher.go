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
func (b *bench) searchers() error {
	t := &slope.Table{
		Title: "A broker with idle searchers, without connections to them", Size: "searcher",
		Columns: []string{"memory bytes", "us of processor/s"},
	}
	for range repeats {
		for _, shards := range []int{15, 50, 200} {
			if err := b.ownSearchers(t, shards); err != nil {
				return err
			}
		}
	}
	show(t)
	return nil
}

func (b *bench) ownSearchers(t *slope.Table, shards int) error {
	files, err := b.files(1, shards)
	if err != nil {
		return err
	}
	item, err := revisionItem(files, 1)
	if err != nil {
		return err
	}
	state := control.NewState()
	if err := offerAll(state, item); err != nil {
		return err
	}
	for _, name := range homes {
		if err := offerAll(state, itemOf(control.PrefixDomain+name, 1, 1, record(1))); err != nil {
			return err
		}
	}
	before := heldBytes()
	owning, err := broker.New(broker.Config{
		ID: processID(0), State: state, Ownership: nothing{}, Clock: clock.System{}, Log: quiet, Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = owning.Run(ctx)
	}()
	defer func() { cancel(); <-done }()
	if err := until(func() bool { return len(owning.Status()) == 3*shards }); err != nil {
		return err
	}
	memory := heldBytes() - before
	t.Add(float64(3*shards), memory, idleMicros())
	return nil
}

// idleMicros returns the processor time per second of what runs by itself.
func idleMicros() float64 {
	before := processorTime()
	time.Sleep(idlePeriod)
	return float64((processorTime() - before).Microseconds()) / idlePeriod.Seconds()
}

func offerAll(state *control.State, items ...control.Item) error {
	for _, item := range items {
		if _, err := state.Offer(item); err != nil {
			return err
		}
	}
	return nil
}

// status measures an entry's subscription to a broker.
func (b *bench) status() error {
	t := &slope.Table{
		Title: "A status of a broker's searchers (encoded, sent, received, taken by an entry; both ends)", Size: "searcher",
		Columns: []string{"us/status", "frame bytes/status", "entry memory bytes"},
	}
	for range repeats {
		for _, size := range []int{45, 500, 5000} {
			if err := b.subscribe(t, size); err != nil {
				return err
			}
		}
	}
	show(t)
	return nil
}

// statuses is the number of statuses of which the processor time is taken.
const statuses = 50

func (b *bench) subscribe(t *slope.Table, size int) error {
	frame := statusOf(size)
	// The source sends one status, then many after the signal, then waits.
	first, signal, sent := make(chan struct{}), make(chan struct{}), make(chan struct{})
	source, err := b.network.listen(map[peer.Kind]peer.Handler{peer.KindStatus: func(ctx context.Context, s *peer.Stream) error {
		var request peer.StatusRequest
		if err := s.Receive(&request); err != nil {
			return err
		}
		if err := s.Send(frame); err != nil {
			return err
		}
		close(first)
		// The entry gives a silent subscription up, so the signal comes soon.
		<-signal
		for range statuses {
			if err := s.Send(frame); err != nil {
				return err
			}
		}
		close(sent)
		<-ctx.Done()
		return nil
	}})
	if err != nil {
		return err
	}
	defer source.Close()
	client, err := b.network.listen(nil)
	if err != nil {
		return err
	}
	defer client.Close()
	state := control.NewState()
	r := record(1)
	r.Members[0].Address = source.Address()
	if err := offerAll(state, itemOf(control.PrefixDomain+"x", 1, 1, r)); err != nil {
		return err
	}
	before := heldBytes()
	e, err := entry.New(entry.Config{ID: "entry", State: state, Node: client, Clock: clock.System{}, Log: quiet, Registry: prometheus.NewRegistry()})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	defer func() { cancel(); <-done }()
	<-first
	micros, err := microsOf(1, func(int) error {
		close(signal)
		<-sent
		return nil
	})
	if err != nil {
		return err
	}
	t.Add(float64(size), micros/statuses, float64(frameBytes(frame)), heldBytes()-before)
	return nil
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
func (b *bench) connections() error {
	t := &slope.Table{
		Title: "Idle peer connections (both ends in this process)", Size: "connection",
		Columns: []string{"memory bytes", "us of processor/s"},
	}
	for range repeats {
		for _, size := range []int{10, 40, 120} {
			if err := b.connect(t, size); err != nil {
				return err
			}
		}
	}
	show(t)
	return b.idleBytes()
}

// echo answers a heartbeat frame without a coordinator.
var echo = map[peer.Kind]peer.Handler{peer.KindHeartbeat: func(_ context.Context, s *peer.Stream) error {
	var beat peer.Heartbeat
	if err := s.Receive(&beat); err != nil {
		return err
	}
	return s.Send(&peer.HeartbeatReply{})
}}

func (b *bench) connect(t *slope.Table, size int) error {
	client, err := b.network.listen(nil)
	if err != nil {
		return err
	}
	defer client.Close()
	var targets []*peer.Node
	defer func() {
		for _, target := range targets {
			_ = target.Close()
		}
	}()
	for range size {
		target, err := b.network.listen(echo)
		if err != nil {
			return err
		}
		targets = append(targets, target)
	}
	idle, before := idleMicros(), heldBytes()
	if _, err := microsOf(size, func(i int) error { return greet(client, targets[i].Address()) }); err != nil {
		return err
	}
	memory := heldBytes() - before
	t.Add(float64(size), memory, idleMicros()-idle)
	return nil
}

func greet(client *peer.Node, address string) error {
	ctx, cancel := timeout(5 * time.Second)
	defer cancel()
	return client.Call(ctx, address, peer.KindHeartbeat, &peer.Heartbeat{}, &peer.HeartbeatReply{})
}

// idleBytes counts the UDP payload of one connection that carries only
// keep-alive packets, and that of the handshake and first call.
func (b *bench) idleBytes() error {
	target, err := b.network.listen(echo)
	if err != nil {
		return err
	}
	defer target.Close()
	client, err := b.network.listen(nil)
	if err != nil {
		return err
	}
	defer client.Close()
	r, err := newRelay(target.Address())
	if err != nil {
		return err
	}
	defer r.close()
	if err := greet(client, r.address()); err != nil {
		return err
	}
	time.Sleep(idlePeriod)
	opened := r.bytes()
	const seconds = 4
	time.Sleep(seconds * time.Second)
	fmt.Printf("\nUDP payload of a connection: %d bytes for the handshake, one call and the first second, then idle %.0f bytes/s (both directions)\n",
		opened, float64(r.bytes()-opened)/seconds)
	return nil
}
