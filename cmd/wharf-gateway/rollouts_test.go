package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// rolloutSite is a deployment of processes, one in each failure domain and thus all leaders, with
// searchers of a service in two versions and a steady load.
type rolloutSite struct {
	*deployment
	t         *testing.T
	ledger    *site.Ledger
	processes []*gatewayProcess
	// old and new are the searchers of the versions v1 and v2.
	old, new []*site.Searcher
	// bad counts the answers that were not 200.
	sent, bad atomic.Int64
	orderedAt time.Time
}

// newRolloutSite starts the processes, the searchers of v1, the load, and beside them the searchers
// of v2.
func newRolloutSite(t *testing.T) *rolloutSite {
	t.Helper()
	s := &rolloutSite{deployment: newDeployment(t), t: t, ledger: &site.Ledger{}}
	store := httptest.NewServer(s.store)
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	s.old = s.startSearchersOf("one", "old", 8, s.ledger, 10*time.Millisecond)
	s.configure(1, "/r/")
	var seeds []string
	for _, domain := range []string{"a", "b", "c"} {
		p := startProcess(t, strings.TrimPrefix(store.URL, "http://"), func(n *site.Node) {
			n.Domain, n.Seeds = domain, append([]string(nil), seeds...)
			n.CanaryShare, n.CanarySlack, n.RollbackMs = 0.1, 50, 5000
		})
		seeds = append(seeds, p.node.Exchange)
		s.processes = append(s.processes, p)
	}
	for _, p := range s.processes {
		eventually(t, "a process does not serve", func() bool { return p.status("/r/x") == http.StatusOK })
	}
	done := make(chan struct{})
	var callers sync.WaitGroup
	for _, p := range s.processes {
		callers.Go(func() { s.load(p, done) })
	}
	t.Cleanup(func() { close(done); callers.Wait() })
	time.Sleep(leaderStartDelay + time.Second) // the leaders know each other, the median latency is known
	for _, domain := range []string{"a", "b"} {
		n, err := site.StartSearcher("new-"+domain, "one", domain, 10*time.Millisecond, 8, s.ledger)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(n.Stop)
		n.Version = "v2"
		s.new = append(s.new, n)
		s.store.Put("servers", n.ID, n.Entry("ready"))
	}
	time.Sleep(500 * time.Millisecond)
	qt.Assert(t, s.runsOfNew(), qt.Equals, 0, qt.Commentf("a version got requests without an order"))
	return s
}

// load sends 25 requests a second to a process until done is closed.
func (s *rolloutSite) load(p *gatewayProcess, done chan struct{}) {
	c := site.NewCaller()
	defer c.Close()
	ticker := time.NewTicker(40 * time.Millisecond)
	defer ticker.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		requests.Go(func() {
			answer, err := c.Ask(s.t.Context(), p.node.Callers, http.MethodGet, "/r/x", fmt.Sprint(p.node.Name, "-", n), requestDeadline)
			s.sent.Add(1)
			if err != nil || answer.Status != http.StatusOK {
				s.bad.Add(1)
			}
		})
	}
}

// order orders v2.
func (s *rolloutSite) order(duration time.Duration) {
	s.orderedAt = time.Now()
	s.store.Put("rollouts", "one", map[string]any{"backend": "one", "target_version": "v2", "duration_s": duration.Seconds()})
}

// runsOfNew returns how many requests ran on searchers of v2.
func (s *rolloutSite) runsOfNew() int {
	n := 0
	for _, r := range s.ledger.Runs() {
		if strings.HasPrefix(r.Searcher, "new-") {
			n++
		}
	}
	return n
}

// state returns the state and the phase of the order.
func (s *rolloutSite) state() (state, phase string) {
	var status struct{ State, Phase string }
	_ = json.Unmarshal(s.store.Status("rollouts", "one"), &status) // empty before the first write
	return status.State, status.Phase
}

// awaitState waits until the order has ended and checks how and when.
func (s *rolloutSite) awaitState(want string, within time.Duration) {
	s.t.Helper()
	eventuallyWithin(s.t, "the order has not ended", within+time.Second, func() bool {
		state, _ := s.state()
		return state == "completed" || state == "rolled_back"
	})
	state, _ := s.state()
	after := time.Since(s.orderedAt)
	s.t.Logf("%s after %v, %d runs on the new version, %d of %d answers bad", s.store.Status("rollouts", "one"), after, s.runsOfNew(), s.bad.Load(), s.sent.Load())
	qt.Assert(s.t, state, qt.Equals, want)
	qt.Assert(s.t, after <= within, qt.IsTrue)
}

