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
	received chan []balance.Report
}

// startNode runs an exchange at an IP address of its own, with the ports that all nodes use.
// Its heartbeats carry the given reports.
func startNode(t *testing.T, name, domain, ip, port, heartbeatPort string, reports ...balance.Report) *node {
	t.Helper()
	n := &node{received: make(chan []balance.Report, 100)}
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
		Reports:   func(int) []balance.Report { return reports },
		OnReports: func(r []balance.Report) { n.received <- r },
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

// freePorts returns two ports that are free at the IP address of the first node.
func freePorts(t *testing.T) (port, heartbeatPort string) {
	t.Helper()
	ports, err := site.FreePorts("127.78.0.1", 2)
	qt.Assert(t, err, qt.IsNil)
	return strconv.Itoa(ports[0]), strconv.Itoa(ports[1])
}

// listing returns a listing at a revision. Its objects have consecutive revisions, and the
// last one has that of the listing.
func listing(revision int64, names ...string) platform.Listing {
	l := platform.Listing{Revision: revision}
	for i, name := range names {
		l.Objects = append(l.Objects, platform.StoredObject{Name: name, Revision: revision - int64(len(names)-1-i), Spec: []byte("{}")})
	}
	return l
}

// TestUnknownSender guards against an instance that ignores the heartbeats of another one,
// because it has not seen the other's entry yet, until it next reads the store. It must fetch
// the entry from the sender.
func TestUnknownSender(t *testing.T) {
	port, heartbeatPort := freePorts(t)
	first := startNode(t, "a1", "a", "127.78.0.1", port, heartbeatPort)
	second := startNode(t, "a2", "a", "127.78.0.2", port, heartbeatPort)
	first.mirror.ApplyListing(listing(5, "a1"))
	second.mirror.ApplyListing(listing(6, "a1", "a2"))
	for end := time.Now().Add(20 * time.Second); first.mirror.NewestChange() < 6; time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("the entry of the sender was not fetched"))
	}
}

// TestReports guards against reports about searchers that are lost or changed on the way, and
// against reports that are sent to other failure domains, which reach a searcher over another
// network path.
func TestReports(t *testing.T) {
	port, heartbeatPort := freePorts(t)
	sent := balance.Report{Searcher: "s", Answered: 2, Failed: 1, MeanLatency: 30 * time.Millisecond}
	from := startNode(t, "a1", "a", "127.78.0.1", port, heartbeatPort, sent)
	near := startNode(t, "a2", "a", "127.78.0.2", port, heartbeatPort)
	far := startNode(t, "b3", "b", "127.78.0.3", port, heartbeatPort)
	for _, n := range []*node{from, near, far} {
		n.mirror.ApplyListing(listing(3, "a1", "a2", "b3"))
	}
	deadline := time.After(20 * time.Second)
	for got := false; !got; {
		select {
		case r := <-near.received:
			got = len(r) > 0
			qt.Assert(t, !got || r[0] == sent, qt.IsTrue, qt.Commentf("%+v", r))
		case <-deadline:
			t.Fatal("no report")
		}
	}
	select {
	case r := <-far.received:
		qt.Assert(t, r, qt.HasLen, 0)
	case <-deadline:
		t.Fatal("no heartbeat")
	}
}
