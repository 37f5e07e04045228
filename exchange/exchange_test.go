package exchange

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/labstack/echo/v4"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const kind = "instances"

// node is an exchange with a mirror of the instances.
type node struct {
	exchange *Exchange
	mirror   *mirror.Mirror
	heard    chan []balance.Report
}

// start runs an exchange at an address of its own, at the ports that all have. Its
// heartbeats carry the reports.
func start(t *testing.T, name, domain, ip, port, heartbeatPort string, reports ...balance.Report) *node {
	t.Helper()
	n := &node{heard: make(chan []balance.Report, 100)}
	self := fleet.Instance{Name: name, FailureDomain: domain, StartUnixMs: 1, InternalAddress: net.JoinHostPort(ip, port)}
	instances := fleet.NewInstances(self)
	n.mirror = mirror.New(mirror.Config{Kind: kind, OnChange: func(e platform.Event) {
		instances.Put(fleet.Instance{
			Name: e.Object.Name, FailureDomain: string(e.Object.Name[0]), StartUnixMs: 1,
			InternalAddress: net.JoinHostPort("127.78.0."+e.Object.Name[1:], port),
		}, 0)
	}})
	yes := func() bool { return true }
	var err error
	n.exchange, err = Listen(Config{
		Self: self, HeartbeatAddress: net.JoinHostPort(ip, heartbeatPort), Instances: instances,
		Mirrors: map[string]*mirror.Mirror{kind: n.mirror}, InstanceKind: kind,
		Ready: yes, StoreReachable: yes, IsLeader: yes, OnStoreOutage: func() {}, Clock: clock.System{}, Log: slog.New(slog.DiscardHandler),
		Reports: func(int) []balance.Report { return reports },
		OnReports:   func(r []balance.Report) { n.heard <- r },
	})
	qt.Assert(t, err, qt.IsNil)
	server := echo.New()
	n.exchange.Register(server)
	listener, err := net.Listen("tcp", self.InternalAddress)
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = http.Serve(listener, server) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = listener.Close() })
	go n.exchange.Run(ctx)
	return n
}

// freePorts returns two ports that are free at the first address of the tests.
func freePorts(t *testing.T) (port, heartbeatPort string) {
	t.Helper()
	ports, err := site.FreePorts("127.78.0.1", 2)
	qt.Assert(t, err, qt.IsNil)
	return strconv.Itoa(ports[0]), strconv.Itoa(ports[1])
}

func listing(revision int64, names ...string) platform.Listing {
	l := platform.Listing{Revision: revision}
	for i, name := range names {
		l.Objects = append(l.Objects, platform.StoredObject{Name: name, Revision: revision - int64(len(names)-1-i), Spec: []byte("{}")})
	}
	return l
}

// TestUnknownSender guards against instances that ignore each other because one
// started before the other was entered, until somebody asks the store anew.
func TestUnknownSender(t *testing.T) {
	port, heartbeatPort := freePorts(t)
	first := start(t, "a1", "a", "127.78.0.1", port, heartbeatPort)
	second := start(t, "a2", "a", "127.78.0.2", port, heartbeatPort)
	first.mirror.ApplyListing(listing(5, "a1"))
	second.mirror.ApplyListing(listing(6, "a1", "a2"))
	for end := time.Now().Add(20 * time.Second); first.mirror.NewestChange() < 6; time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("the entry of the sender was not fetched"))
	}
}

// TestReports guards against reports of searchers that get lost or changed on the way,
// and against such that are sent to other failure domains, where the way to a searcher
// is another.
func TestReports(t *testing.T) {
	port, heartbeatPort := freePorts(t)
	sent := balance.Report{Searcher: "s", Answered: 2, Failed: 1, MeanLatency: 30 * time.Millisecond}
	from := start(t, "a1", "a", "127.78.0.1", port, heartbeatPort, sent)
	near := start(t, "a2", "a", "127.78.0.2", port, heartbeatPort)
	far := start(t, "b3", "b", "127.78.0.3", port, heartbeatPort)
	for _, n := range []*node{from, near, far} {
		n.mirror.ApplyListing(listing(3, "a1", "a2", "b3"))
	}
	deadline := time.After(20 * time.Second)
	for got := false; !got; {
		select {
		case r := <-near.heard:
			got = len(r) > 0
			qt.Assert(t, !got || r[0] == sent, qt.IsTrue, qt.Commentf("%+v", r))
		case <-deadline:
			t.Fatal("no report")
		}
	}
	select {
	case r := <-far.heard:
		qt.Assert(t, r, qt.HasLen, 0)
	case <-deadline:
		t.Fatal("no heartbeat")
	}
}
