// Package admission decides whether an entry takes a request: within a limit
// of concurrent requests, with fair shares among services and then among
// callers. It does no I/O; time is that of the boot clock.
package admission

import (
	"math"
	"sort"
	"time"
)

const (
	// window is how long the demand of a service or caller is remembered after
	// it was last seen. It spans several answers, so that a share is not given
	// away between two requests of one caller.
	window = 500 * time.Millisecond
	// shareEvery bounds how often shares are computed anew: with maxCallers this
	// takes far longer than the rest of an admission.
	shareEvery = 5 * time.Millisecond
	// maxCallers bounds the callers counted apart in one service, since callers
	// choose their names. The others share the place of one.
	maxCallers = 1024
	otherwise  = "\x00others"

	// A child that has its share may take further free places while more than a
	// tenth of the capacity, at most maxReserve, stays free for children that have
	// less. A few are enough: places come free many times in one answer's time.
	reservePart = 0.1
	maxReserve  = 3

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
	// TotalLimit is the number of requests that may run in the entry at once.
	TotalLimit int
	// ServiceLimit fixes the limit of each service. Zero adapts it to what the
	// service's upstreams can take.
	ServiceLimit int
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
	shared   time.Duration
	rotated  time.Duration
	stale    bool
}

// child is a service or a caller. Its demand is the number that ran on average
// in the last window, and without bound if it was refused.
type child struct {
	running int
	seen    bool
	refused [2]bool
	// area is the sum over the window of the number running times the seconds it
	// ran, up to counted. average is that of the last window, known if measured.
	area     float64
	counted  time.Duration
	average  float64
	measured bool
}

func (c *child) count(now time.Duration) {
	c.area += float64(c.running) * (now - c.counted).Seconds()
	c.counted = now
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
	total := float64(l.config.TotalLimit)
	share := l.root.shareOf(now, total, serviceName)
	mine := l.root.children[serviceName]
	// A service that borrows beyond its share lends what it borrowed to all its
	// callers alike.
	capacity := min(l.limitOf(s), max(share, float64(mine.running)+1))
	callerShare := s.callers.shareOf(now, capacity, caller)
	its := s.callers.children[caller]
	serviceFits := l.root.fits(mine, share, total)
	if !serviceFits || !s.callers.fits(its, callerShare, capacity) {
		its.refused[0] = true
		mine.refused[0] = mine.refused[0] || !serviceFits
		return Ticket{}, false
	}
	l.root.start(now, mine)
	s.callers.start(now, its)
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
	l.root.end(now, l.root.children[t.service])
	s.callers.end(now, s.callers.children[t.caller])
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
		s.limit = min(s.limit+step, float64(l.config.TotalLimit))
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
	if l.config.ServiceLimit > 0 {
		return float64(l.config.ServiceLimit)
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

func (g *group) start(now time.Duration, c *child) {
	c.count(now)
	g.running++
	c.running++
	c.seen = true
}

func (g *group) end(now time.Duration, c *child) {
	c.count(now)
	g.running--
	c.running--
}

// shareOf returns what the named child may run at once of the capacity.
func (g *group) shareOf(now time.Duration, capacity float64, name string) float64 {
	if now-g.rotated >= window {
		g.rotate(now)
	}
	if g.children[name] == nil {
		g.children[name] = &child{counted: now}
		g.stale = true
	}
	if g.stale || now-g.shared >= shareEvery {
		g.level = g.fill(capacity)
		g.shared, g.stale = now, false
	}
	return g.level
}

// fits reports whether a child with the given share may run one more.
func (g *group) fits(c *child, share, capacity float64) bool {
	free := capacity - float64(g.running)
	if free < 1 {
		return false
	}
	reserve := math.Ceil(min(capacity*reservePart, maxReserve))
	return float64(c.running)+1 <= share || free >= 1+reserve
}

// rotate starts a new window and forgets children that were not seen in the
// last one.
func (g *group) rotate(now time.Duration) {
	length := (now - g.rotated).Seconds()
	g.rotated = now
	g.stale = true
	for name, c := range g.children {
		if c.running == 0 && !c.seen && !c.refused[0] {
			delete(g.children, name)
			continue
		}
		c.count(now)
		c.average, c.measured = c.area/length, true
		c.area, c.seen = 0, false
		c.refused = [2]bool{false, c.refused[0]}
	}
}

// demand returns how many requests the child would run if it could. One more
// than its average lets a child that was never refused grow; its bursts find
// the places of the reserve.
func (c *child) demand(capacity float64) float64 {
	if c.refused[0] || c.refused[1] {
		return capacity
	}
	if !c.measured {
		return min(float64(c.running+1), capacity)
	}
	return min(c.average+1, capacity)
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
