package main

import (
	"context"
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/internal/slope"
	"github.com/wisteriawharf/wisteriawharf/member"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

// coordinator is a member that coordinates a failure domain of its own.
type coordinator struct {
	node  *peer.Node
	state *control.State
	stop  func()
}

// heartbeats measures a coordinator that hears processes, half of them brokers.
func (b *bench) heartbeats() {
	service := must(standin.StartPlatform(standin.PlatformConfig{
		Address: "127.0.0.1:0", Control: "127.0.0.1:0", WriteBudget: 1000, ReadBudget: 1000, Log: quiet,
	}))
	defer service.Close()
	store := must(objectstore.NewHTTP(objectstore.HTTPConfig{Address: service.Address(), Timeout: time.Second, Registry: prometheus.NewRegistry()}))
	cost := &slope.Table{
		Title: "Heartbeats at a coordinator (processor time of both ends; bytes of both directions)", Size: "process",
		Columns: []string{"us/heartbeat", "frame bytes/heartbeat", "UDP bytes/heartbeat"},
	}
	held := &slope.Table{
		Title: "State of a coordinator (half of the processes are brokers, the members of the record)", Size: "process",
		Columns: []string{"roster bytes", "record bytes", "memory bytes"},
	}
	for _, size := range []int{10, 75, 300} {
		for run := range repeats {
			b.heartbeatRun(store, size, run, cost, held)
		}
	}
	show(cost, held)
}

func (b *bench) heartbeatRun(store objectstore.Store, size, run int, cost, held *slope.Table) {
	domain := fmt.Sprintf("domain-%d-%d", size, run)
	c := b.startCoordinator(domain, store)
	defer c.stop()
	client := b.network.listen(nil)
	defer client.Close()
	relay := newRelay(c.node.Address())
	defer relay.close()
	beatTo := func(address string) func(int) {
		return func(i int) {
			request := heartbeatOf(domain, client.Address(), i%size)
			call(client, address, &request)
		}
	}
	beat := beatTo(c.node.Address())
	before := heldBytes()
	// The first round makes the processes known, which changes the roster each
	// time; the second follows the renewal that adds the brokers to the record.
	microsOf(size, beat)
	until(func() bool {
		microsOf(size, beat)
		return len(c.state.View().Records[domain].Members) >= size/2
	})
	memory := heldBytes() - before
	// The relay's own work is kept out of the processor time.
	const beats, counted = 1000, 200
	micros := microsOf(beats, beat)
	relayed := beatTo(relay.address())
	relayed(0)
	bytes := relay.bytes()
	microsOf(counted, relayed)
	request := heartbeatOf(domain, client.Address(), 0)
	frames := 1 + frameBytes(&request) + frameBytes(&peer.HeartbeatReply{Coordinator: true, Epoch: 9, GrantedNs: request.BoottimeNs})
	cost.Add(float64(size), micros, float64(frames), float64(relay.bytes()-bytes)/counted)
	roster, _ := c.state.Item(control.PrefixRoster + domain)
	record, _ := c.state.Item(control.PrefixDomain + domain)
	held.Add(float64(size), float64(len(roster.Value)), float64(len(record.Value)), memory)
}

func heartbeatOf(domain, address string, i int) peer.Heartbeat {
	role := control.RoleBroker
	if i%2 == 1 {
		role = control.RoleEntry
	}
	return peer.Heartbeat{
		ID: processID(i), Role: string(role), Domain: domain, Record: domain, PeerAddress: address,
		CallerAddress: "10.123.123.123:7001", OperatorAddress: "10.123.123.123:7201",
		BoottimeNs: int64(1000 * time.Hour), Epoch: 1,
	}
}

// processID has the length of the identifiers that daemons make.
func processID(i int) string {
	return fmt.Sprintf("broker-domain-%04d-0198f3c2-7f6e-7b1a-9d35-%012d", i, i)
}

func (b *bench) startCoordinator(domain string, store objectstore.Store) *coordinator {
	c := &coordinator{state: control.NewState()}
	// The member needs its address before the node has its handlers.
	handlers := make(map[peer.Kind]peer.Handler)
	node := b.network.listen(handlers)
	config := memberConfig(domain, node.Address(), c.state, store)
	config.Timing = member.DefaultTiming()
	// Exchanges are measured on their own.
	config.Timing.Exchange = time.Hour
	m := must(member.New(config))
	for kind, handler := range m.Handlers() {
		handlers[kind] = handler
	}
	stop := background(func(ctx context.Context) error { return m.Run(ctx, node) })
	c.node = node
	c.stop = func() {
		stop()
		_ = node.Close()
	}
	until(func() bool { return c.state.View().Rosters[domain] != nil })
	return c
}
