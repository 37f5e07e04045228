package dispatch

import (
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/balance"
)

// Start chooses a searcher and sends the request, or lets it wait for a
// connection. If an error is returned, nothing was or will be sent.
func (d *Dispatcher) Start(r Request) (*Attempt, error) {
	d.mu.Lock()
	s := d.service(r.Service)
	a := &Attempt{Request: r, d: d, service: s}
	if r.Kind == First {
		s.budget.Earn(d.allowance(), 1)
		s.busy.Add(float64(s.running()))
	}
	if r.Kind.Repeats() && !d.pay(s, r.Kind.Spare()) {
		d.mu.Unlock()
		d.metrics.notStarted(ErrBudget)
		return nil, ErrBudget
	}
	launch, err := d.place(a)
	switch {
	case err != nil || launch != nil:
	case r.Kind.Spare():
		err = ErrBusy
	default:
		err = s.enqueue(a, d.connectionLimit(s))
	}
	if err != nil && r.Kind.Repeats() {
		s.budget.Refund()
	}
	d.mu.Unlock()
	if err != nil {
		d.metrics.notStarted(err)
		return nil, err
	}
	if launch != nil {
		launch()
	}
	return a, nil
}

// pay takes the price of a repeat from the service's budget.
func (d *Dispatcher) pay(s *service, spare bool) bool {
	if spare && !balance.HasSpareCapacity(s.busy, d.config.Sharers(), s.slots()) {
		return false
	}
	if spare {
		return s.budget.TakeSpare(d.allowance())
	}
	return s.budget.Take()
}

func (s *service) enqueue(a *Attempt, connectionLimit int) error {
	if len(s.waiters) >= waitersPerConnection*connectionLimit*max(len(s.targets), 1) {
		return ErrBusy
	}
	s.waiters = append(s.waiters, a)
	return nil
}

// place binds the attempt to a searcher and returns what sends it, to be called
// without the lock. It returns nil if the attempt is to wait for a searcher with room.
func (d *Dispatcher) place(a *Attempt) (func(), error) {
	now, wall := d.config.Clock.Boottime(), time.Now()
	s := a.service
	var candidates []balance.Candidate
	var targets []*target
	reachable := d.reachable(s, a.Request, now)
	for _, t := range reachable {
		if !d.hasRoom(t) {
			continue
		}
		targets = append(targets, t)
		candidates = append(candidates, t.candidate(now, d.config.FailureDomain))
	}
	if len(reachable) == 0 {
		return nil, ErrNoSearcher
	}
	if len(targets) == 0 {
		if !s.cut.Admits(a.Rank) {
			return nil, ErrBusy
		}
		return nil, nil
	}
	latency, _ := s.latency.At(0.5)
	chosen := balance.Choose(now, candidates, latency)
	if chosen < 0 {
		return nil, ErrNoSearcher
	}
	return d.bind(a, targets[chosen], now, wall), nil
}

// hasRoom reports whether a searcher may get one more request from this instance now.
func (d *Dispatcher) hasRoom(t *target) bool {
	if t.limit.Reached(len(t.running), t.Slots, d.config.Sharers()) {
		return false
	}
	return len(t.idle) > 0 || t.open < d.connectionLimit(t.service)
}

// reachable returns the searchers that may get the request.
func (d *Dispatcher) reachable(s *service, r Request, now time.Duration) []*target {
	var usable []*target
	for _, t := range s.targets {
		if d.usable(t, r.Regions, now) && !t.record.Blocked(now) {
			usable = append(usable, t)
		}
	}
	d.noteGuests(s, usable)
	return slices.DeleteFunc(usable, func(t *target) bool { return slices.Contains(r.Avoid, t.ID) })
}

// noteGuests notes which of a service's usable searchers are outside of the subset that
// this instance keeps connections to.
func (d *Dispatcher) noteGuests(s *service, usable []*target) {
	connections := int(connectionsUsed * float64(s.settings.MaxConnections))
	size := balance.SubsetSize(len(usable), connections, d.config.Sharers())
	members := make([]balance.SubsetCandidate, len(usable))
	for i, t := range usable {
		members[i] = balance.SubsetCandidate{ID: t.ID, SameDomain: t.FailureDomain == d.config.FailureDomain}
		t.guest = true
	}
	for _, i := range balance.Subset(d.config.Instance, members, size) {
		usable[i].guest = false
	}
}

func (d *Dispatcher) bind(a *Attempt, t *target, now time.Duration, wall time.Time) func() {
	a.target, a.sent = t, now
	t.started(a)
	a.outstanding = len(t.running)
	if now < t.coldUntil {
		t.cold.Sent(now)
	}
	conn, old := t.takeUsable(wall)
	if conn == nil {
		t.open++
		return func() {
			closeAll(old)
			go d.dial(a, t)
		}
	}
	a.conn = conn
	return func() {
		closeAll(old)
		d.send(a, conn)
	}
}

func (s *service) removeWaiter(a *Attempt) {
	for i := range s.waiters {
		if s.waiters[i] == a {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
}
