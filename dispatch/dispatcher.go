// Package dispatch sends requests to searchers. It chooses the searcher, keeps the
// connections, and applies the retry budgets and the limits of cold searchers.
package dispatch

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/cost"
	"github.com/wisteriawharf/wisteriawharf/eligibility"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/retry"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// Reasons why an attempt is not started. The request was not sent.
const (
	// ErrNoSearcher reports that no usable searcher is left for the request.
	ErrNoSearcher = errors.ConstError("no usable searcher")
	// ErrBusy reports that the searchers have no room and that the request may not be
	// queued.
	ErrBusy = errors.ConstError("too many requests wait for a connection")
	// ErrRateLimited reports that the searchers are at the rate limits that they advertise,
	// and that the request could be sent only after its answer is due.
	ErrRateLimited = errors.ConstError("searchers are at their rate limits")
	// ErrRetryBudgetSpent reports that the service's retry budget doesn't allow the
	// attempt, or that the attempt is optional and the service is busy.
	ErrRetryBudgetSpent = errors.ConstError("budget of repeated requests is spent")
	// ErrLeaving reports that no usable searcher is left because some are about to stop.
	ErrLeaving = errors.ConstError("searchers are leaving")
	// ErrPaused reports that the searchers have asked for a pause, and that the request could be
	// sent only after its answer is due.
	ErrPaused = errors.ConstError("searchers have asked for a pause")
	// ErrTooLate reports that the searchers have no room, and that by the expected cost of the
	// requests before it the request can't be answered before its answer is due.
	ErrTooLate = errors.ConstError("answer can't be in time")
)

const (
	// usableConnectionShare is the share of a searcher's connection limit that all
	// instances together use. The rest covers connections that are closed here, but that
	// the searcher hasn't seen closed yet.
	usableConnectionShare = 0.9
	// maxQueuedPerConnection limits the queue of a service: it is the number of queued
	// requests for each connection that this instance may open to the service's searchers.
	maxQueuedPerConnection = 2
)

// Config holds the settings and dependencies of a dispatcher.
type Config struct {
	// Instance is the name of this instance.
	Instance      string
	FailureDomain string
	// RegionOf maps failure domains to their regions.
	RegionOf map[string]string
	Bounds   platform.Bounds
	Clock    clock.Clock
	// InstanceCount returns the number of instances that share the budgets, this one included.
	InstanceCount func() int
	// ConnectionShare returns the part of this instance of the connections that a searcher accepts.
	// If it is nil, all instances have equal parts.
	ConnectionShare func() fleet.ConnectionShare
	// Position returns the place of this instance in the order of those instances, from 0 to
	// below 1. It is 0 if Position is nil.
	Position func() float64
	// StalledBetween reports whether this process was stalled at some time between two times on the
	// boot clock, the second of which is now. Replies may lie unread since then, so that their times
	// say nothing of the searchers. Nil means that it never is.
	StalledBetween func(since, now time.Duration) bool
	// Memory is the budget of the process for the replies that it holds. It may be nil.
	Memory   *memory.Budget
	Log      *slog.Logger
	Registry prometheus.Registerer
}

// Dispatcher chooses searchers for requests and sends the requests to them. It is safe
// for concurrent use.
type Dispatcher struct {
	config  Config
	metrics *metrics
	// failureLog limits the log lines about replies that failed.
	failureLog logLimit

	mu sync.Mutex
	// configVersion is the version of the configuration in force, zero if there is none.
	configVersion int64
	services      map[string]*service
	searchers     map[string]*target
	// outDomains holds the failure domains that are out of service.
	outDomains map[string]bool
	// rolloutContact is the last time at which the known orders of roll-outs were up to date.
	rolloutContact time.Duration
	// removedNotices holds the notices of removed searchers by ID.
	removedNotices map[string]removedNotices
	// candidates and options are buffers of choose.
	candidates []balance.Candidate
	options    []cost.Option
}

// New returns a dispatcher without services and searchers. It registers its metrics.
func New(config Config) *Dispatcher {
	if config.Position == nil {
		config.Position = func() float64 { return 0 }
	}
	if config.ConnectionShare == nil {
		config.ConnectionShare = func() fleet.ConnectionShare {
			return fleet.ConnectionShare{Instances: config.InstanceCount()}
		}
	}
	if config.StalledBetween == nil {
		config.StalledBetween = func(_, _ time.Duration) bool { return false }
	}
	return &Dispatcher{
		config:     config,
		metrics:    newMetrics(config.Registry, config.Memory),
		services:   make(map[string]*service),
		searchers:  make(map[string]*target),
		outDomains: make(map[string]bool),

		removedNotices: make(map[string]removedNotices),
	}
}

