package slot

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAbandonedSlowWorkTurnsCold guards against missing that an upstream turned cold. All
// of its slow work is cancelled after a hedge, long before the reply, so that no slow
// success is ever seen.
func TestAbandonedSlowWorkTurnsCold(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	qt.Assert(t, d.State(d.now).Cold, qt.IsFalse)
	for range latencyWindow {
		id, conn, err := d.submit(time.Second)
		qt.Assert(t, err == nil, qt.IsTrue)
		d.now += 20 * ms
		d.execute(d.Cancel(d.now, id))
		d.execute(d.ExchangeEnded(d.now, conn, Outcome{Kind: Failed}))
	}
	qt.Assert(t, d.State(d.now).Cold, qt.IsTrue)
}

// TestStragglersDoNotTurnCold guards against treating a warm upstream as cold because
// single pieces of its work are slow.
func TestStragglersDoNotTurnCold(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	for range 100 {
		d.runWork(t, 200*ms)
		d.runWork(t, 10*ms)
		d.runWork(t, 10*ms)
	}
	qt.Assert(t, d.State(d.now).Cold, qt.IsFalse)
}

// TestCancelledWorkEndsColdStart guards against a cold start that never ends. A cold
// upstream is slow, so requesters hedge and cancel its work; if a DELETE were sent at once,
// no work would complete and count as a success.
func TestCancelledWorkEndsColdStart(t *testing.T) {
	d := newDriver(t)
	for range 20 * testConfig.Limits.Slots * testConfig.Limits.Cold.StepSuccesses {
		id, conn, err := d.submit(time.Second)
		qt.Assert(t, err == nil, qt.IsTrue)
		d.now += 5 * ms
		cold := d.State(d.now).Cold
		d.execute(d.Cancel(d.now, id))
		d.now += 300 * ms
		d.execute(d.Tick(d.now))
		if !cold {
			break
		}
		qt.Assert(t, d.work(id).deleteSent, qt.IsFalse)
		d.execute(d.ExchangeEnded(d.now, conn, Outcome{Kind: Succeeded, Latency: 10 * ms}))
	}
	qt.Assert(t, d.State(d.now).Cold, qt.IsFalse)
}
