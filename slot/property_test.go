package slot

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// model tracks what is true outside of a Searcher: which work the upstream runs, which
// exchange is in progress on each connection, and the highest allowance that cold start
// can have reached.
type model struct {
	t          *rapid.T
	s          *Searcher
	config     Config
	grant      assign.Grant
	now        time.Duration
	lastWork   WorkID
	deadline   map[WorkID]time.Duration
	running    map[WorkID]bool // at the upstream, whether or not its requester still waits
	exchanges  map[ConnID]Command
	open       map[ConnID]bool // false while dialling
	closing    map[ConnID]time.Duration
	pending    map[WorkID]bool // no Deliver or Fail yet
	dispatches map[WorkID]int  // number of Dispatch commands
	// successes counts the successes that may raise the allowance since the last event
	// that turned the searcher cold.
	successes int
	blocked   bool
}

func newModel(t *rapid.T) *model {
	slots := rapid.IntRange(1, 5).Draw(t, "slots")
	config := Config{QueueLimit: rapid.IntRange(0, 5).Draw(t, "queue"), Deadline: time.Second,
		Limits: settings.Limits{Slots: slots, Connections: rapid.IntRange(1, 8).Draw(t, "connections"),
			Cold: settings.Cold{Allowance: rapid.IntRange(1, slots).Draw(t, "allowance"), StepSuccesses: rapid.IntRange(1, 3).Draw(t, "step")}}}
	s, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return &model{t: t, s: s, config: config, deadline: map[WorkID]time.Duration{}, running: map[WorkID]bool{},
		exchanges: map[ConnID]Command{}, open: map[ConnID]bool{}, closing: map[ConnID]time.Duration{}, pending: map[WorkID]bool{}, dispatches: map[WorkID]int{}}
}

// maxRunning returns how many pieces of work may run at once.
func (m *model) maxRunning() int {
	l := m.config.Limits
	allowance := min(l.Cold.Allowance+m.successes/l.Cold.StepSuccesses, l.Slots)
	if m.grant.WarmOnly && allowance < l.Slots {
		return 0
	}
	return min(allowance, m.grant.Slots(l))
}

// apply carries out commands and checks that each of them is allowed.
func (m *model) apply(commands []Command) {
	for _, c := range commands {
		_, inProgress := m.exchanges[c.Conn]
		switch c.Action {
		case Dispatch:
			m.running[c.Work] = true
			m.dispatches[c.Work]++
			m.check(len(m.running) <= m.maxRunning(), "%d run, %d are allowed", len(m.running), m.maxRunning())
			m.check(m.dispatches[c.Work] == 1 && m.pending[c.Work], "work %d is dispatched again or after its end", c.Work)
			m.check(m.now < m.deadline[c.Work], "work %d is dispatched after its deadline", c.Work)
			m.check(!m.blocked, "work %d is dispatched while blocked", c.Work)
			m.startExchange(c, inProgress)
		case Delete, ReadStatePage:
			m.startExchange(c, inProgress)
		case Open:
			m.open[c.Conn] = false
			limit := m.grant.Connections(m.config.Limits)
			n := len(m.open) + len(m.closing)
			m.check(n <= limit, "%d connections are open, %d are allowed", n, limit)
		case Close:
			_, known := m.open[c.Conn]
			m.check(known, "connection %d is closed but not open", c.Conn)
			delete(m.open, c.Conn)
			delete(m.exchanges, c.Conn)
			m.closing[c.Conn] = m.now
		case Deliver, Fail:
			m.check(m.pending[c.Work], "work %d ends twice", c.Work)
			delete(m.pending, c.Work)
			notRun := c.Action == Fail && c.Err.Run == result.RunNo
			m.check(!notRun || !m.running[c.Work], "work %d failed as not run while the upstream runs it", c.Work)
		}
	}
	if next, ok := m.s.NextTick(); ok {
		m.check(next > m.now, "now is %v and NextTick is %v, which is not later", m.now, next)
	}
}

// startExchange records the exchange that a command starts. inProgress reports whether an
// exchange is already in progress on the connection.
func (m *model) startExchange(c Command, inProgress bool) {
	m.check(m.open[c.Conn] && !inProgress, "connection %d is not free for %+v", c.Conn, c)
	m.exchanges[c.Conn] = c
}

// check fails the test if ok is false.
func (m *model) check(ok bool, format string, args ...any) {
	if !ok {
		m.t.Fatalf(format, args...)
	}
}

// turnCold records an event that turns the searcher cold.
func (m *model) turnCold() { m.successes = 0 }

// drawConn draws a connection for which want returns true, or skips the step if there is
// none.
func (m *model) drawConn(t *rapid.T, want func(ConnID) bool) ConnID {
	var ids []ConnID
	for id := ConnID(1); id <= m.s.lastConn; id++ {
		if _, ok := m.open[id]; ok && want(id) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("no such connection")
	}
	return rapid.SampledFrom(ids).Draw(t, "conn")
}

func (m *model) submit(t *rapid.T) {
	m.lastWork++
	m.deadline[m.lastWork] = m.now + time.Duration(rapid.IntRange(-5, 400).Draw(t, "deadline"))*time.Millisecond
	m.pending[m.lastWork] = true
	m.apply(m.s.Submit(m.now, m.lastWork, m.deadline[m.lastWork]))
}

