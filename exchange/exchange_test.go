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

// testInstance is an exchange with a mirror of the instances.
type testInstance struct {
	exchange *Exchange
	mirror   *mirror.Mirror
	received chan []balance.Report
}

// startInstance runs an exchange at an IP address of its own, with the ports that all test
// instances use. Its heartbeats carry the given reports. The name consists of the name of the
// failure domain and the last byte of the IP address, because the other instances derive both
// from it.
func startInstance(t *testing.T, name, domain, ip, port, heartbeatPort string, reports ...balance.Report) *testInstance {
	t.Helper()
	instance := &testInstance{received: make(chan []balance.Report, 100)}
	self := fleet.Instance{Name: name, FailureDomain: domain, StartUnixMs: 1, InternalAddress: net.JoinHostPort(ip, port)}
	instances := fleet.NewInstances(self)
	instance.mirror = mirror.New(mirror.Config{Kind: kind, OnChange: func(e platform.Event) {
		instances.Put(fleet.Instance{
			Name: e.Object.Name, FailureDomain: string(e.Object.Name[0]), StartUnixMs: 1,
			InternalAddress: net.JoinHostPort("127.78.0."+e.Object.Name[1:], port),
		}, clock.System{}.Boottime())
	}})
	yes := func() bool { return true }
	var err error
	instance.exchange, err = Listen(Config{
		Self: self, HeartbeatAddress: net.JoinHostPort(ip, heartbeatPort), Instances: instances,
		Mirrors: map[string]*mirror.Mirror{kind: instance.mirror}, InstanceKind: kind,
		Ready: yes, StoreReachable: yes, IsLeader: yes, OnStoreOutage: func() {}, Clock: clock.System{}, Log: slog.New(slog.DiscardHandler),
		Reports:   func(int) []balance.Report { return reports },
		OnReports: func(r []balance.Report) { instance.received <- r },
	})
	qt.Assert(t, err, qt.IsNil)
	server := echo.New()
	instance.exchange.Register(server)
	listener, err := net.Listen("tcp", self.InternalAddress)
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = http.Serve(listener, server) }()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); _ = listener.Close() })
	go instance.exchange.Run(ctx)
	return instance
}

// freePorts returns two ports that are free at the IP address of the first test instance.
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

// TestUnknownSender guards against an instance that does not know a new instance until it next
// reads the store, and ignores the new one's heartbeats until then. It must fetch the entry
// from the sender of the heartbeat.
func TestUnknownSender(t *testing.T) {
	port, heartbeatPort := freePorts(t)
	first := startInstance(t, "a1", "a", "127.78.0.1", port, heartbeatPort)
	second := startInstance(t, "a2", "a", "127.78.0.2", port, heartbeatPort)
	first.mirror.ApplyListing(listing(5, "a1"))
	second.mirror.ApplyListing(listing(6, "a1", "a2"))
	for end := time.Now().Add(20 * time.Second); first.mirror.NewestChange() < 6; time.Sleep(5 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("the entry of the sender was not fetched"))
	}
}

