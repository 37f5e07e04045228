package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mixedDomains returns the view of an instance that knows n instances in each of the given
// number of failure domains, the first big ones with 0.8 of a core, the others with 0.2. All of
// its own domain are alive and ready.
func mixedDomains(domains, big, n int, self string) *Instances {
	var s *Instances
	for round := range 2 { // the instance itself comes first
		for d := range domains {
			for i := range n {
				instance := Instance{Name: fmt.Sprintf("%c%03d", 'a'+d, i), FailureDomain: string(rune('a' + d)), StartUnixMs: 1, Cores: 0.2}
				instance.CallerAddress = instance.Name
				if i < big {
					instance.Cores = 0.8
				}
				switch {
				case round == 0 && instance.Name == self:
					s = NewInstances(instance)
				case round == 1 && instance.Name != self:
					s.Put(instance, time.Second)
				}
			}
		}
	}
	s.hearAll(time.Second)
	return s
}

// hearAll records a heartbeat of each instance, with the load that it had.
func (s *Instances) hearAll(now time.Duration) {
	for name, k := range s.known {
		s.RecordHeartbeat(name, 1, now, HeartbeatStatus{Ready: true, StoreReachable: true, Load: k.load})
	}
}

// TestCallersGoToServingInstances plays a domain of 60 instances, three of them big, that lose
// instances and get more load. It guards against callers spread over instances that get a
// request every few seconds, against too few addresses, and against a load that the serving
// instances can't carry.
func TestCallersGoToServingInstances(t *testing.T) {
	now := time.Second
	s := mixedDomains(1, 3, 60, "a030")
	qt.Assert(t, s.CallerAddresses("a", now, true), qt.DeepEquals, []string{"a000", "a001", "a002", "a003"})
	// 57 instances are left, with 11.4 cores. A sixth of that is 1.9.
	for _, lost := range []string{"a000", "a001", "a002"} {
		s.Remove(lost, now)
	}
	qt.Assert(t, s.CallerAddresses("a", now, true), qt.HasLen, 10, qt.Commentf("10 times 0.2 cores"))

	s = mixedDomains(1, 3, 60, "a030")
	s.RecordHeartbeat("a000", 1, now, HeartbeatStatus{Ready: true, Load: 0.8})
	s.RecordHeartbeat("a001", 1, now, HeartbeatStatus{Ready: true, Load: 0.8})
	serving := s.serving("a", now, true)
	capacity := 0.0
	for _, i := range serving {
		capacity += i.Cores
	}
	qt.Assert(t, capacity >= 1.6*loadHeadroom, qt.IsTrue, qt.Commentf("%v cores for a load of 1.6", capacity))
	s.RecordHeartbeat("a000", 1, now, HeartbeatStatus{Ready: true})
	s.RecordHeartbeat("a001", 1, now, HeartbeatStatus{Ready: true})
	qt.Assert(t, len(s.serving("a", now+time.Second, true)) > minServing, qt.IsTrue, qt.Commentf("the load has just ended"))
	s.hearAll(now + 5*loadHalfLife)
	qt.Assert(t, s.serving("a", now+5*loadHalfLife, true), qt.HasLen, minServing)
}

// TestSmallDomainsServeWhole guards against instances that stand by where there are few.
func TestSmallDomainsServeWhole(t *testing.T) {
	for n := 1; n <= minServing; n++ {
		s := mixedDomains(3, 1, n, "a000")
		qt.Assert(t, s.CallerAddresses("a", time.Second, true)[:n], qt.HasLen, n)
		qt.Assert(t, s.SharedBy(time.Second, true), qt.Equals, 3*n)
	}
}

// TestSharesAddUp guards against parts of the budgets that are more than the whole together,
// also while the serving instances change, and against instances with all the load that have
// the part of one that stands by.
func TestSharesAddUp(t *testing.T) {
	const domains, n = 5, 60
	now := time.Second
	views := make(map[string]*Instances)
	for d := range domains {
		for i := range n {
			name := fmt.Sprintf("%c%03d", 'a'+d, i)
			views[name] = mixedDomains(domains, 3, n, name)
		}
	}
	sum := func() float64 {
		total := 0.0
		for _, s := range views {
			total += 1 / float64(s.SharedBy(now, true))
		}
		return total
	}
	qt.Assert(t, sum() <= 1.01, qt.IsTrue, qt.Commentf("%v", sum()))
	qt.Assert(t, views["a000"].SharedBy(now, true) <= 2*domains*minServing, qt.IsTrue)
	// Three of the serving instances of a domain fall silent. Others take their place, while
	// the former ones may still use their parts.
	for _, silent := range []string{"a000", "a001", "a002"} {
		for name, s := range views {
			if name[0] == 'a' && name != silent {
				s.RecordHeartbeat(silent, 1, now, HeartbeatStatus{})
			}
		}
	}
	now += time.Second
	qt.Assert(t, sum() <= 1.01, qt.IsTrue, qt.Commentf("%v", sum()))
}

// TestPositionsAreSpread guards against instances that use their parts of a limit at the same times.
func TestPositionsAreSpread(t *testing.T) {
	for _, n := range []int{1, 3, 20} {
		var serving []float64
		for d := range 3 {
			for i := range n {
				s := mixedDomains(3, 3, n, fmt.Sprintf("%c%03d", 'a'+d, i))
				if s.SharedBy(time.Second, true) <= 3*3*minServing {
					serving = append(serving, s.Position(time.Second))
				}
			}
		}
		slices.Sort(serving)
		for i := range serving {
			gap := 1 - serving[i] + serving[0] // to the first one, which follows the last
			if i+1 < len(serving) {
				gap = serving[i+1] - serving[i]
			}
			qt.Check(t, gap > 0.5/float64(len(serving)) && gap < 2/float64(len(serving)), qt.IsTrue, qt.Commentf("gap of %v between %d of %d instances", gap, len(serving), 3*n))
		}
	}
}
