// Package admission decides whether an entry takes a request: within a limit
// of concurrent requests, with fair shares among services and then among
// callers. It does no I/O; time is that of the boot clock.
package admission

import (
	"sort"
	"time"
)

const (
	// window is how long the demand of a service or caller is remembered after
	// it was last seen. It spans several answers, so that a share is not given
	// away between two requests of one caller.
	window = 500 * time.Millisecond
	// shareEvery bounds how often shares are computed anew.
	shareEvery = 5 * time.Millisecond
	// maxCallers bounds the callers counted apart in one service, since callers
	// choose their names. The others share the place of one.
	maxCallers = 1024
	otherwise  = "\x00others"

	// The adaptive limit of a service starts at initialLimit, doubles with each
	// limit's worth of good answers until the first sign of congestion, grows by
	// one after that, and is cut by backoff at most once in cutEvery.
	initialLimit = 32
	minLimit     = 4
	backoff      = 0.85
	cutEvery     = 100 * time.Millisecond
)

// Config describes a Limiter.
type Config struct {
	// Total is the number of requests that may run in the entry at once.
	Total int
	// PerService fixes the limit of each service. Zero adapts it to what the
	// service's upstreams can take.
	PerService int
}

// Limiter counts the requests that run. It is not safe for concurrent use.
type Limiter struct {
	config   Config
	root     group
	services map[string]*service
}

type service struct {
	limit   float64
	growing bool
	lastCut time.Duration
	callers group
}

// group divides a capacity among its children by max-min fairness: no child
// gets more than level while another wants more than it has.
type group struct {
	running  int
	children map[string]*child
	level    float64
	capacity float64
	shared   time.Duration
	rotated  time.Duration
	stale    bool
}

// child is a service or a caller. Its demand is the greatest number that ran at
// once in this and the last window, and without bound if it was refused.
type child struct {
	running int
	peak    [2]int
	refused [2]bool
}

// New returns a limiter that runs nothing.
func New(config Config) *Limiter {
	return &Limiter{config: config, root: newGroup(), services: make(map[string]*service)}
}

func newGroup() group { return group{children: make(map[string]*child), stale: true} }

// Ticket is the place of one admitted request.
type Ticket struct {
	service string
	caller  string
	full    bool
}

// Admit takes a request, or reports false if it must be refused now.
func (l *Limiter) Admit(now time.Duration, serviceName, caller string) (Ticket, bool) {
	s := l.services[serviceName]
	if s == nil {
		s = &service{limit: initialLimit, growing: true, callers: newGroup()}
		l.services[serviceName] = s
	}
	caller = s.callers.nameOf(caller)
	share := l.root.shareOf(now, float64(l.config.Total), serviceName)
	capacity := min(share, l.limitOf(s))
	callerShare := s.callers.shareOf(now, capacity, caller)
	mine, its := l.root.children[serviceName], s.callers.children[caller]
	serviceFull := float64(mine.running)+1 > capacity
	callerFull := float64(its.running)+1 > callerShare
	if l.root.running >= l.config.Total || serviceFull || callerFull {
		its.refused[0] = true
		mine.refused[0] = mine.refused[0] || serviceFull || l.root.running >= l.config.Total
		return Ticket{}, false
	}
	l.root.start(mine)
	s.callers.start(its)
	full := float64(mine.running) >= l.limitOf(s)*0.8
	return Ticket{service: serviceName, caller: caller, full: full}, true
}

// Outcome is what the end of a request says about its upstreams.
type Outcome uint8

// Congested is an answer that came too late, or that upstreams refused part of
// for lack of room. Neutral says nothing.
const (
	Good Outcome = iota
	Congested
	Neutral
)

// Done gives back the place of a request and adapts the limit of its service.
func (l *Limiter) Done(now time.Duration, t Ticket, outcome Outcome) {
	s := l.services[t.service]
	l.root.end(l.root.children[t.service])
	s.callers.end(s.callers.children[t.caller])
	switch {
	case outcome == Congested && now-s.lastCut >= cutEvery:
		s.limit = max(s.limit*backoff, minLimit)
		s.lastCut = now
		s.growing = false
	case outcome == Good && t.full:
		step := 1 / s.limit
		if s.growing {
			step = 1
		}
		s.limit = min(s.limit+step, float64(l.config.Total))
	}
}

// Running returns the number of requests that run.
func (l *Limiter) Running() int { return l.root.running }

// Limit returns the present limit of a service.
func (l *Limiter) Limit(serviceName string) int {
	if s := l.services[serviceName]; s != nil {
		return int(l.limitOf(s))
	}
	return 0
}

func (l *Limiter) limitOf(s *service) float64 {
	if l.config.PerService > 0 {
		return float64(l.config.PerService)
	}
	return s.limit
}

// nameOf returns name, or the common name of callers past maxCallers.
func (g *group) nameOf(name string) string {
	if g.children[name] == nil && len(g.children) >= maxCallers {
		return otherwise
	}
	return name
}

func (g *group) start(c *child) {
	g.running++
	c.running++
	c.peak[0] = max(c.peak[0], c.running)
}

func (g *group) end(c *child) {
	g.running--
	c.running--
}

// shareOf returns what the named child may run at once of the capacity.
func (g *group) shareOf(now time.Duration, capacity float64, name string) float64 {
	if now-g.rotated >= window {
		g.rotate(now)
	}
	if g.children[name] == nil {
		g.children[name] = &child{}
		g.stale = true
	}
	if g.stale || now-g.shared >= shareEvery || capacity != g.capacity {
		g.level = g.fill(capacity)
		g.capacity, g.shared, g.stale = capacity, now, false
	}
	return g.level
}

// rotate starts a new window and forgets children that were not seen in the
// last one.
func (g *group) rotate(now time.Duration) {
	g.rotated = now
	g.stale = true
	for name, c := range g.children {
		if c.running == 0 && c.peak[0] == 0 && !c.refused[0] {
			delete(g.children, name)
			continue
		}
		c.peak = [2]int{c.running, c.peak[0]}
		c.refused = [2]bool{false, c.refused[0]}
	}
}

// demand returns how many requests the child would run if it could. One more
// than its peak lets a child that was never refused grow.
func (c *child) demand(capacity float64) float64 {
	if c.refused[0] || c.refused[1] {
		return capacity
	}
	return min(float64(max(c.peak[0], c.peak[1])+1), capacity)
}

// fill returns the level at which the demands, each cut to it, add up to the
// capacity. If they all fit it returns the capacity. A level is at least one,
// so that each child can run something.
func (g *group) fill(capacity float64) float64 {
	demands := make([]float64, 0, len(g.children))
	for _, c := range g.children {
		demands = append(demands, c.demand(capacity))
	}
	sort.Float64s(demands)
	left := capacity
	for i, d := range demands {
		level := left / float64(len(demands)-i)
		if d >= level {
			return max(level, 1)
		}
		left -= d
	}
	return capacity
}