// TestReports guards against reports about searchers that are lost or changed on the way. It
// also guards against reports that are sent to other failure domains: instances there reach a
// searcher over another network path.
func TestReports(t *testing.T) {
	port, heartbeatPort := freePorts(t)
	sent := balance.Report{Searcher: "s", Answered: 2, Failed: 1, MeanLatency: 30 * time.Millisecond}
	from := startInstance(t, "a1", "a", "127.78.0.1", port, heartbeatPort, sent)
	near := startInstance(t, "a2", "a", "127.78.0.2", port, heartbeatPort)
	far := startInstance(t, "b3", "b", "127.78.0.3", port, heartbeatPort)
	for _, instance := range []*testInstance{from, near, far} {
		instance.mirror.ApplyListing(listing(3, "a1", "a2", "b3"))
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

// TestReportsThroughRelays guards against reports that do not reach every instance of a failure
// domain in which only relays send to all.
func TestReportsThroughRelays(t *testing.T) {
	const size = 12
	port, heartbeatPort := freePorts(t)
	sent := balance.Report{Searcher: "s", Answered: 2, Failed: 1, MeanLatency: 30 * time.Millisecond}
	var all []*testInstance
	var names []string
	for i := range size {
		number := strconv.Itoa(10 + i)
		var reports []balance.Report
		if i == size-1 {
			reports = append(reports, sent)
		}
		names = append(names, "a"+number)
		all = append(all, startInstance(t, "a"+number, "a", "127.78.0."+number, port, heartbeatPort, reports...))
	}
	for _, instance := range all {
		instance.mirror.ApplyListing(listing(size, names...))
	}
	deadline := time.After(20 * time.Second)
	for i, instance := range all[:size-1] {
		for got := false; !got; {
			select {
			case r := <-instance.received:
				got = len(r) > 0
				qt.Assert(t, !got || r[0].Searcher == sent.Searcher && r[0].MeanLatency == sent.MeanLatency, qt.IsTrue, qt.Commentf("%+v", r))
			case <-deadline:
				t.Fatalf("no report at %s", names[i])
			}
		}
	}
}

// TestSeedStartsLater guards against an instance that calls the store because a seed that is
// started together with it does not answer yet.
func TestSeedStartsLater(t *testing.T) {
	port, heartbeatPort := freePorts(t)
	instance := startInstance(t, "a1", "a", "127.78.0.1", port, heartbeatPort)
	instance.exchange.config.Seeds = []string{net.JoinHostPort("127.78.0.2", port)}
	time.AfterFunc(seedStartTime/3, func() {
		seed := startInstance(t, "a2", "a", "127.78.0.2", port, heartbeatPort)
		seed.mirror.ApplyListing(listing(6, "a1", "a2"))
	})
	instance.exchange.FetchFromSeeds(t.Context())
	qt.Assert(t, instance.mirror.Revision(), qt.Equals, int64(6))
}

// TestFetchesAreSpreadAfterStoreRestore guards against an instance that is busy with the fetches of its whole failure domain, while callers wait.
func TestFetchesAreSpreadAfterStoreRestore(t *testing.T) {
	const fetches, slots = 200, 10
	var count [slots]int
	for range fetches {
		delay := fetchDelay(true, 1, 2)
		qt.Assert(t, delay >= 0 && delay < restoreFetchSpread, qt.IsTrue)
		count[delay*slots/restoreFetchSpread]++
	}
	for _, n := range count {
		qt.Check(t, n < fetches/2, qt.IsTrue, qt.Commentf("%v", count))
	}
	qt.Check(t, fetchDelay(true, 1, 1), qt.Equals, time.Duration(0))
	qt.Check(t, fetchDelay(true, 0, 2), qt.Equals, time.Duration(0))
}

// TestStandbyFetchesOnceFromAnySource guards against a change that all instances of a failure domain
// fetch at once and from the same one, whose link then delays the requests of its callers.
func TestStandbyFetchesOnceFromAnySource(t *testing.T) {
	const rounds, spread = 40, 50 * time.Millisecond
	port, heartbeatPort := freePorts(t)
	asked := make(chan string, rounds)
	var sources []string
	for _, ip := range []string{"127.78.0.2", "127.78.0.3"} {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				asked <- ip
				_, _ = w.Write([]byte("{}"))
			}))
		}()
		sources = append(sources, listener.Addr().String())
	}
	instance := startInstance(t, "a1", "a", "127.78.0.1", port, heartbeatPort)
	used := make(map[string]int)
	for range rounds {
		began := time.Now()
		for range 10 {
			for _, source := range sources {
				instance.exchange.fetchLater(kind, mirror.Position{Revision: 9}, source, spread)
			}
		}
		used[<-asked]++
		eventuallyFetched(t, instance.exchange)
		if time.Since(began) < spread {
			time.Sleep(spread - time.Since(began))
		}
		qt.Assert(t, len(asked), qt.Equals, 0)
	}
	qt.Check(t, used, qt.HasLen, 2, qt.Commentf("%v", used))
	instance.mirror.ApplyListing(listing(9, "a1"))
	instance.exchange.fetchLater(kind, mirror.Position{Revision: 9}, sources[0], spread)
	time.Sleep(2 * spread)
	qt.Check(t, len(asked), qt.Equals, 0, qt.Commentf("the changes were there"))
}

// eventuallyFetched waits until no fetch is in progress.
func eventuallyFetched(t *testing.T, x *Exchange) {
	t.Helper()
	for range 1000 {
		x.mu.Lock()
		fetching := x.fetching[kind]
		x.mu.Unlock()
		if !fetching {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("a fetch does not end")
}