// SetConfig applies the settings of all services of a configuration, unless a later version is
// in force. Services that it doesn't name keep their settings.
func (d *Dispatcher) SetConfig(c *routing.Config) {
	if d.setConfig(c) {
		d.CloseExcessConnections()
	}
}

// setConfig applies the settings, and reports whether a service accepts fewer connections than before.
func (d *Dispatcher) setConfig(c *routing.Config) (fewer bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Version < d.configVersion {
		return false
	}
	d.configVersion = c.Version
	for _, s := range c.Services {
		known := d.service(s.Name)
		if s.Invalid {
			known.restrict()
			continue
		}
		known.limitsKnown = true
		fewer = fewer || s.MaxConnections < known.settings.MaxConnections
		known.settings = *s
	}
	return fewer
}

// SetDomainOut takes a failure domain out of service if out is true, else back in.
func (d *Dispatcher) SetDomainOut(domain string, out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outDomains[domain] = out
}

// service returns the state of a service and creates it when it is first named.
func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{settings: routing.Service{Name: name}}
		d.services[name] = s
	}
	return s
}

// unknownColdLimit is the limit of cold searchers, in requests a second, of a service whose limits
// could not be read.
const unknownColdLimit = 1

// restrict sets the lowest limits for a service whose limits could not be read, unless earlier ones
// are known.
func (s *service) restrict() {
	if !s.limitsKnown {
		s.settings.MaxConnections, s.settings.MaxColdRequestsPerSecond = 0, unknownColdLimit
	}
}

// PutSearcher adds or updates a searcher. If another process now runs under the same ID,
// what was known of the former one is dropped. If the searcher drains, its idle
// connections are closed.
func (d *Dispatcher) PutSearcher(s fleet.Searcher) {
	d.mu.Lock()
	now := d.config.Clock.Boottime()
	t := d.searchers[s.ID]
	var stale []*connection
	if t != nil && t.replacedBy(s) {
		stale = d.removeTarget(t)
		t = nil
	}
	if t == nil {
		t = &target{Searcher: s, service: d.service(s.Service), notices: d.takeRemovedNotices(s), knownSince: now}
		t.service.targets = append(t.service.targets, t)
		d.searchers[s.ID] = t
	}
	if s.StartUnixMs == 0 && s.ColdFor > 0 && !s.Draining {
		t.notices = eligibility.Notices{} // an entry without a start that is cold is of a new process
	}
	t.Searcher = s
	t.missing = false
	t.coldUntil = now + s.ColdFor
	if s.Draining {
		stale = append(stale, t.takeIdle()...)
	}
	d.classify(t.service)
	tasks := t.service.launchQueued(d)
	d.mu.Unlock()
	closeAll(stale)
	runAll(tasks)
}

// SetMissing marks a searcher whose entry is no longer in the store, possibly because of an
// outage of the store. Until the next PutSearcher for it, it gets requests only while most
// searchers of its service are missing. Unknown IDs are ignored.
func (d *Dispatcher) SetMissing(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.searchers[id]; t != nil {
		t.missing = true
	}
}

// RemoveSearcher removes a searcher and closes its idle connections. Requests that it
// runs go on.
func (d *Dispatcher) RemoveSearcher(id string) {
	d.mu.Lock()
	var stale []*connection
	var tasks []func()
	if t := d.searchers[id]; t != nil {
		stale = d.removeTarget(t)
		d.classify(t.service)
		tasks = t.service.launchQueued(d)
	}
	d.mu.Unlock()
	closeAll(stale)
	runAll(tasks)
}

// removeTarget removes a searcher and returns its idle connections, to be closed.
func (d *Dispatcher) removeTarget(t *target) []*connection {
	delete(d.searchers, t.ID)
	t.removed = true
	d.keepNotices(t)
	s := t.service
	for i := range s.targets {
		if s.targets[i] == t {
			s.targets = append(s.targets[:i], s.targets[i+1:]...)
			break
		}
	}
	return t.takeIdle()
}

