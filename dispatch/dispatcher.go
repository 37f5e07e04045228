// Package dispatch sends requests to searchers: it chooses the searcher, keeps
// the connections and holds the budgets of repeats and of cold searchers.
package dispatch

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/retry"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// Reasons why an attempt is not started. The request was not sent.
const (
	// ErrNoSearcher reports that no usable searcher is left for the request.
	ErrNoSearcher = errors.ConstError("no usable searcher")
	// ErrBusy reports that the searchers have no room, and that the request is not let
	// in to wait for it.
	ErrBusy = errors.ConstError("too many requests wait for a connection")
	// ErrBudget reports that the budget of repeated requests is spent.
	ErrBudget = errors.ConstError("budget of repeated requests is spent")
)

const (
	// connectionsUsed is the share of a searcher's connections that the instances
	// use together; the rest is for connections that it has not seen closed yet.
	connectionsUsed = 0.9
	// waitersPerConnection bounds the requests that wait for a connection.
	waitersPerConnection = 2
)

// Config describes a dispatcher.
type Config struct {
	// Instance names this instance.
	Instance      string
	FailureDomain string
	RegionOf      map[string]string
	Bounds        platform.Bounds
	Clock         clock.Clock
	// Sharers returns the number of instances that share connections and budgets.
	Sharers  func() int
	Log      *slog.Logger
	Registry prometheus.Registerer
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	config  Config
	metrics *metrics

	mu        sync.Mutex
	services  map[string]*service
	searchers map[string]*target
	// out holds the failure domains that are out of service.
	out map[string]bool
}

// New returns a dispatcher that knows no searcher.
func New(config Config) *Dispatcher {
	return &Dispatcher{
		config:    config,
		metrics:   newMetrics(config.Registry),
		services:  make(map[string]*service),
		searchers: make(map[string]*target),
		out:       make(map[string]bool),
	}
}

// SetConfig takes the services of a configuration.
func (d *Dispatcher) SetConfig(c *routing.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range c.Services {
		d.service(s.Name).settings = *s
	}
}

// SetOut takes a failure domain out of service, or back in.
func (d *Dispatcher) SetOut(domain string, out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.out[domain] = out
}

// service returns the state of a service, which is made when it is first named.
func (d *Dispatcher) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{settings: routing.Service{Name: name}}
		d.services[name] = s
	}
	return s
}

// PutSearcher takes a new or changed searcher.
func (d *Dispatcher) PutSearcher(s fleet.Searcher) {
	d.mu.Lock()
	now := d.config.Clock.Boottime()
	t := d.searchers[s.ID]
	var stale []*connection
	if t != nil && t.replacedBy(s) {
		stale = d.drop(t)
		t = nil
	}
	if t == nil {
		t = &target{Searcher: s, service: d.service(s.Service)}
		t.service.targets = append(t.service.targets, t)
		d.searchers[s.ID] = t
	}
	t.Searcher = s
	t.missing = false
	t.coldUntil = now + s.ColdFor
	if s.Draining {
		stale = append(stale, t.takeIdle()...)
	}
	ready := t.service.launchWaiters(d)
	d.mu.Unlock()
	closeAll(stale)
	runAll(ready)
}

// SetMissing notes that a searcher's entry may have lapsed through the store's
// fault. It gets requests only while most of its service's searchers are missing.
func (d *Dispatcher) SetMissing(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.searchers[id]; t != nil {
		t.missing = true
	}
}

// RemoveSearcher forgets a searcher. Requests that it runs go on.
func (d *Dispatcher) RemoveSearcher(id string) {
	d.mu.Lock()
	var stale []*connection
	var ready []func()
	if t := d.searchers[id]; t != nil {
		stale = d.drop(t)
		ready = t.service.launchWaiters(d)
	}
	d.mu.Unlock()
	closeAll(stale)
	runAll(ready)
}

func (d *Dispatcher) drop(t *target) []*connection {
	delete(d.searchers, t.ID)
	t.removed = true
	s := t.service
	for i := range s.targets {
		if s.targets[i] == t {
			s.targets = append(s.targets[:i], s.targets[i+1:]...)
			break
		}
	}
	return t.takeIdle()
}

// HasRoom reports whether an attempt would be sent now, or let in to wait for a searcher.
func (d *Dispatcher) HasRoom(r Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(r.Service)
	now := d.config.Clock.Boottime()
	reachable := d.reachable(s, r, now)
	for _, t := range reachable {
		if d.hasRoom(t) {
			return true
		}
	}
	return len(reachable) > 0 && s.cut.Admits(r.Rank)
}

// CanRepeat reports whether the budget of a service has a repeat left.
func (d *Dispatcher) CanRepeat(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.service(service).budget.Affords()
}

// allowance is what the instances together may repeat.
func (d *Dispatcher) allowance() retry.Allowance {
	return retry.Allowance{Ratio: d.config.Bounds.RetryRatio, Extra: d.config.Bounds.RetryExtra, Sharers: d.config.Sharers()}
}

// usable reports whether a searcher may get a request at all.
func (d *Dispatcher) usable(t *target, regions []string, now time.Duration) bool {
	if t.removed || t.Draining || t.replaced || d.out[t.FailureDomain] || (t.missing && !t.service.mostMissing()) {
		return false
	}
	if len(regions) > 0 && !slices.Contains(regions, d.config.RegionOf[t.FailureDomain]) {
		return false
	}
	if now < t.coldUntil && t.service.settings.MaxColdRequestsPerSecond > 0 {
		return t.cold.Allows(d.coldLimit(t.service), now)
	}
	return true
}

func (d *Dispatcher) coldLimit(s *service) retry.ColdLimit {
	return retry.ColdLimit{
		PerSecond: s.settings.MaxColdRequestsPerSecond,
		Overage:   d.config.Bounds.WarmupOverage,
		Slack:     d.config.Bounds.WarmupSlack,
		Sharers:   d.config.Sharers(),
	}
}

// connectionLimit is how many connections this instance may have to a searcher.
func (d *Dispatcher) connectionLimit(s *service) int {
	return max(int(connectionsUsed*float64(s.settings.MaxConnections)/float64(d.config.Sharers())), 1)
}
