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

// driver carries commands out at once: it dials, and answers state pages and
// DELETE, except where told not to.
type driver struct {
	*Searcher
	now    time.Duration
	next   WorkID
	log    []Command
	silent map[ConnID]bool
	// unknown answers each DELETE as for work that the upstream does not have.
	unknown bool
}

func newDriver(t *testing.T) *driver {
	t.Helper()
	s, err := New(testConfig)
	qt.Assert(t, err, qt.IsNil)
	d := &driver{Searcher: s, silent: make(map[ConnID]bool)}
	d.do(s.SetGrant(0, assign.Grant{Share: assign.ShareFull}))
	return d
}

func (d *driver) do(commands []Command) {
	for _, c := range commands {
		d.log = append(d.log, c)
		switch {
		case d.silent[c.Conn]:
		case c.Action == Open:
			d.do(d.Opened(d.now, c.Conn))
		case c.Action == Poll:
			d.do(d.Ended(d.now, c.Conn, Outcome{Kind: Succeeded, Report: &Report{}}))
		case c.Action == Delete && d.unknown:
			d.do(d.Ended(d.now, c.Conn, Outcome{Kind: Unknown}))
		case c.Action == Delete:
			d.do(d.Ended(d.now, c.Conn, Outcome{Kind: Succeeded}))
		}
	}
}

// submit returns the work with its connection, or its refusal.
func (d *driver) submit(left time.Duration) (WorkID, ConnID, *result.Error) {
	d.next++
	d.do(d.Submit(d.now, d.next, d.now+left))
	for _, c := range d.log {
		if c.Work == d.next && c.Action == Dispatch {
			return d.next, c.Conn, nil
		}
		if c.Work == d.next && c.Action == Fail {
			return d.next, 0, c.Err
		}
	}
	return d.next, 0, nil
}

