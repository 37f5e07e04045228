package detect

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const second = time.Second

func newDetector() *Detector {
	return New(Timing{ProbeAfter: 3 * second / 2, SuspicionTimeout: 3 * second, HeartbeatTimeout: 6 * second})
}

// TestSilenceIsProbedBeforeSuspicion guards against suspecting a process only because
// the coordinator receives no heartbeat: it may be the coordinator that lost contact.
func TestSilenceIsProbedBeforeSuspicion(t *testing.T) {
	d := newDetector()
	d.RecordHeartbeat("a", 0)
	d.RecordHeartbeat("b", second)
	qt.Assert(t, d.DueProbes(second), qt.HasLen, 0)
	qt.Assert(t, d.DueProbes(2*second), qt.DeepEquals, []string{"a"})
	qt.Assert(t, d.DueProbes(2*second), qt.HasLen, 0)
	qt.Assert(t, d.Suspected("a"), qt.IsFalse)
	qt.Assert(t, d.RecordProbe("a", true, 2*second), qt.IsFalse)
	qt.Assert(t, d.Suspected("a"), qt.IsFalse)
	qt.Assert(t, d.DueProbes(4*second), qt.DeepEquals, []string{"a", "b"})
	qt.Assert(t, d.RecordProbe("a", false, 4*second), qt.IsTrue)
	qt.Assert(t, d.Suspected("a"), qt.IsTrue)
	qt.Assert(t, d.Lost(6*second), qt.HasLen, 0)
	qt.Assert(t, d.Lost(7*second), qt.DeepEquals, []string{"a"})
}

// TestHeartbeatEndsSuspicion guards against declaring a process lost that sends heartbeats
// again, and against using the late result of a probe that began before its heartbeat.
func TestHeartbeatEndsSuspicion(t *testing.T) {
	d := newDetector()
	d.Track("a", 0)
	d.DueProbes(2 * second)
	d.RecordHeartbeat("a", 2*second)
	qt.Assert(t, d.RecordProbe("a", false, 2*second), qt.IsFalse)
	d.DueProbes(4 * second)
	d.RecordProbe("a", false, 4*second)
	d.RecordHeartbeat("a", 5*second)
	qt.Assert(t, d.Suspected("a"), qt.IsFalse)
	qt.Assert(t, d.Lost(60*second), qt.HasLen, 0)
	d.Untrack("a")
	qt.Assert(t, d.DueProbes(60*second), qt.HasLen, 0)
}

// TestReachableWithoutHeartbeatIsLost guards against keeping a process for ever because
// other processes reach it, although its heartbeats do not arrive.
func TestReachableWithoutHeartbeatIsLost(t *testing.T) {
	d := newDetector()
	d.RecordHeartbeat("a", 0)
	for at := 2 * second; at < 6*second; at += 2 * second {
		qt.Assert(t, d.DueProbes(at), qt.DeepEquals, []string{"a"})
		qt.Assert(t, d.RecordProbe("a", true, at), qt.IsFalse)
	}
	d.DueProbes(6 * second)
	qt.Assert(t, d.RecordProbe("a", true, 6*second), qt.IsTrue)
	qt.Assert(t, d.Lost(9*second), qt.DeepEquals, []string{"a"})
	d.RecordHeartbeat("a", 9*second)
	qt.Assert(t, d.Lost(9*second), qt.HasLen, 0)
}
