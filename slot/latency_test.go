package slot

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAbandonedSlowWorkTurnsCold guards against an upstream that turns cold unnoticed
// because all its slow work is given up after a hedge, long before its reply.
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

// TestStragglersDoNotTurnCold guards against a warm upstream that is taken as cold
// because of single slow pieces of work.
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

// TestCancelledWorkEndsColdStart guards against a cold upstream that never warms because
// its work is given up after hedges and cancelled before it ends.
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