func eventuallyWithin(t *testing.T, failure string, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal(failure)
}

// stopOld stops the searchers of v1 at once and removes their entries, as the platform does.
func (s *rolloutSite) stopOld() {
	for _, o := range s.old {
		s.store.Remove("servers", o.ID)
		o.Stop()
	}
}

// TestRolloutGood guards against a good version that is not completed in time although the answers of
// the store to writes are lost, and a completion by which requests are lost on the searchers that
// stop with it.
func TestRolloutGood(t *testing.T) {
	t.Parallel()
	s := newRolloutSite(t)
	qt.Assert(t, s.bad.Load(), qt.Equals, int64(0))
	s.store.SetFaults(site.StoreFaults{LoseWrites: true})
	s.order(12 * time.Second)
	s.awaitState("completed", 12*time.Second)
	s.stopOld()
	ran := s.runsOfNew()
	time.Sleep(time.Second)
	qt.Assert(t, s.runsOfNew() > ran+30, qt.IsTrue)
	qt.Assert(t, s.bad.Load(), qt.Equals, int64(0))
}

// TestRolloutLeaderKilled guards against an order that stands still when a leader dies between a write
// and its answer, and requests to a new version while the store is away.
func TestRolloutLeaderKilled(t *testing.T) {
	t.Parallel()
	s := newRolloutSite(t)
	s.order(16 * time.Second)
	eventually(t, "the order does not run", func() bool { state, _ := s.state(); return state == "running" })
	time.Sleep(2 * time.Second)
	s.store.SetFaults(site.StoreFaults{Down: true})
	time.Sleep(3 * time.Second) // longer than a version gets requests without contact
	ran := s.runsOfNew()
	time.Sleep(time.Second)
	qt.Assert(t, s.runsOfNew(), qt.Equals, ran, qt.Commentf("the new version gets requests although the store is away"))
	s.store.SetFaults(site.StoreFaults{LoseWrites: true})
	eventuallyWithin(t, "the version is not promoted", 10*time.Second, func() bool { _, phase := s.state(); return phase == "promote" })
	s.processes[0].signal(syscall.SIGKILL)
	s.awaitState("completed", 16*time.Second)
}

// TestRolloutBad guards against a bad version that is not rolled back, or that gets more requests
// than the bounds allow or later than allowed. A version can fail or be slow.
func TestRolloutBad(t *testing.T) {
	for name, faults := range map[string]site.SearcherFaults{"fails": {Fail: 0.6}, "slow": {Slow: 0.8, SlowFactor: 8}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRolloutSite(t)
			for _, n := range s.new {
				n.SetFaults(faults)
			}
			s.order(12 * time.Second)
			s.awaitState("rolled_back", 12*time.Second)
			time.Sleep(500 * time.Millisecond)
			ran := s.runsOfNew()
			qt.Assert(t, ran <= 50+int(s.sent.Load()/10), qt.IsTrue)
			time.Sleep(time.Second)
			qt.Assert(t, s.runsOfNew(), qt.Equals, ran)
			log, err := os.ReadFile(s.processes[0].log)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(log), qt.Contains, "new version is bad")
		})
	}
}

// TestNoRolloutsWithoutShare guards against a deployment without roll-outs that follows their orders.
func TestNoRolloutsWithoutShare(t *testing.T) {
	for _, share := range []float64{0, 0.1} {
		ip := instanceIP(lastInstanceNumber.Add(1))
		s, err := newService(&platform.InstanceSettings{
			Name: "n", IP: ip, FailureDomain: "a", StoreAddress: "127.0.0.1:1", ExchangeAddress: ip + ":1", CallerAddress: ip + ":2",
			InternalPorts: [2]int{firstInternalPort, firstInternalPort + 9}, Bounds: platform.Bounds{CanaryShare: share},
		}, slog.New(slog.DiscardHandler))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.mirrors[platform.KindRollouts] != nil, qt.Equals, share > 0)
		qt.Assert(t, s.rollouts != nil, qt.Equals, share > 0)
	}
}