// reply ends an exchange with an outcome other than a broken connection. The upstream is
// done with the work if the exchange dispatched it, or was a DELETE that succeeded.
func (m *model) reply(t *rapid.T) {
	id := m.drawConn(t, func(id ConnID) bool { _, ok := m.exchanges[id]; return ok })
	c := m.exchanges[id]
	o := Outcome{Kind: Succeeded, Latency: time.Duration(rapid.IntRange(1, 30).Draw(t, "latency")) * time.Millisecond,
		Closed: rapid.IntRange(0, 9).Draw(t, "closed") == 0}
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		o.Kind = rapid.SampledFrom([]OutcomeKind{Failed, Shed, RefusedDraining, NotWritten}).Draw(t, "outcome")
	}
	if c.Action != Dispatch && o.Kind != Succeeded {
		o.Kind = Failed
	}
	if c.Action == Delete && (!m.running[c.Work] || rapid.Bool().Draw(t, "overtaken")) {
		// The work has ended, or its request reaches the upstream after the DELETE.
		o.Kind = WorkUnknown
	}
	if c.Action == ReadStatePage {
		o.StatePage = &StatePage{Load: rapid.SampledFrom([]float64{0, 2}).Draw(t, "load"), Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0}
	}
	delete(m.exchanges, id)
	if c.Action == Dispatch || c.Action == Delete && o.Kind == Succeeded {
		delete(m.running, c.Work)
	}
	if c.Action == Dispatch && o.Kind == Succeeded && m.pending[c.Work] {
		m.successes++
	}
	if o.Kind == Shed {
		m.turnCold()
	}
	m.apply(m.s.ExchangeEnded(m.now, id, o))
}

// loseConn ends a connection. Work that was written on it may continue to run.
func (m *model) loseConn(t *rapid.T) {
	id := m.drawConn(t, func(id ConnID) bool { return m.open[id] })
	_, inProgress := m.exchanges[id]
	delete(m.open, id)
	delete(m.exchanges, id)
	m.turnCold()
	if inProgress {
		m.apply(m.s.ExchangeEnded(m.now, id, Outcome{Kind: Broken}))
	} else {
		m.apply(m.s.ConnectionEnded(m.now, id))
	}
}

// finishDial ends a dial with success or failure.
func (m *model) finishDial(t *rapid.T) {
	id := m.drawConn(t, func(id ConnID) bool { return !m.open[id] })
	if rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
		delete(m.open, id)
		m.turnCold()
		m.apply(m.s.OpenFailed(m.now, id))
		return
	}
	m.open[id] = true
	m.apply(m.s.Opened(m.now, id))
}

func (m *model) cancel(t *rapid.T) {
	if m.lastWork > 0 {
		m.apply(m.s.Cancel(m.now, WorkID(rapid.IntRange(1, int(m.lastWork)).Draw(t, "work"))))
	}
}

func (m *model) setGrant(t *rapid.T) {
	m.grant = assign.Grant{Share: assign.Share(rapid.IntRange(0, 3).Draw(t, "share")), WarmOnly: rapid.IntRange(0, 3).Draw(t, "warm") == 0}
	m.apply(m.s.SetGrant(m.now, m.grant))
}

func (m *model) setLimits(t *rapid.T) {
	m.config.Limits.Slots = rapid.IntRange(m.config.Limits.Cold.Allowance, 5).Draw(t, "slots")
	m.config.Limits.Connections = rapid.IntRange(1, 8).Draw(t, "connections")
	commands, err := m.s.SetConfig(m.now, m.config)
	m.check(err == nil, "limits are refused: %v", err)
	m.apply(commands)
}

// block starts or ends a Block.
func (m *model) block(t *rapid.T) {
	if m.blocked = !m.blocked; m.blocked {
		m.apply(m.s.Block(m.now, result.NotRun(result.DomainOut, "")))
		return
	}
	m.turnCold()
	m.apply(m.s.Unblock(m.now))
}

// advanceTime advances the clock. The upstream ends work no later than DeadlineGrace after
// the deadline of the work.
func (m *model) advanceTime(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
	for id := range m.running {
		if m.now >= m.deadline[id]+DeadlineGrace {
			delete(m.running, id)
		}
	}
	for id, at := range m.closing {
		if m.now >= at+closeLinger {
			delete(m.closing, id)
		}
	}
	m.apply(m.s.Tick(m.now))
}

// TestLimitsHold guards against three failures under any order of events: running work or
// connections above the limits, including the cold-start allowance; work that is dispatched
// twice or ended twice; and a second exchange on a connection that has one in progress.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.grant = assign.Grant{Share: assign.ShareFull}
		m.apply(m.s.SetGrant(m.now, m.grant))
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "submit again": m.submit, "submit more": m.submit,
			"reply": m.reply, "reply again": m.reply, "dialled": m.finishDial, "dialled again": m.finishDial,
			"breaks": m.loseConn, "cancel": m.cancel, "grant": m.setGrant, "limits": m.setLimits,
			"block": m.block, "pass": m.advanceTime,
		})
	})
}
