package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// connectionPlay plays instances in three failure domains and the connections that they hold to one searcher
// in each, as many as they may. Callers use each instance that another one names, for 5 s.
type connectionPlay struct {
	limit   int
	random  *rand.Rand
	nodes   []*playedInstance
	cut     string // the failure domain that is cut off
	highest int
}

type playedInstance struct {
	Instance
	view     *Instances // nil while it does not run
	readyAt  time.Duration
	calledAt time.Duration
	// open holds its connections by the searcher's failure domain, lost those that the searcher has not
	// seen end since the cut, lostUntil when the searcher ends them.
	open, lost map[string]int
	lostUntil  time.Duration
}

const (
	playStep          = 500 * time.Millisecond
	directoryAge      = 5 * time.Second
	searcherIdle      = 60 * time.Second
	playedUsableShare = 0.9 // of dispatch
)

// start starts a process of an instance that knows the entries of all others.
func (p *connectionPlay) start(i *playedInstance, now time.Duration) {
	i.StartUnixMs = now.Milliseconds() + 1
	i.view, i.readyAt, i.open, i.lost = NewInstances(i.Instance), now+time.Second, map[string]int{}, map[string]int{}
	for _, other := range p.nodes {
		if other != i {
			i.view.Put(other.Instance, now)
			if other.view != nil && p.reach(i.FailureDomain, other.FailureDomain) {
				other.view.Put(i.Instance, now)
			}
		}
	}
}

func (p *connectionPlay) reach(a, b string) bool { return a == b || p.cut != a && p.cut != b }

// step plays half a second.
func (p *connectionPlay) step(now time.Duration) {
	for _, i := range p.nodes {
		for _, other := range p.nodes {
			if i.view == nil || other.view == nil || i == other || !p.reach(i.FailureDomain, other.FailureDomain) || p.random.IntN(4) == 0 ||
				i.FailureDomain != other.FailureDomain && p.random.IntN(10) > 0 {
				continue
			}
			if _, known := other.view.RecordHeartbeat(i.Name, i.StartUnixMs, now, HeartbeatStatus{Ready: now >= i.readyAt, StoreReachable: true}); !known {
				other.view.Put(i.Instance, now)
			}
		}
	}
	for _, i := range p.nodes {
		if i.view == nil {
			continue
		}
		for _, address := range i.view.CallerAddresses(i.FailureDomain, now, now >= i.readyAt) {
			at := slices.IndexFunc(p.nodes, func(n *playedInstance) bool { return n.CallerAddress == address })
			p.nodes[at].calledAt = now
		}
	}
	held := map[string]int{}
	for _, i := range p.nodes {
		if i.view == nil {
			continue
		}
		i.view.SharedBy(now, now >= i.readyAt)
		share := i.view.ConnectionShare(now)
		allowed := max(int(playedUsableShare*float64(p.limit)/float64(share.Instances)), 1)
		called := i.calledAt > 0 && now-i.calledAt <= directoryAge
		for _, domain := range []string{"a", "b", "c"} {
			switch {
			case !p.reach(i.FailureDomain, domain):
				if i.open[domain] > 0 {
					i.lost[domain], i.lostUntil, i.open[domain] = i.open[domain], now+searcherIdle, 0
				}
			case called && now < i.lostUntil:
				i.open[domain] = max(allowed-i.lost[domain], 0) // their ends are not acknowledged
			case called:
				i.open[domain] = allowed
			case share.Standby:
				i.open[domain] = 0
			default:
				i.open[domain] = min(i.open[domain], allowed)
			}
			held[domain] += i.open[domain]
			if now < i.lostUntil {
				held[domain] += i.lost[domain]
			}
		}
	}
	p.highest = max(p.highest, held["a"], held["b"], held["c"])
}

// TestConnectionsStayWithinLimit plays 61 instances, of which more than half restart at once, a failure domain
// is cut off and comes back, and some are added. It guards against more connections to a searcher than it
// accepts, and against an instance that serves and has few of them in normal operation.
func TestConnectionsStayWithinLimit(t *testing.T) {
	for seed, limit := range []int{72, 430} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			t.Parallel()
			p := &connectionPlay{limit: limit, random: rand.New(rand.NewPCG(uint64(seed), 1))}
			add := func(now time.Duration) {
				n := len(p.nodes)
				i := &playedInstance{Instance: Instance{Name: fmt.Sprintf("i%03d", n), FailureDomain: string(rune('a' + n%3)), Cores: 0.2}}
				if p.random.IntN(5) == 0 {
					i.Cores = 0.8
				}
				i.CallerAddress = i.Name
				p.nodes = append(p.nodes, i)
				p.start(i, now)
			}
			for range 61 {
				add(time.Second)
			}
			var restart []*playedInstance
			p.play(t, "start", time.Second, 30*time.Second, func(time.Duration) {})
			normal := 0
			for _, i := range p.nodes {
				if n := i.view.ConnectionShare(30 * time.Second); !n.Standby {
					normal += max(int(playedUsableShare*float64(limit)/float64(n.Instances)), 1)
				}
			}
			qt.Check(t, normal > limit/2, qt.IsTrue, qt.Commentf("%d of %d are used in normal operation", normal, limit))
			p.play(t, "more than half are killed and restart", 30*time.Second, 60*time.Second, func(now time.Duration) {
				for n, i := range p.nodes {
					switch {
					case now == 30*time.Second && p.random.IntN(5) < 3:
						p.nodes[n].view = nil
						restart = append(restart, i)
					case now == 31*time.Second && slices.Contains(restart, i):
						p.start(i, now)
					}
				}
			})
			p.play(t, "a domain is cut off", 60*time.Second, 90*time.Second, func(time.Duration) { p.cut = "c" })
			p.play(t, "the domain comes back", 90*time.Second, 150*time.Second, func(time.Duration) { p.cut = "" })
			p.play(t, "a domain is cut off for long", 150*time.Second, 240*time.Second, func(time.Duration) { p.cut = "c" })
			p.play(t, "the domain comes back late", 240*time.Second, 260*time.Second, func(time.Duration) { p.cut = "" })
			p.play(t, "instances are added", 260*time.Second, 280*time.Second, func(now time.Duration) {
				if now < 262*time.Second {
					add(now)
				}
			})
			p.play(t, "some are lost for good", 280*time.Second, 320*time.Second, func(now time.Duration) {
				for n, i := range p.nodes {
					if now == 280*time.Second && n%4 == 0 {
						i.view = nil
					}
				}
			})
		})
	}
}

// play plays a time and checks the connections.
func (p *connectionPlay) play(t *testing.T, name string, from, to time.Duration, event func(time.Duration)) {
	t.Helper()
	p.highest = 0
	for now := from; now < to; now += playStep {
		event(now)
		p.step(now)
	}
	t.Logf("limit %d, %s: at most %d connections", p.limit, name, p.highest)
	qt.Check(t, p.highest <= p.limit, qt.IsTrue, qt.Commentf("%s: %d connections of %d", name, p.highest, p.limit))
}
