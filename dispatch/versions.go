package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/hedge"
	"github.com/wisteriawharf/wisteriawharf/rollout"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

// versionClass says how a searcher's version stands to the orders of its service.
type versionClass int

const (
	// established: the version gets the requests.
	established versionClass = iota
	// ordered: the version is the target of the running order.
	ordered
	// unordered: no order allows the version.
	unordered
)

const (
	// slowFactor is how many times the median latency of the established version on the same
	// route a slow reply takes at least, slowFactorYoung the same for searchers that this
	// instance has known for less than youngFor: a searcher that has just started takes 1.6
	// times as long.
	slowFactor      = 3
	slowFactorYoung = 5
	youngFor        = 4 * time.Second
	// slowFactorGivenUp is the factor for a request that was given up since another searcher
	// answered it before.
	slowFactorGivenUp = 2
	// minComparedReplies is the number of recent replies from which on their median is the usual
	// latency. An instance that serves a request a second knows that many.
	minComparedReplies = 8
)

// versions holds which versions of a service get requests. It is nil where there are no roll-outs.
type versions struct {
	established rollout.Established
	version     string
	view        rollout.View
	// mixed says that not all searchers are of the class established.
	mixed bool
	// order is what is counted for the running order, nil if none runs.
	order *orderCounts
}

// orderCounts counts the requests and replies during an order.
type orderCounts struct {
	use   rollout.Use
	tally rollout.Tally
	// latencies holds those of the established version by route.
	latencies map[uint32]*hedge.Histogram
}

// SetRollout sets what is known of the orders of a service.
func (d *Dispatcher) SetRollout(service string, view rollout.View) {
	d.mu.Lock()
	s := d.service(service)
	if s.versions == nil {
		s.versions = &versions{}
	}
	v := s.versions
	if !view.Active {
		v.order = nil
	} else if v.order == nil || v.view.Order != view.Order {
		v.order = &orderCounts{tally: make(rollout.Tally), latencies: make(map[uint32]*hedge.Histogram)}
	}
	v.view = view
	d.classify(s)
	tasks := s.launchQueued(d)
	d.mu.Unlock()
	runAll(tasks)
}

// SetRolloutContact records a time at which the orders known here were known to be up to date.
// Without one no request goes to a version that is not established.
func (d *Dispatcher) SetRolloutContact(at time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rolloutContact = max(d.rolloutContact, at)
}

// classify sets the classes of the searchers of a service. It is called when its searchers or
// orders have changed. The caller holds the lock.
func (d *Dispatcher) classify(s *service) {
	if d.config.Bounds.CanaryShare == 0 {
		return
	}
	if s.versions == nil {
		s.versions = &versions{}
	}
	v := s.versions
	census := s.census()
	before := v.version
	v.version = v.established.Update(d.config.Clock.Boottime(), census, v.view.Completed, func(version string) bool {
		return slices.Contains(v.view.Barred, version)
	})
	if before != v.version && before != "" {
		d.config.Log.Info("another version of a service is established", "service", s.settings.Name, "version", v.version, "before", before,
			"completed", v.view.Completed.Target, "versions", len(census))
	}
	v.mixed = false
	for _, t := range s.targets {
		switch {
		case t.Version == v.version || t.Version == "":
			t.class = established
		case v.view.Active && t.Version == v.view.Order.Target:
			t.class = ordered
		default:
			t.class = unordered
		}
		v.mixed = v.mixed || t.class != established
	}
}

// census counts the usable searchers of each version.
func (s *service) census() []rollout.Census {
	var census []rollout.Census
	for _, t := range s.targets {
		if t.Draining || t.notices.IsLeaving() {
			continue
		}
		i := slices.IndexFunc(census, func(c rollout.Census) bool { return c.Version == t.Version })
		if i < 0 {
			census = append(census, rollout.Census{Version: t.Version, Earliest: t.StartUnixMs})
			i = len(census) - 1
		}
		census[i].Searchers++
		census[i].Earliest = min(census[i].Earliest, t.StartUnixMs)
	}
	return census
}

// inContact reports whether the orders known here are recent enough to follow them.
func (d *Dispatcher) inContact(now time.Duration) bool {
	return d.rolloutContact > 0 && now-d.rolloutContact <= rollout.MaxContactAge
}

// promoted reports whether all requests go to the target of the running order.
func (d *Dispatcher) promoted(v *versions, now time.Duration) bool {
	return v.view.Active && v.view.Phase == rollout.Promote && d.inContact(now)
}

