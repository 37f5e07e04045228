package quotaexchange

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/datagram"
	"github.com/wisteriawharf/wisteriawharf/quota"
)

// network delivers messages at once, to the instances by their addresses.
type network struct {
	instances map[netip.Addr]*Exchange
	sent      int
}

// networkEnd is the network as one instance sees it.
type networkEnd struct {
	*network
	self netip.Addr
}

func (n networkEnd) Send(to netip.Addr, _ datagram.Kind, m any) {
	n.sent++
	content, _ := json.Marshal(m)
	if e := n.instances[to]; e != nil && len(content) < datagram.MaxBytes {
		e.Handle(n.self, content)
	}
}

// TestMessages guards against messages where no account has a limit, a quota that the messages do not
// carry to the instances, and a planned stop that leaves it with an instance that ends.
func TestMessages(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(time.Hour)
	n := &network{instances: make(map[netip.Addr]*Exchange)}
	limit, stopping := quota.Limit{}, false
	var all []*Exchange
	var peers []Peer
	for i := range 3 {
		self := netip.AddrFrom4([4]byte{127, 0, 0, byte(i)})
		peers = append(peers, Peer{quota.Member{Name: fmt.Sprint("i", i), FailureDomain: "a", Cores: float64(3 - i)}, self})
		n.instances[self] = New(Config{
			Self: peers[i].Name, StartUnixMs: 1, Socket: networkEnd{n, self}, Bounds: quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
			Peers: func(time.Duration) ([]Peer, int) { return peers, 3 }, Counted: func(_, _ time.Duration) bool { return true },
			Stopping: func() bool { return stopping && i == 0 }, Limited: func() bool { return limit.PerSecond > 0 },
			Limit: func(string) quota.Limit { return limit }, Share: func() (int, float64) { return 1000, 0 },
			Clock: c, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		})
		all = append(all, n.instances[self])
	}
	run := func(d time.Duration) {
		for end := c.Boottime() + d; c.Boottime() < end; c.Advance(quota.AskInterval / 4) {
			for _, e := range all {
				e.tick()
			}
		}
	}
	// admitted returns how many requests of each of some accounts run at once at the last instance.
	admitted := func() (counts []int) {
		for account := range 20 {
			ran := 0
			for all[len(all)-1].Admit(t.Context(), fmt.Sprint(account), limit, time.Second).Decision == quota.Granted && ran < 100 {
				ran++
			}
			counts = append(counts, ran)
		}
		return counts
	}
	run(10 * time.Second)
	qt.Assert(t, n.sent, qt.Equals, 0)
	limit = quota.Limit{PerSecond: 10, Burst: 10, Version: 1}
	run(10 * time.Second)
	for _, ran := range admitted() {
		qt.Check(t, ran >= 10 && ran <= 30, qt.IsTrue, qt.Commentf("%d", ran))
	}
	stopping = true
	run(3 * time.Second)
	all = all[1:] // it has ended
	delete(n.instances, peers[0].Address)
	run(3 * time.Second)
	for _, ran := range admitted() { // at least half of what two of three instances earn in 1.5 s
		qt.Check(t, ran >= 5, qt.IsTrue, qt.Commentf("%d", ran))
	}
}
