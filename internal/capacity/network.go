package main

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/member"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/peer"
)

// quiet discards logs, which would be measured otherwise.
var quiet = slog.New(slog.DiscardHandler)

// network makes nodes of one identity on loopback.
type network struct {
	identity *identity.Identity
}

func newNetwork(dir string) *network {
	ca := must(identity.NewDevCA(dir))
	files := must(ca.Issue("capacity", identity.RoleInstance))
	return &network{identity: must(identity.Load(files))}
}

func (n *network) listen(handlers map[peer.Kind]peer.Handler) *peer.Node {
	return must(peer.Listen(peer.Config{Address: "127.0.0.1:0", Identity: n.identity, Handlers: handlers, Log: quiet}))
}

// memberConfig describes a broker of a failure domain at an address.
func memberConfig(domain, address string, state *control.State, store objectstore.Store) member.Config {
	return member.Config{
		Self:  control.Instance{ID: "self", Role: control.RoleBroker, FailureDomain: domain, PeerAddress: address},
		State: state, Store: store, Clock: clock.System{}, Log: quiet, Registry: prometheus.NewRegistry(),
	}
}

// message is a frame whose size is of interest.
type message interface {
	MarshalMsg([]byte) ([]byte, error)
}

// frameBytes returns the size of a frame with its length prefix.
func frameBytes(m message) int {
	const prefix = 4
	return prefix + len(must(m.MarshalMsg(nil)))
}

// relay passes the datagrams of one client to a target and counts them.
type relay struct {
	front, back *net.UDPConn
	// toTarget and toClient count UDP payload.
	toTarget, toClient atomic.Int64
	client             atomic.Pointer[net.UDPAddr]
}

func newRelay(target string) *relay {
	address := must(net.ResolveUDPAddr("udp", target))
	r := &relay{
		front: must(net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})),
		back:  must(net.DialUDP("udp", nil, address)),
	}
	go r.forward()
	go r.backward()
	return r
}

func (r *relay) address() string { return r.front.LocalAddr().String() }

func (r *relay) bytes() int64 { return r.toTarget.Load() + r.toClient.Load() }

func (r *relay) close() {
	_ = r.front.Close()
	_ = r.back.Close()
}

func (r *relay) forward() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.client.Store(from)
		r.toTarget.Add(int64(n))
		_, _ = r.back.Write(buffer[:n])
	}
}

func (r *relay) backward() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := r.back.Read(buffer)
		if err != nil {
			return
		}
		r.toClient.Add(int64(n))
		_, _ = r.front.WriteToUDP(buffer[:n], r.client.Load())
	}
}

// until waits for a condition that a machine reaches soon.
func until(condition func() bool) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	panic("not reached within 20 s")
}

func timeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// call sends a heartbeat frame and waits for the reply.
func call(client *peer.Node, address string, beat *peer.Heartbeat) {
	ctx, cancel := timeout(5 * time.Second)
	defer cancel()
	check(client.Call(ctx, address, peer.KindHeartbeat, beat, &peer.HeartbeatReply{}))
}

// background runs a function until the returned function is called.
func background(run func(ctx context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}