// serve runs one piece of work of the given latency.
func (d *driver) serve(t *testing.T, latency time.Duration) {
	t.Helper()
	_, conn, err := d.submit(time.Second)
	qt.Assert(t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
	d.now += latency
	d.do(d.Ended(d.now, conn, Outcome{Kind: Succeeded, Latency: latency}))
}

func (d *driver) warm(t *testing.T) {
	t.Helper()
	for range 2 * latencyWindow {
		d.serve(t, 10*ms)
	}
	qt.Assert(t, d.State(d.now).Cold, qt.IsFalse)
}

func (d *driver) has(a Action, conn ConnID) bool {
	for _, c := range d.log {
		if c.Action == a && c.Conn == conn {
			return true
		}
	}
	return false
}

// TestRampNeedsEvidenceAtItsAllowance guards against an allowance that grows on
// successes of work dispatched before its last change.
func TestRampNeedsEvidenceAtItsAllowance(t *testing.T) {
	var r ramp
	limits := testConfig.Limits
	r.chill(limits)
	early := r.step
	for range 4 {
		r.succeeded(early, limits)
	}
	qt.Assert(t, r.allowance, qt.Equals, 2)
	for range 20 {
		r.succeeded(early, limits)
	}
	qt.Assert(t, r.allowance, qt.Equals, 2)
	for range 4 {
		r.succeeded(r.step, limits)
	}
	qt.Assert(t, r.allowance, qt.Equals, 3)
	qt.Assert(t, r.cold, qt.IsFalse)
}

// TestHopelessWorkIsRefused guards against work that waits although the queue
// before it and the service time leave it no chance.
func TestHopelessWorkIsRefused(t *testing.T) {
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

// TestExpiredHeadIsDropped guards against a dispatch of work that has waited
// too long, and against it being reported as anything but not run.
func TestExpiredHeadIsDropped(t *testing.T) {
	d := newDriver(t)
	_, conn, _ := d.submit(time.Second) // takes the one cold slot
	waiting, _, err := d.submit(50 * ms)
	qt.Assert(t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
	d.now += 60 * ms
	d.do(d.Ended(d.now, conn, Outcome{Kind: Succeeded, Latency: 60 * ms}))
	last := d.log[len(d.log)-1]
	for _, c := range d.log {
		if c.Work == waiting {
			last = c
		}
	}
	qt.Assert(t, last.Action, qt.Equals, Fail)
	qt.Assert(t, last.Err.Code, qt.Equals, result.DeadlineExceeded)
	qt.Assert(t, last.Err.Run, qt.Equals, result.RunNo)
}

// TestLatencyOutOfRangeTurnsCold guards against a searcher that has become slow
// being given its full slots, and against single stragglers turning it cold.
func TestLatencyOutOfRangeTurnsCold(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	for i := range 4 * latencyWindow {
		if i%4 == 0 {
			d.serve(t, 100*ms)
		} else {
			d.serve(t, 10*ms)
		}
	}
	qt.Assert(t, d.State(d.now).Cold, qt.IsFalse)
	for range 2 * latencyWindow {
		d.serve(t, 100*ms)
	}
	qt.Assert(t, d.State(d.now).Cold, qt.IsTrue)
	for range 40 * latencyWindow { // slow for good
		d.serve(t, 100*ms)
	}
	qt.Assert(t, d.State(d.now).Cold, qt.IsFalse)
}

// TestPageOnlyLowers guards against a page that says that all is well raising
// the allowance, and against one that reports overload being ignored.
func TestPageOnlyLowers(t *testing.T) {
	d := newDriver(t)
	for range 100 {
		d.report(d.now, Report{Load: 0})
	}
	qt.Assert(t, d.State(d.now).Allowance, qt.Equals, 1)
	qt.Assert(t, d.State(d.now).Cold, qt.IsTrue)
	d.warm(t)
	d.report(d.now, Report{Load: 1.5})
	qt.Assert(t, d.State(d.now).Allowance, qt.Equals, 2)
	for range 5 {
		d.report(d.now, Report{Load: 1.5})
	}
	qt.Assert(t, d.State(d.now).Allowance, qt.Equals, 1)
}

// TestDrainingOutlastsLaggingPage guards against a page from before the
// upstream began to drain ending the draining at once.
func TestDrainingOutlastsLaggingPage(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	_, conn, _ := d.submit(time.Second)
	d.do(d.Ended(d.now, conn, Outcome{Kind: Refused}))
	d.now += pollInterval
	d.do(d.Tick(d.now))
	_, _, err := d.submit(time.Second)
	qt.Assert(t, err.Code, qt.Equals, result.UpstreamDraining)
	d.now += drainingHold
	d.do(d.Tick(d.now))
	qt.Assert(t, d.State(d.now).Draining, qt.IsFalse)
	qt.Assert(t, d.State(d.now).Cold, qt.IsTrue)
}

// TestSilentConnection guards against a connection that never delivers the
// reply of work that has ended being kept, and against its siblings being used
// before they were tested.
func TestSilentConnection(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	quietWork, quiet, _ := d.submit(time.Second)
	var siblings []ConnID
	for range 2 {
		_, conn, _ := d.submit(time.Second)
		siblings = append(siblings, conn)
	}
	for _, conn := range siblings {
		d.do(d.Ended(d.now, conn, Outcome{Kind: Succeeded, Latency: 10 * ms}))
	}
	d.unknown = true
	d.do(d.Cancel(d.now, quietWork)) // DELETE is answered on another connection
	qt.Assert(t, d.State(d.now).Running, qt.Equals, 1)
	d.unknown = false
	d.now += deleteRetry
	d.do(d.Tick(d.now))
	qt.Assert(t, d.State(d.now).Running, qt.Equals, 0)
	qt.Assert(t, d.has(Close, quiet), qt.IsFalse)
	d.log = nil
	for _, c := range d.conns {
		d.silent[c.id] = true
	}
	d.now += silenceBound
	d.do(d.Tick(d.now))
	qt.Assert(t, d.has(Close, quiet), qt.IsTrue)
	for range 2 {
		_, conn, err := d.submit(time.Second)
		qt.Assert(t, err == nil, qt.IsTrue)
		qt.Assert(t, siblings, qt.Not(qt.Contains), conn)
	}
	for _, conn := range siblings {
		qt.Assert(t, d.has(Poll, conn), qt.IsTrue)
	}
	d.now += silenceBound
	d.do(d.Tick(d.now))
	for _, conn := range siblings {
		qt.Assert(t, d.has(Close, conn), qt.IsTrue)
	}
}

// TestUnknownWorkCounts guards against the slot of a request that is still under
// way being given to another, however long it takes.
func TestUnknownWorkCounts(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	d.unknown = true
	work, _, _ := d.submit(time.Second)
	end := d.now + time.Second + Guard
	d.do(d.Cancel(d.now, work))
	for ; d.now < end; d.now += deleteRetry {
		d.do(d.Tick(d.now))
		qt.Assert(t, d.State(d.now).Running, qt.Equals, 1, qt.Commentf("%v", d.now))
	}
	d.do(d.Tick(d.now))
	qt.Assert(t, d.State(d.now).Running, qt.Equals, 0)
}

// TestTurnsCold guards against full slots being used after a sign that the
// upstream may have restarted or has too much work.
func TestTurnsCold(t *testing.T) {
	signs := map[string]func(d *driver, conn ConnID) []Command{
		"connection broken":    func(d *driver, c ConnID) []Command { return d.Ended(d.now, c, Outcome{Kind: Broken}) },
		"stale connection":     func(d *driver, c ConnID) []Command { return d.Ended(d.now, c, Outcome{Kind: NotWritten, Closed: true}) },
		"shed":                 func(d *driver, c ConnID) []Command { return d.Ended(d.now, c, Outcome{Kind: Shed}) },
		"idle connection lost": func(d *driver, _ ConnID) []Command { return d.Lost(d.now, d.idle().id) },
		"dial failed": func(d *driver, _ ConnID) []Command {
			d.open(d.now, false)
			return d.OpenFailed(d.now, d.lastConn)
		},
		"back in service": func(d *driver, _ ConnID) []Command {
			d.do(d.Block(d.now, result.NotRun(result.DomainOut, "")))
			return d.Unblock(d.now)
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			d.warm(t)
			_, conn, _ := d.submit(time.Second)
			_, other, _ := d.submit(time.Second)
			d.do(d.Ended(d.now, other, Outcome{Kind: Succeeded, Latency: 10 * ms}))
			d.do(sign(d, conn))
			qt.Assert(t, d.State(d.now).Cold, qt.IsTrue)
			qt.Assert(t, d.State(d.now).Allowance, qt.Equals, 1)
		})
	}
}

// TestConnectionsAheadOfNeed guards against work that waits for a new
// connection although a slot is free.
func TestConnectionsAheadOfNeed(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	d.log = nil
	for range testConfig.Limits.Slots {
		_, conn, err := d.submit(time.Second)
		qt.Assert(t, err == nil, qt.IsTrue)
		qt.Assert(t, conn, qt.Not(qt.Equals), ConnID(0))
	}
	for _, c := range d.log {
		qt.Assert(t, c.Action == Open, qt.IsFalse)
	}
}

// TestWarmOnlyGrant guards against a dispatch to a cold searcher under a grant
// that admits only warm ones.
func TestWarmOnlyGrant(t *testing.T) {
	d := newDriver(t)
	d.do(d.SetGrant(d.now, assign.Grant{Share: assign.ShareFull, WarmOnly: true}))
	_, _, err := d.submit(time.Second)
	qt.Assert(t, err != nil, qt.IsTrue)
	qt.Assert(t, err.Code, qt.Equals, result.NoRight)
}

// TestShrunkGrantOnlyDrains guards against work running above a shrunk grant
// being interrupted or added to.
func TestShrunkGrantOnlyDrains(t *testing.T) {
	d := newDriver(t)
	d.warm(t)
	var conns []ConnID
	for range 3 {
		_, conn, _ := d.submit(time.Second)
		conns = append(conns, conn)
	}
	d.log = nil
	d.do(d.SetGrant(d.now, assign.Grant{Share: assign.ShareWithoutReserve}))
	waiting, conn, err := d.submit(time.Second)
	qt.Assert(t, err == nil, qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, conn, qt.Equals, ConnID(0))
	d.do(d.Ended(d.now, conns[0], Outcome{Kind: Succeeded, Latency: 10 * ms}))
	qt.Assert(t, d.State(d.now).Running, qt.Equals, 2)
	d.do(d.Ended(d.now, conns[1], Outcome{Kind: Succeeded, Latency: 10 * ms}))
	qt.Assert(t, d.State(d.now).Running, qt.Equals, 2)
	qt.Assert(t, d.work(waiting), qt.IsNotNil)
	for _, c := range d.log {
		qt.Assert(t, c.Action == Fail, qt.IsFalse)
	}
}