// allowedClasses returns which classes of searchers may get a request beside the canary's: one
// class as long as any of its searchers is available, so that no request runs on another version
// because searchers lack room or were tried before. The caller holds the lock.
func (d *Dispatcher) allowedClasses(s *service, regions []string, now time.Duration) (only versionClass, restricted bool) {
	v := s.versions
	if v == nil || !v.mixed {
		return established, false
	}
	order := [...]versionClass{established, ordered, unordered}
	// An instance without contact can't see the completion of the order, at which the established
	// searchers stop. They are used while any of them answers.
	lost := v.view.Active && !d.inContact(now) && !s.anyHealthy(established, now)
	if lost || d.promoted(v, now) {
		order[0], order[1] = ordered, established
	}
	for _, class := range order {
		for _, t := range s.targets {
			if t.class == class && d.available(t, regions) {
				return class, true
			}
		}
	}
	return established, false
}

func (s *service) anyHealthy(class versionClass, now time.Duration) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.class == class && !t.Draining && t.stats.Healthy(now) })
}

// mayUse reports whether a searcher may still get a request that was bound to it.
func (d *Dispatcher) mayUse(a *Attempt, t *target, now time.Duration) bool {
	v := t.service.versions
	if v == nil || !v.mixed || t.class == ordered && a.Kind == First && d.inContact(now) {
		return true
	}
	class, restricted := d.allowedClasses(t.service, a.Regions, now)
	return !restricted || t.class == class
}

// countFirst counts a first attempt of a service under an order.
func (s *service) countFirst(r *Request) {
	if s.versions == nil || s.versions.order == nil {
		return
	}
	o := s.versions.order
	o.use.Requests++
	o.update(r.Route, func(c *rollout.Counts) { c.Requests++ })
}

// update changes the counts of a route.
func (o *orderCounts) update(route string, change func(*rollout.Counts)) {
	key := rollout.RouteKey(route)
	c := o.tally[key]
	change(&c)
	o.tally[key] = c
}

// placeAtOrdered binds a first attempt to a searcher of the running order's target, if the share of
// that allows it and one has room. It returns nil otherwise.
func (d *Dispatcher) placeAtOrdered(a *Attempt, now time.Duration, wall time.Time) func() {
	s := a.service
	v := s.versions
	if a.Kind != First || v == nil || !v.mixed || v.order == nil || v.view.Phase == rollout.Promote || !d.inContact(now) {
		return nil
	}
	bounds := rollout.Bounds{Share: d.config.Bounds.CanaryShare, Slack: d.config.Bounds.CanarySlack}
	elapsed := float64(now-v.view.Start) / float64(v.view.Duration)
	if elapsed >= 1 || !v.order.use.Allows(bounds, v.view.Phase, elapsed, d.rolloutPlace(v.view.Order)) {
		return nil
	}
	t := d.chooseOf(s, a.Request, now, ordered)
	if t == nil {
		return nil
	}
	return d.bind(a, t, now, wall)
}

// rolloutPlace returns the part of this instance in the bounds of an order. The positions are
// shifted differently for each order, so that no instance has a high one in all of them.
func (d *Dispatcher) rolloutPlace(k rollout.Key) rollout.Place {
	const steps = 1 << 16
	shift := float64(xxhash.Sum64String(k.Service+"\x00"+k.Target)%steps) / steps
	position := d.config.Position() + shift
	if position >= 1 {
		position--
	}
	return rollout.Place{Instances: d.config.InstanceCount(), Position: position}
}

// chooseOf chooses a searcher of a class that has room, nil if none has.
func (d *Dispatcher) chooseOf(s *service, r Request, now time.Duration, class versionClass) *target {
	var targets []*target
	for _, t := range s.targets {
		if t.class == class && !slices.Contains(r.Avoid, t.ID) && d.usable(t, r.Regions, now) && !t.stats.Blocked(now) && d.hasRoom(t, now) {
			targets = append(targets, t)
		}
	}
	if len(targets) == 0 {
		return nil
	}
	chosen := d.choose(s, &r, targets, now)
	if chosen < 0 {
		return nil
	}
	return targets[chosen]
}

// bindVersion records under which order the attempt is bound to a searcher.
func (a *Attempt) bindVersion(t *target) {
	v := a.service.versions
	if v == nil || v.order == nil {
		return
	}
	a.order, a.toOrdered = v.order, t.Version == v.view.Order.Target
	if a.toOrdered && a.Kind == First {
		v.order.use.Sent++
		v.order.update(a.Route, func(c *rollout.Counts) { c.Sent++ })
	}
}

