package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulatedDomain is a failure domain whose instances exchange heartbeats without delay.
type simulatedDomain struct {
	names     []string
	instances map[string]*Instances
	dead      map[string]bool
	now       time.Duration
	// sent counts the heartbeats that each instance has sent.
	sent map[string]int
}

const simulatedInterval = 500 * time.Millisecond

func newSimulatedDomain(n int) *simulatedDomain {
	d := &simulatedDomain{instances: make(map[string]*Instances), dead: make(map[string]bool), sent: make(map[string]int), now: time.Minute}
	for i := range n {
		d.names = append(d.names, fmt.Sprintf("i%03d", i))
	}
	for _, self := range d.names {
		s := NewInstances(Instance{Name: self, CallerAddress: self, FailureDomain: "a", StartUnixMs: 1})
		for _, name := range d.names {
			s.Put(Instance{Name: name, CallerAddress: name, FailureDomain: "a", StartUnixMs: 1}, d.now)
		}
		d.instances[self] = s
	}
	return d
}

// run lets all instances send their heartbeats until the duration has passed, each at its own
// moment of the interval.
func (d *simulatedDomain) run(duration time.Duration) {
	step := simulatedInterval / time.Duration(len(d.names))
	for end := d.now + duration; d.now < end; {
		for _, name := range d.names {
			d.now += step
			if !d.dead[name] {
				d.send(name)
			}
		}
	}
}

func (d *simulatedDomain) send(name string) {
	from := d.instances[name]
	for _, target := range from.HeartbeatTargets(d.now, false) {
		d.sent[name]++
		if d.dead[target.Name] {
			continue
		}
		to := d.instances[target.Name]
		to.RecordHeartbeat(name, 1, d.now, HeartbeatStatus{Ready: true, StoreReachable: true})
		if target.Subscribe {
			to.Subscribe(name, d.now)
		}
		if target.Digest {
			to.ApplyDigest(name, from.Digest(d.now), d.now)
		}
	}
}

// checkViews checks that each live instance counts the live instances as alive and ready, and
// only those.
func (d *simulatedDomain) checkViews(t *testing.T) {
	t.Helper()
	for _, name := range d.names {
		if d.dead[name] {
			continue
		}
		for _, other := range d.names {
			if other != name {
				qt.Assert(t, d.hears(name, other), qt.Equals, !d.dead[other], qt.Commentf("%s of %d at %s", other, len(d.names), name))
			}
		}
	}
}

// hears reports whether an instance counts another one as alive and ready.
func (d *simulatedDomain) hears(name, other string) bool {
	s := d.instances[name]
	return s.known[other].aliveAndReady(d.now, s.heartbeatTimeout())
}

// TestHeartbeatsDoNotGrowWithDomain guards against heartbeats whose number grows with the
// square of the failure domain, and against instances that do not hear of each other or of a
// dead one for that reason.
func TestHeartbeatsDoNotGrowWithDomain(t *testing.T) {
	for _, n := range []int{3, maxMeshSize, maxMeshSize + 1, 62, 120} {
		d := newSimulatedDomain(n)
		d.run(5 * time.Second)
		clear(d.sent)
		d.run(10 * simulatedInterval)
		d.checkViews(t)
		total := 0
		for _, sent := range d.sent {
			total += sent
		}
		if n > maxMeshSize {
			// Each instance sends to its relays, and those to all. One relay more is in use,
			// because no instance is its own relay.
			perInstance := relayCount + relayCount + 1
			qt.Assert(t, total <= 10*n*perInstance, qt.IsTrue, qt.Commentf("%d instances sent %d", n, total))
		}
		for _, dead := range []int{0, n / 2, n - 1} { // the last one is a relay
			d.dead[d.names[dead]] = true
			d.run(maxRelayedHeartbeatAge + 2*simulatedInterval)
			d.checkViews(t)
		}
	}
}

// TestLossOfAllRelays guards against instances that no longer hear of each other, even for a
// moment, when all relays are lost together.
func TestLossOfAllRelays(t *testing.T) {
	d := newSimulatedDomain(40)
	d.run(5 * time.Second)
	live := d.names[:len(d.names)-relayCount-1]
	for _, name := range d.names[len(live):] {
		qt.Assert(t, d.instances[name].IsRelay(d.now), qt.IsTrue)
		d.dead[name] = true
	}
	for range 12 {
		d.run(simulatedInterval)
		for _, name := range live {
			for _, other := range live {
				qt.Assert(t, other == name || d.hears(name, other), qt.IsTrue, qt.Commentf("%s at %s", other, name))
			}
		}
	}
	d.checkViews(t)
}

// TestDigestIsNotRepeated guards against a dead instance that relays keep alive by repeating
// what another relay has said of it.
func TestDigestIsNotRepeated(t *testing.T) {
	d := newSimulatedDomain(12)
	d.run(3 * time.Second)
	relay := d.instances["i001"]
	key := digestKey(Instance{Name: "i011", StartUnixMs: 1})
	relay.ApplyDigest("i000", []DigestEntry{{Key: key, Status: HeartbeatStatus{Ready: true}}}, d.now+maxRelayedHeartbeatAge+1)
	for _, e := range relay.Digest(d.now + maxRelayedHeartbeatAge + 1) {
		qt.Assert(t, e.Key, qt.Not(qt.Equals), key)
	}
}

// TestIsolatedInstanceReturns guards against an instance that heard of nobody for longer than
// heartbeats count, because it was cut off or frozen, and then sends heartbeats to nobody.
func TestIsolatedInstanceReturns(t *testing.T) {
	d := newSimulatedDomain(30)
	d.run(3 * time.Second)
	isolated := d.names[20]
	d.dead[isolated] = true
	d.run(10 * time.Second)
	d.dead[isolated] = false
	d.run(3 * time.Second)
	d.checkViews(t)
}

// TestRelaysServeNoCallers guards against requests that wait in the link of their instance behind what
// it sends to the instances for which it is a relay.
func TestRelaysServeNoCallers(t *testing.T) {
	d := newSimulatedDomain(50)
	for _, s := range d.instances {
		for i, name := range d.names {
			if i%17 == 0 { // three are stronger than the others
				s.known[name].instance.Cores = 2 * unknownCores
			}
		}
	}
	d.run(5 * time.Second)
	fetchAtOnce := 0
	for _, name := range d.names {
		s := d.instances[name]
		s.SharedBy(d.now, true)
		serves := slices.Contains(s.CallerAddresses("a", d.now, true), name)
		qt.Check(t, serves && s.IsRelay(d.now), qt.IsFalse, qt.Commentf(name))
		spread := s.FetchSpread(d.now)
		qt.Check(t, spread == 0, qt.Equals, serves || s.IsRelay(d.now), qt.Commentf(name))
		if spread == 0 {
			fetchAtOnce++
		}
	}
	qt.Check(t, fetchAtOnce < len(d.names)/2, qt.IsTrue, qt.Commentf("%d", fetchAtOnce))
	small := newSimulatedDomain(maxMeshSize)
	small.run(simulatedInterval)
	qt.Check(t, small.instances["i000"].FetchSpread(small.now), qt.Equals, time.Duration(0))
}
