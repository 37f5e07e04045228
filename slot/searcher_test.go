package slot

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const ms = time.Millisecond

var testConfig = Config{QueueLimit: 8, Deadline: time.Second,
	Limits: settings.Limits{Slots: 3, Connections: 6, Cold: settings.Cold{Allowance: 1, StepSuccesses: 4}}}

// driver carries out the commands of a Searcher at once. Every dial, every read of the
// state page and every DELETE succeeds, except where silent or unknown say otherwise.
type driver struct {
	*Searcher
	now      time.Duration
	lastWork WorkID
	executed []Command
	silent   map[ConnID]bool
	// unknown makes the upstream answer every DELETE as if it did not have the work.
	unknown bool
}

func newDriver(t *testing.T) *driver {
	t.Helper()
	s, err := New(testConfig)
	qt.Assert(t, err, qt.IsNil)
	d := &driver{Searcher: s, silent: make(map[ConnID]bool)}
	d.execute(s.SetGrant(0, assign.Grant{Share: assign.ShareFull}))
	return d
}

// execute carries out commands and those that result from them.
func (d *driver) execute(commands []Command) {
	for _, c := range commands {
		d.executed = append(d.executed, c)
		switch {
		case d.silent[c.Conn]:
		case c.Action == Open:
			d.execute(d.Opened(d.now, c.Conn))
		case c.Action == ReadStatePage:
			d.execute(d.ExchangeEnded(d.now, c.Conn, Outcome{Kind: Succeeded, StatePage: &StatePage{}}))
		case c.Action == Delete && d.unknown:
			d.execute(d.ExchangeEnded(d.now, c.Conn, Outcome{Kind: WorkUnknown}))
		case c.Action == Delete:
			d.execute(d.ExchangeEnded(d.now, c.Conn, Outcome{Kind: Succeeded}))
		}
	}
}

// submit submits work that has the given time until its deadline. It returns the work, and
// the connection on which it was dispatched. The connection is zero if the work is queued or
// was refused. If it was refused, the error says why.
func (d *driver) submit(remaining time.Duration) (WorkID, ConnID, *result.Error) {
	d.lastWork++
	d.execute(d.Submit(d.now, d.lastWork, d.now+remaining))
	for _, c := range d.executed {
		if c.Work == d.lastWork && c.Action == Dispatch {
			return d.lastWork, c.Conn, nil
		}
		if c.Work == d.lastWork && c.Action == Fail {
			return d.lastWork, 0, c.Err
		}
	}
	return d.lastWork, 0, nil
}