// observeReplyOfVersion counts the end of an exchange for the version of its searcher. Refusals are
// not counted, since a searcher without room refuses too.
func (a *Attempt) observeReplyOfVersion(e Event, now time.Duration, err error) {
	if a.order == nil {
		return
	}
	switch {
	case e.Outcome == Failed, e.Outcome == Broken && !errors.Is(err, searcher.ErrClosedLocally):
		a.countReply(now, true, slowFactor)
	case e.Outcome == Answered && !e.Stalled:
		a.countReply(now, false, a.target.slowFactor(now))
	}
}

// observeGivenUp counts a request that was given up without a reply. silent says that its searcher
// was silent for so long that it counts as unreachable. A shorter wait than that of a slow reply
// says nothing.
func (a *Attempt) observeGivenUp(now time.Duration, silent bool) {
	if a.order == nil {
		return
	}
	factor := slowFactorGivenUp * a.target.slowFactor(now) / slowFactor
	if median, known := a.usualLatency(); silent || known && float64(now-a.chosenAt) > factor*float64(median) {
		a.countReply(now, true, factor)
	}
}

// usualLatency returns the median latency of the established version on the route, that of the
// service if too little is known of the route.
func (a *Attempt) usualLatency() (time.Duration, bool) {
	if median, known := a.order.median(rollout.RouteKey(a.Route)); known {
		return median, true
	}
	return a.service.latency.QuantileFrom(0.5, minComparedReplies)
}

// countReply counts the end of an attempt under the order during which its searcher was chosen.
// bad says that it failed; else it was slow if its latency is above the usual one by a factor.
func (a *Attempt) countReply(now time.Duration, bad bool, factor float64) {
	o := a.order
	if a.versionObserved {
		return
	}
	a.versionObserved = true
	latency := now - a.chosenAt
	median, known := a.usualLatency()
	if !a.toOrdered && !bad {
		o.addLatency(rollout.RouteKey(a.Route), now, latency)
	}
	if a.toOrdered && !bad && !known {
		return // whether it was slow is not known, so it is no evidence for the version
	}
	bad = bad || known && float64(latency) > factor*float64(median)
	o.update(a.Route, func(c *rollout.Counts) { c.AddReply(a.toOrdered, bad) })
}

func (o *orderCounts) median(route uint32) (time.Duration, bool) {
	if h := o.latencies[route]; h != nil {
		return h.QuantileFrom(0.5, minComparedReplies)
	}
	return 0, false
}

func (o *orderCounts) addLatency(route uint32, now, latency time.Duration) {
	h := o.latencies[route]
	if h == nil {
		h = &hedge.Histogram{}
		o.latencies[route] = h
	}
	h.Add(now, latency)
}

// slowFactor returns the factor by which a reply of the searcher is slow.
func (t *target) slowFactor(now time.Duration) float64 {
	if now-t.knownSince < youngFor || now < t.coldUntil {
		return slowFactorYoung
	}
	return slowFactor
}

// countsForService reports whether the latency of the attempt counts for the service as a whole. That of
// the target of a running roll-out does not.
func (a *Attempt) countsForService() bool {
	return a.order == nil || !a.toOrdered || a.service.versions.view.Phase == rollout.Promote || !a.service.versions.view.Active
}

// RolloutCounts is what an instance counts under the running order of a service.
type RolloutCounts struct {
	Order rollout.Key
	Tally rollout.Tally
	// Promoted says that new requests go to the order's target only.
	Promoted bool
	// RunningOld is the number of requests that run on searchers of other versions than the
	// order's target.
	RunningOld int
	// NewSlots are the slots of the searchers of the target that are warm, OldSlots those of the
	// others that don't drain.
	NewSlots, OldSlots int
	// HasSearchers says that the service has searchers.
	HasSearchers bool
}

// RolloutCounts returns the counts under the running order of a service, false if none runs.
func (d *Dispatcher) RolloutCounts(service string) (RolloutCounts, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[service]
	if s == nil || s.versions == nil || s.versions.order == nil {
		return RolloutCounts{}, false
	}
	v := s.versions
	now := d.config.Clock.Boottime()
	c := RolloutCounts{Order: v.view.Order, Tally: v.order.tally.Clone(), Promoted: d.promoted(v, now), HasSearchers: len(s.targets) > 0}
	for _, t := range s.targets {
		isNew := t.Version == v.view.Order.Target
		if !isNew {
			c.RunningOld += len(t.running)
		}
		switch {
		case !d.available(t, nil):
		case isNew && now >= t.coldUntil:
			c.NewSlots += t.Slots
		case !isNew && t.class == established:
			c.OldSlots += t.Slots
		}
	}
	return c, true
}
