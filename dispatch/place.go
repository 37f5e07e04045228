package dispatch

import (
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/balance"
)

// Start chooses a searcher and sends the request, or queues the request until a searcher
// has room. It returns ErrRetryBudgetSpent, ErrBusy, ErrPaused, ErrRateLimited, ErrTooLate, ErrLeaving or
// ErrNoSearcher if the attempt is not made; the request is not sent then, and OnEnd is not called.
func (d *Dispatcher) Start(r Request) (*Attempt, error) {
	d.mu.Lock()
	s := d.service(r.Service)
	a := &Attempt{Request: r, d: d, service: s, startedAt: d.config.Clock.Boottime()}
	if r.Kind == First {
		s.budget.Earn(d.allowance(), 1)
		s.averageUnanswered.Add(float64(s.unanswered()))
		s.countFirst(&a.Request)
	}
	if r.Kind.UsesRetryBudget() && !d.takeBudget(s, r.Kind.Optional()) {
		d.mu.Unlock()
		d.metrics.notStarted(ErrRetryBudgetSpent)
		return nil, ErrRetryBudgetSpent
	}
	launch, err := d.place(a, len(s.queue))
	switch {
	case err != nil || launch != nil:
	case r.Kind.Optional():
		err = ErrBusy
	default:
		err = s.enqueue(a, s.connectionsFor(d.config.InstanceCount()))
	}
	if err != nil && r.Kind.UsesRetryBudget() {
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

// takeBudget takes a token from the service's retry budget and reports whether the
// attempt may be made. An optional one may not be made while the service is busy.
func (d *Dispatcher) takeBudget(s *service, optional bool) bool {
	if optional && !balance.HasSpareCapacity(s.averageUnanswered, d.config.InstanceCount(), s.slots()) {
		return false
	}
	if optional {
		return s.budget.TakeOptional(d.allowance())
	}
	return s.budget.Take()
}

// enqueue adds an attempt to the queue. It returns ErrBusy if the queue is full.
// connectionLimit is the number of connections to one searcher that this instance has in the long run;
// the length of the queue is limited in proportion to it. Requests may wait while its part is smaller.
func (s *service) enqueue(a *Attempt, connectionLimit int) error {
	if len(s.queue) >= maxQueuedPerConnection*connectionLimit*max(len(s.targets), 1) {
		return ErrBusy
	}
	s.queue = append(s.queue, a)
	a.queued = true
	return nil
}

// place binds the attempt to a searcher and returns a function that sends it, to be called
// without the lock. It returns nil and no error if no searcher has room but the attempt may
// be queued, ErrBusy, ErrPaused, ErrRateLimited or ErrTooLate if it may not be queued, and ErrLeaving or
// ErrNoSearcher if no searcher can take it. ahead is the number of queued attempts that go before it.
func (d *Dispatcher) place(a *Attempt, ahead int) (func(), error) {
	now, wall := d.config.Clock.Boottime(), time.Now()
	s := a.service
	if launch := d.placeAtOrdered(a, now, wall); launch != nil {
		return launch, nil
	}
	var targets []*target
	eligible := d.eligible(s, a.Request, now)
	for _, t := range eligible {
		if !d.hasRoom(t, now) {
			continue
		}
		targets = append(targets, t)
	}
	if len(eligible) == 0 {
		return nil, s.noSearcherError()
	}
	if len(targets) == 0 {
		wait := d.placeWait(eligible, now)
		if err := s.mayQueue(a.Request, wait, ahead, now); err != nil {
			return nil, err
		}
		if s.certainlyLate(&a.Request, eligible, a.queued, now) {
			s.admission.ObserveUnsent()
			return nil, ErrTooLate
		}
		d.scheduleLaunch(s, wait.next)
		return nil, nil
	}
	chosen := d.choose(s, &a.Request, targets, now)
	if chosen < 0 {
		return nil, ErrNoSearcher
	}
	return d.bind(a, targets[chosen], now, wall), nil
}

// mayQueue returns nil if a request may wait for a searcher with room. It returns ErrBusy if
// the service sheds the request, and ErrPaused or ErrRateLimited if the pauses or the rate limits
// of the searchers let it be sent only after its answer is due.
func (s *service) mayQueue(r Request, wait placeWait, ahead int, now time.Duration) error {
	switch {
	case !s.admission.Admits(r.Rank):
		return ErrBusy
	case !wait.tooLong(ahead, r.DueBy-now):
		return nil
	case wait.rejecting:
		return ErrBusy
	case wait.paused:
		return ErrPaused
	default:
		return ErrRateLimited
	}
}

// noSearcherError returns why no searcher of the service can take a request.
func (s *service) noSearcherError() error {
	for _, t := range s.targets {
		if t.notices.IsLeaving() {
			return ErrLeaving
		}
	}
	return ErrNoSearcher
}

// hasRoom reports whether a searcher may get one more request from this instance now,
// within its limits of requests and of connections, and outside of a pause.
func (d *Dispatcher) hasRoom(t *target, now time.Duration) bool {
	return d.roomExclusion(t, now) == ""
}

// roomExclusion returns why a searcher has no room, empty if it has.
func (d *Dispatcher) roomExclusion(t *target, now time.Duration) string {
	switch {
	case !d.withinRateLimit(t, now):
		return excludedRateLimit
	case !t.notices.Decide(now, len(t.running)).Allowed():
		return excludedPause
	case t.limit.Reached(len(t.running), t.Slots, d.config.InstanceCount()):
		return excludedConcurrency
	case len(t.idle) > 0:
		return ""
	case t.open >= d.connectionLimit(t.service):
		return excludedConnections
	case t.dialPause.Left(now) > 0:
		return excludedRejecting
	}
	return ""
}

// unreachable returns why a searcher may not get requests of the regions, whatever searchers a request avoids, empty
// if it may.
func (d *Dispatcher) unreachable(t *target, regions []string, now time.Duration) string {
	if reason := d.unusable(t, regions, now); reason != "" {
		return reason
	}
	if t.stats.Blocked(now) {
		return excludedUnreachable
	}
	return ""
}

// exclusion returns why a searcher is not eligible for a request, empty if it is.
func (d *Dispatcher) exclusion(t *target, r Request, now time.Duration) string {
	if reason := d.unreachable(t, r.Regions, now); reason != "" {
		return reason
	}
	if slices.Contains(r.Avoid, t.ID) {
		return excludedAvoided
	}
	return ""
}

// eligible returns the searchers that may get the request, whether or not they have room.
// It also updates which searchers are outside of this instance's subset.
func (d *Dispatcher) eligible(s *service, r Request, now time.Duration) []*target {
	var usable []*target
	class, restricted := d.allowedClasses(s, r.Regions, now)
	for _, t := range s.targets {
		if restricted && t.class != class {
			continue
		}
		if d.unreachable(t, r.Regions, now) == "" {
			usable = append(usable, t)
		}
	}
	d.markOutsideSubset(s, usable)
	return slices.DeleteFunc(usable, func(t *target) bool { return slices.Contains(r.Avoid, t.ID) })
}

// markOutsideSubset sets outsideSubset of a service's usable searchers: true for those
// that are outside of the subset that this instance keeps connections to.
func (d *Dispatcher) markOutsideSubset(s *service, usable []*target) {
	connections := int(usableConnectionShare * float64(s.settings.MaxConnections))
	size := balance.SubsetSize(len(usable), connections, d.config.ConnectionShare().Instances)
	members := make([]balance.SubsetCandidate, len(usable))
	for i, t := range usable {
		members[i] = balance.SubsetCandidate{ID: t.ID, SameDomain: t.FailureDomain == d.config.FailureDomain}
		t.outsideSubset = true
	}
	for _, i := range balance.Subset(d.config.Instance, members, size) {
		usable[i].outsideSubset = false
	}
}

// bind assigns the attempt to a searcher and returns a function that sends the request, to
// be called without the lock. It uses an idle connection if there is one that has not carried
// the request before, else a new one.
func (d *Dispatcher) bind(a *Attempt, t *target, now time.Duration, wall time.Time) func() {
	a.target, a.chosenAt = t, now
	a.searcherID, a.address = t.ID, t.Address
	a.work = a.service.costs.Start(now, &t.cost, a.CostKind, t.Slots)
	t.addRunning(a)
	a.outstanding = len(t.running)
	a.bindVersion(t)
	if now < t.coldUntil {
		t.coldLimiter.RecordSent(now)
		a.cold = true
	}
	d.takeRateLimit(a)
	conn, stale := t.takeUsable(&a.Request, wall)
	if conn == nil {
		if t.open-len(stale) >= d.connectionLimit(t.service) && len(t.idle) > 0 {
			// The idle connections have carried the request before. One makes room.
			stale = append(stale, t.idle[0])
			t.idle = slices.Delete(t.idle, 0, 1)
		}
		t.open++
		return func() {
			closeAll(stale)
			go d.dial(a, t)
		}
	}
	a.conn = conn
	return func() {
		closeAll(stale)
		d.send(a, conn)
	}
}

func (s *service) removeQueued(a *Attempt) {
	for i := range s.queue {
		if s.queue[i] == a {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}