// CloseExcessConnections closes idle connections to searchers to which this instance has more
// than its part of the connections, all of them if it stands by. It is to be called when the part
// has become smaller. Connections in use are closed when their requests end.
func (d *Dispatcher) CloseExcessConnections() {
	standby := d.config.ConnectionShare().Standby
	d.mu.Lock()
	var excess []*connection
	for _, t := range d.searchers {
		n := min(t.open-d.connectionLimit(t.service), len(t.idle))
		if standby {
			n = len(t.idle)
		}
		if n > 0 {
			excess = append(excess, t.idle[:n]...)
			t.idle = append([]*connection(nil), t.idle[n:]...)
		}
	}
	d.mu.Unlock()
	closeAll(excess)
}

// HasRoom reports whether a searcher has room for the request now, or the request may be
// queued. It checks neither the retry budget nor the length of the queue.
func (d *Dispatcher) HasRoom(r Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(r.Service)
	now := d.config.Clock.Boottime()
	eligible := d.eligible(s, r, now)
	for _, t := range eligible {
		if d.hasRoom(t, now) {
			return true
		}
	}
	return len(eligible) > 0 && s.mayQueue(r, d.placeWait(eligible, now), len(s.queue), now) == nil && !s.certainlyLate(&r, eligible, false, now)
}

// HasRetryBudget reports whether the retry budget of a service has a token left.
func (d *Dispatcher) HasRetryBudget(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service(service).budget.HasToken()
}

// allowance returns the number of retries that all instances together may make.
func (d *Dispatcher) allowance() retry.Allowance {
	return retry.Allowance{Ratio: d.config.Bounds.RetryRatio, Extra: d.config.Bounds.RetryExtra, Instances: d.config.InstanceCount()}
}

// usable reports whether a searcher may get one more request for the given regions; none means
// any region. It checks the limit of a cold searcher, but not whether the searcher has room.
func (d *Dispatcher) usable(t *target, regions []string, now time.Duration) bool {
	return d.unusable(t, regions, now) == ""
}

// unusable returns why a searcher is not usable, empty if it is.
func (d *Dispatcher) unusable(t *target, regions []string, now time.Duration) string {
	if reason := d.unavailable(t, regions); reason != "" {
		return reason
	}
	if now < t.coldUntil && t.service.settings.MaxColdRequestsPerSecond > 0 && !t.coldLimiter.Allows(d.coldLimit(t.service), now) {
		return excludedCold
	}
	return ""
}

// available reports whether a searcher may get requests for the given regions at all.
func (d *Dispatcher) available(t *target, regions []string) bool {
	return d.unavailable(t, regions) == ""
}

// unavailable returns why a searcher is not available, empty if it is.
func (d *Dispatcher) unavailable(t *target, regions []string) string {
	switch {
	case t.removed:
		return excludedRemoved
	case t.Draining:
		return excludedDraining
	case t.notices.IsLeaving():
		return excludedLeaving
	case t.addressReused:
		return excludedReused
	case d.outDomains[t.FailureDomain]:
		return excludedDomainOut
	case t.missing && !t.service.mostMissing():
		return excludedMissing
	case len(regions) > 0 && !slices.Contains(regions, d.config.RegionOf[t.FailureDomain]):
		return excludedRegion
	}
	return ""
}

// coldLimit returns the limit on requests to a cold searcher of the service.
func (d *Dispatcher) coldLimit(s *service) retry.ColdLimit {
	return retry.ColdLimit{
		PerSecond: s.settings.MaxColdRequestsPerSecond,
		Overage:   d.config.Bounds.WarmupOverage,
		Slack:     d.config.Bounds.WarmupSlack,
		Instances: d.config.InstanceCount(),
		Position:  d.config.Position(),
		TimeOfDay: time.Now(),
	}
}

// connectionLimit returns how many connections this instance may have to one searcher of
// the service, at least one.
func (d *Dispatcher) connectionLimit(s *service) int {
	return s.connectionsFor(d.config.ConnectionShare().Instances)
}

// connectionsFor returns the part of the connections to one searcher that each of some instances has, at least one.
func (s *service) connectionsFor(instances int) int {
	return max(int(usableConnectionShare*float64(s.settings.MaxConnections)/float64(instances)), 1)
}
