package freshnessexchange_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/datagram"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/freshness"
	"github.com/wisteriawharf/wisteriawharf/freshnessexchange"
)

const (
	step = 20 * time.Millisecond
	// watch is how long a leader's watch waits, with the way to the store and back.
	watch = 520 * time.Millisecond
)

// network carries messages between instances in simulated time and loses some.
type network struct {
	clock    clock.Manual
	random   *rand.Rand
	loss     float64
	members  map[netip.Addr]*member
	all      []*member
	inFlight map[time.Duration][]func()
	sent     map[netip.Addr]int
}

type member struct {
	network   *network
	instance  fleet.Instance
	address   netip.Addr
	instances *fleet.Instances
	exchange  *freshnessexchange.Exchange
	handle    datagram.Handler
	dead      bool
	pollAt    time.Duration
	watchAt   time.Duration
	oldest    time.Duration
}

func (m *member) Handle(_ datagram.Kind, h datagram.Handler) { m.handle = h }

func (m *member) Send(to netip.Addr, _ datagram.Kind, message any) {
	n := m.network
	n.sent[m.address]++
	if n.random.Float64() < n.loss || n.members[to] == nil {
		return
	}
	content, _ := json.Marshal(message) // it has numbers only
	at := n.clock.Boottime() + step
	n.inFlight[at] = append(n.inFlight[at], func() {
		if receiver := n.members[to]; !receiver.dead {
			receiver.handle(m.address, content)
		}
	})
}

// newNetwork returns instances in three failure domains that know each other's entries.
func newNetwork(size int, loss float64) *network {
	n := &network{random: rand.New(rand.NewPCG(1, uint64(size))), loss: loss,
		members: make(map[netip.Addr]*member), inFlight: make(map[time.Duration][]func()), sent: make(map[netip.Addr]int)}
	n.clock.Advance(time.Hour)
	for i := range size {
		address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		m := &member{network: n, address: address, instance: fleet.Instance{
			Name: fmt.Sprintf("i%03d", i), FailureDomain: string(rune('a' + i%3)), InternalAddress: netip.AddrPortFrom(address, 1).String(),
		}}
		m.instances = fleet.NewInstances(m.instance)
		m.pollAt = n.clock.Boottime() + time.Duration(n.random.Int64N(int64(freshness.Interval)))
		m.exchange = freshnessexchange.New(freshnessexchange.Config{
			MaxAge: 3 * time.Second, Applies: func() bool { return true }, WatchesStore: func() bool { return m.watches() },
			Sources: m.instances.FreshnessSources, Fetch: func(netip.Addr) {}, FetchSpread: m.instances.FetchSpread,
			Clock: &n.clock, Log: slog.New(slog.DiscardHandler),
		}, m)
		m.exchange.Hold(1)
		n.members[address] = m
		n.all = append(n.all, m)
	}
	for _, m := range n.all {
		for _, other := range n.all {
			m.instances.Put(other.instance, n.clock.Boottime())
		}
	}
	return n
}

func (m *member) watches() bool { return m.instances.IsLeader(m.network.clock.Boottime()) }

// run advances the time. Heartbeats within failure domains, and from leaders, arrive every half second. Leaders
// watch the store. It records the greatest age at each instance.
func (n *network) run(length time.Duration) {
	for end := n.clock.Boottime() + length; n.clock.Boottime() < end; n.clock.Advance(step) {
		now := n.clock.Boottime()
		for _, deliver := range n.inFlight[now] {
			deliver()
		}
		delete(n.inFlight, now)
		if now%(500*time.Millisecond) == 0 {
			n.sendHeartbeats(now)
		}
		for _, m := range n.all {
			if !m.dead {
				m.step(now)
			}
		}
	}
}

func (n *network) sendHeartbeats(now time.Duration) {
	for _, m := range n.all {
		if m.dead {
			continue
		}
		watches := m.watches()
		for _, other := range n.all {
			if other != m && (other.instance.FailureDomain == m.instance.FailureDomain || watches) {
				other.instances.RecordHeartbeat(m.instance.Name, 0, now, fleet.HeartbeatStatus{Ready: true, StoreReachable: true})
			}
		}
	}
}

func (m *member) step(now time.Duration) {
	if m.watchAt != 0 && now >= m.watchAt+watch {
		m.exchange.Confirm(m.watchAt)
		m.watchAt = 0
	}
	if m.watchAt == 0 && now%(200*time.Millisecond) == 0 && m.watches() {
		m.watchAt = now
	}
	if now >= m.pollAt {
		m.exchange.Poll()
		m.pollAt += freshness.Interval
	}
	if age, known := m.exchange.Age(); known {
		m.oldest = max(m.oldest, age)
	}
}

// oldest returns the greatest age since the last call, at any instance.
func (n *network) oldest(t *testing.T) time.Duration {
	t.Helper()
	oldest := time.Duration(0)
	for _, m := range n.all {
		_, known := m.exchange.Age()
		qt.Assert(t, known || m.dead, qt.IsTrue)
		oldest = max(oldest, m.oldest)
		m.oldest = 0
	}
	return oldest
}

// TestConfigurationStaysFreshInNormalOperation guards against instances that refuse requests although some
// instances reach the store: with lost datagrams, and when a leader dies.
func TestConfigurationStaysFreshInNormalOperation(t *testing.T) {
	const loss, length, margin = 0.1, 12 * time.Second, 500 * time.Millisecond
	limit := freshness.MaxAge(5*time.Second) - margin
	for _, size := range []int{1, 2, 7, 65, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			n := newNetwork(size, loss)
			n.run(2 * time.Second)
			n.oldest(t)
			clear(n.sent)
			n.run(length)
			oldest, most := n.oldest(t), 0
			for _, sent := range n.sent {
				most = max(most, sent)
			}
			t.Logf("%d instances: age at most %s, datagrams of one instance at most %.0f a second", size, oldest, float64(most)/length.Seconds())
			qt.Check(t, oldest < limit, qt.IsTrue, qt.Commentf("%s", oldest))
			if size < 7 {
				return
			}
			n.all[0].dead = true // the leader of one failure domain
			n.run(length)
			oldest = n.oldest(t)
			t.Logf("%d instances, one leader dead: age at most %s", size, oldest)
			qt.Check(t, oldest < limit, qt.IsTrue, qt.Commentf("%s", oldest))
		})
	}
}