// runWork submits one piece of work that succeeds after the given latency.
func (d *driver) runWork(t *testing.T, latency time.Duration) {
	t.Helper()
	_, conn, err := d.submit(time.Second)
	qt.Assert(t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
	d.now += latency
	d.execute(d.ExchangeEnded(d.now, conn, Outcome{Kind: Succeeded, Latency: latency}))
}

// warm runs work until the searcher is warm and has learned a typical latency of 10 ms.
func (d *driver) warm(t *testing.T) {
	t.Helper()
	for range 2 * latencyWindow {
		d.runWork(t, 10*ms)
	}
	qt.Assert(t, d.State(d.now).Cold, qt.IsFalse)
}

// hasExecuted reports whether a command with the given action and connection was executed.
func (d *driver) hasExecuted(a Action, conn ConnID) bool {
	for _, c := range d.executed {
		if c.Action == a && c.Conn == conn {
			return true
		}
	}
	return false
}

// TestRampIgnoresSuccessesOfEarlierSteps guards against an allowance that is raised by
// successes of work that was dispatched before its last change.
func TestRampIgnoresSuccessesOfEarlierSteps(t *testing.T) {
	var r ramp
	limits := testConfig.Limits
	r.turnCold(limits)
	early := r.step
	for range 4 {
		r.countSuccess(early, limits)
	}
	qt.Assert(t, r.allowance, qt.Equals, 2)
	for range 20 {
		r.countSuccess(early, limits)
	}
	qt.Assert(t, r.allowance, qt.Equals, 2)
	for range 4 {
		r.countSuccess(r.step, limits)
	}
	qt.Assert(t, r.allowance, qt.Equals, 3)
	qt.Assert(t, r.cold, qt.IsFalse)
}

// TestWorkThatCannotFinishInTimeIsRefused guards against queueing work although the queue
// ahead of it and its own latency make it miss its deadline.
func TestWorkThatCannotFinishInTimeIsRefused(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	_, _, err := d.submit(5 * ms)
	qt.Assert(t, err.Code, qt.Equals, result.TooLate)
	qt.Assert(t, err.Run, qt.Equals, result.RunNo)
	for range 9 { // three run, six wait: 20 ms for all to start, 10 ms to run
		_, _, err := d.submit(time.Second)
		qt.Assert(t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
	}
	_, _, err = d.submit(25 * ms)
	qt.Assert(t, err.Code, qt.Equals, result.TooLate)
	_, _, err = d.submit(60 * ms)
	qt.Assert(t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
}

// TestExpiredQueuedWorkIsNotDispatched guards against dispatching work whose deadline
// passed while it was queued, and against reporting that it may have run.
func TestExpiredQueuedWorkIsNotDispatched(t *testing.T) {
	d := newDriver(t)
	_, conn, _ := d.submit(time.Second) // takes the only slot of a cold searcher
	waiting, _, err := d.submit(50 * ms)
	qt.Assert(t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
	d.now += 60 * ms
	d.execute(d.ExchangeEnded(d.now, conn, Outcome{Kind: Succeeded, Latency: 60 * ms}))
	last := d.executed[len(d.executed)-1]
	for _, c := range d.executed {
		if c.Work == waiting {
			last = c
		}
	}
	qt.Assert(t, last.Action, qt.Equals, Fail)
	qt.Assert(t, last.Err.Code, qt.Equals, result.DeadlineExceeded)
	qt.Assert(t, last.Err.Run, qt.Equals, result.RunNo)
}

// TestLatencyOutOfRangeTurnsCold guards against a searcher that keeps all slots after it
// has become slow, against one that turns cold because of single stragglers, and against
// one that stays cold after its latency has changed permanently.
func TestLatencyOutOfRangeTurnsCold(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	for i := range 4 * latencyWindow {
		if i%4 == 0 {
			d.runWork(t, 100*ms)
		} else {
			d.runWork(t, 10*ms)
		}
	}
	qt.Assert(t, d.State(d.now).Cold, qt.IsFalse)
	for range 2 * latencyWindow {
		d.runWork(t, 100*ms)
	}
	qt.Assert(t, d.State(d.now).Cold, qt.IsTrue)
	for range 40 * latencyWindow { // permanently slow
		d.runWork(t, 100*ms)
	}
	qt.Assert(t, d.State(d.now).Cold, qt.IsFalse)
}

// TestStatePageOnlyLowersAllowance guards against raising the allowance because a state
// page reports no load, and against ignoring a state page that reports overload.
func TestStatePageOnlyLowersAllowance(t *testing.T) {
	d := newDriver(t)
	for range 100 {
		d.applyStatePage(d.now, StatePage{Load: 0})
	}
	qt.Assert(t, d.State(d.now).Allowance, qt.Equals, 1)
	qt.Assert(t, d.State(d.now).Cold, qt.IsTrue)
	d.warm(t)
	d.applyStatePage(d.now, StatePage{Load: 1.5})
	qt.Assert(t, d.State(d.now).Allowance, qt.Equals, 2)
	for range 5 {
		d.applyStatePage(d.now, StatePage{Load: 1.5})
	}
	qt.Assert(t, d.State(d.now).Allowance, qt.Equals, 1)
}

// TestStaleStatePageDoesNotEndDraining guards against treating a draining upstream as
// available because a lagging state page still shows the state before draining began.
func TestStaleStatePageDoesNotEndDraining(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	_, conn, _ := d.submit(time.Second)
	d.execute(d.ExchangeEnded(d.now, conn, Outcome{Kind: RefusedDraining}))
	d.now += pollInterval
	d.execute(d.Tick(d.now))
	_, _, err := d.submit(time.Second)
	qt.Assert(t, err.Code, qt.Equals, result.UpstreamDraining)
	d.now += drainingHold
	d.execute(d.Tick(d.now))
	qt.Assert(t, d.State(d.now).Draining, qt.IsFalse)
	qt.Assert(t, d.State(d.now).Cold, qt.IsTrue)
}

// TestSilentConnectionIsClosed guards against keeping a connection that never delivers the
// reply of work that has ended, and against using the other idle connections before they
// are tested.
func TestSilentConnectionIsClosed(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	silentWork, silentConn, _ := d.submit(time.Second)
	var others []ConnID
	for range 2 {
		_, conn, _ := d.submit(time.Second)
		others = append(others, conn)
	}
	for _, conn := range others {
		d.execute(d.ExchangeEnded(d.now, conn, Outcome{Kind: Succeeded, Latency: 10 * ms}))
	}
	d.unknown = true
	d.execute(d.Cancel(d.now, silentWork)) // DELETE is answered on another connection
	qt.Assert(t, d.State(d.now).Running, qt.Equals, 1)
	d.unknown = false
	d.now += deleteRetryDelay
	d.execute(d.Tick(d.now))
	qt.Assert(t, d.State(d.now).Running, qt.Equals, 0)
	qt.Assert(t, d.hasExecuted(Close, silentConn), qt.IsFalse)
	d.executed = nil
	for _, c := range d.conns {
		d.silent[c.id] = true
	}
	d.now += silenceTimeout
	d.execute(d.Tick(d.now))
	qt.Assert(t, d.hasExecuted(Close, silentConn), qt.IsTrue)
	for range 2 {
		_, conn, err := d.submit(time.Second)
		qt.Assert(t, err == nil, qt.IsTrue)
		qt.Assert(t, others, qt.Not(qt.Contains), conn)
	}
	for _, conn := range others {
		qt.Assert(t, d.hasExecuted(ReadStatePage, conn), qt.IsTrue)
	}
	d.now += silenceTimeout
	d.execute(d.Tick(d.now))
	for _, conn := range others {
		qt.Assert(t, d.hasExecuted(Close, conn), qt.IsTrue)
	}
}

// TestUnknownWorkKeepsSlot guards against giving the slot of work to other work because the
// upstream denied having it in its answer to a DELETE. The request may still be on the way,
// so the slot is kept until DeadlineGrace after the deadline.
func TestUnknownWorkKeepsSlot(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	d.unknown = true
	work, _, _ := d.submit(time.Second)
	end := d.now + time.Second + DeadlineGrace
	d.execute(d.Cancel(d.now, work))
	for ; d.now < end; d.now += deleteRetryDelay {
		d.execute(d.Tick(d.now))
		qt.Assert(t, d.State(d.now).Running, qt.Equals, 1, qt.Commentf("%v", d.now))
	}
	d.execute(d.Tick(d.now))
	qt.Assert(t, d.State(d.now).Running, qt.Equals, 0)
}

// TestSignsOfRestartOrOverloadTurnCold guards against using all slots after a sign that the
// upstream may have restarted or has too much work.
func TestSignsOfRestartOrOverloadTurnCold(t *testing.T) {
	signs := map[string]func(d *driver, conn ConnID) []Command{
		"connection broken": func(d *driver, c ConnID) []Command { return d.ExchangeEnded(d.now, c, Outcome{Kind: Broken}) },
		"stale connection": func(d *driver, c ConnID) []Command {
			return d.ExchangeEnded(d.now, c, Outcome{Kind: NotWritten, Closed: true})
		},
		"shed":                 func(d *driver, c ConnID) []Command { return d.ExchangeEnded(d.now, c, Outcome{Kind: Shed}) },
		"idle connection lost": func(d *driver, _ ConnID) []Command { return d.ConnectionEnded(d.now, d.mostRecentIdle().id) },
		"dial failed": func(d *driver, _ ConnID) []Command {
			d.open(d.now, false)
			return d.OpenFailed(d.now, d.lastConn)
		},
		"back in service": func(d *driver, _ ConnID) []Command {
			d.execute(d.Block(d.now, result.NotRun(result.DomainOut, "")))
			return d.Unblock(d.now)
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			d.warm(t)
			_, conn, _ := d.submit(time.Second)
			_, other, _ := d.submit(time.Second)
			d.execute(d.ExchangeEnded(d.now, other, Outcome{Kind: Succeeded, Latency: 10 * ms}))
			d.execute(sign(d, conn))
			qt.Assert(t, d.State(d.now).Cold, qt.IsTrue)
			qt.Assert(t, d.State(d.now).Allowance, qt.Equals, 1)
		})
	}
}

// TestConnectionsAreOpenedAheadOfNeed guards against work that waits for a new connection
// to be dialled although a slot is free.
func TestConnectionsAreOpenedAheadOfNeed(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	d.executed = nil
	for range testConfig.Limits.Slots {
		_, conn, err := d.submit(time.Second)
		qt.Assert(t, err == nil, qt.IsTrue)
		qt.Assert(t, conn, qt.Not(qt.Equals), ConnID(0))
	}
	for _, c := range d.executed {
		qt.Assert(t, c.Action == Open, qt.IsFalse)
	}
}

// TestWarmOnlyGrant guards against dispatching work to a cold searcher under a grant that
// admits only warm ones.
func TestWarmOnlyGrant(t *testing.T) {
	d := newDriver(t)
	d.execute(d.SetGrant(d.now, assign.Grant{Share: assign.ShareFull, WarmOnly: true}))
	_, _, err := d.submit(time.Second)
	qt.Assert(t, err != nil, qt.IsTrue)
	qt.Assert(t, err.Code, qt.Equals, result.NoRight)
}

// TestShrunkGrantKeepsRunningWork guards against interrupting the work that runs above a
// grant that shrank, and against dispatching more work before enough of it has ended.
func TestShrunkGrantKeepsRunningWork(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	var conns []ConnID
	for range 3 {
		_, conn, _ := d.submit(time.Second)
		conns = append(conns, conn)
	}
	d.executed = nil
	d.execute(d.SetGrant(d.now, assign.Grant{Share: assign.ShareWithoutReserve}))
	waiting, conn, err := d.submit(time.Second)
	qt.Assert(t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, conn, qt.Equals, ConnID(0))
	d.execute(d.ExchangeEnded(d.now, conns[0], Outcome{Kind: Succeeded, Latency: 10 * ms}))
	qt.Assert(t, d.State(d.now).Running, qt.Equals, 2)
	d.execute(d.ExchangeEnded(d.now, conns[1], Outcome{Kind: Succeeded, Latency: 10 * ms}))
	qt.Assert(t, d.State(d.now).Running, qt.Equals, 2)
	qt.Assert(t, d.work(waiting), qt.IsNotNil)
	for _, c := range d.executed {
		qt.Assert(t, c.Action == Fail, qt.IsFalse)
	}
}
