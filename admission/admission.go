// Package admission decides whether an entry accepts a request. It limits the number
// of concurrent requests and divides that number fairly among services, and each
// service's share among its callers. It does no I/O. Times are readings of the boot
// clock.
package admission

import (
	"math"
	"sort"
	"time"
)

const (
	// demandWindow is the period over which the demand of a service or caller is
	// measured. The demand measured in one window applies until the end of the next.
	// A window is longer than the time that several answers take, so that a caller keeps
	// its share between two of its requests.
	demandWindow = 500 * time.Millisecond
	// shareInterval is the minimum time between two computations of the shares while
	// no service or caller is added and no window ends. With maxCallers callers, a
	// computation takes far longer than the rest of an admission.
	shareInterval = 5 * time.Millisecond
	// maxCallers bounds the number of callers that are tracked separately in one
	// service, because callers choose their own names. All further callers are
	// treated as one, under the name otherCallers.
	maxCallers   = 1024
	otherCallers = "\x00others"

	// A service or caller that already runs its whole share may run more requests only
	// if a reserve stays free for those that run less than their share. The reserve is a
	// tenth of the capacity (reserveFraction), at most maxReserve requests. A small
	// reserve is enough, because many requests end while one runs.
	reserveFraction = 0.1
	maxReserve      = 3

	// The adaptive limit N of a service starts at initialLimit. It doubles with every N
	// good answers until the first congestion (slow start), and grows by one with every
	// N good answers after that. Only answers to requests that were admitted close to the
	// limit are counted. Congestion multiplies the limit by decreaseFactor, at most once
	// per minDecreaseInterval. A decrease leaves at least minLimit, and growth ends at
	// Config.TotalLimit.
	initialLimit        = 32
	minLimit            = 4
	decreaseFactor      = 0.85
	minDecreaseInterval = 100 * time.Millisecond
)

// Config holds the limits of a Limiter.
type Config struct {
	// TotalLimit is the maximum number of requests that run in the entry at once.
	TotalLimit int
	// PerServiceLimit is the maximum number of requests that run in each service at
	// once. With zero, each service has a limit that adapts to the capacity of its
	// upstreams.
	PerServiceLimit int
}

// Limiter counts the running requests and admits or refuses new ones. It is not safe
// for concurrent use.
type Limiter struct {
	config   Config
	root     group
	services map[string]*service
}

type service struct {
	adaptiveLimit float64
	slowStart     bool
	lastDecrease  time.Duration
	callers       group
}

// group divides a capacity among its children by max-min fairness: no child gets more
// than fairShare while another child's demand exceeds what it has. computedAt is when
// fairShare was computed; outdated forces a new computation.
type group struct {
	running     int
	children    map[string]*child
	fairShare   float64
	computedAt  time.Duration
	windowStart time.Duration
	outdated    bool
}

// child is a service or a caller. Its demand is derived from the average number of its
// running requests in the previous window. It is the whole capacity if a request was
// refused in the current or the previous window.
type child struct {
	running         int
	startedInWindow bool
	refused         [2]bool // whether a request was refused in the current and the previous window
	// runningSeconds is the integral of running over the current window, in
	// request-seconds, up to accumulatedAt. averageRunning is the average of running
	// over the previous window. It is valid only if hasAverage is true.
	runningSeconds float64
	accumulatedAt  time.Duration
	averageRunning float64
	hasAverage     bool
}

func (c *child) accumulate(now time.Duration) {
	c.runningSeconds += float64(c.running) * (now - c.accumulatedAt).Seconds()
	c.accumulatedAt = now
}

// New returns a limiter without running requests.
func New(config Config) *Limiter {
	return &Limiter{config: config, root: newGroup(), services: make(map[string]*service)}
}

func newGroup() group { return group{children: make(map[string]*child), outdated: true} }

// Ticket identifies one admitted request until it is passed to Done. nearLimit is true
// if the service, with this request, ran at least 80 % of its limit at admission.
type Ticket struct {
	service   string
	caller    string
	nearLimit bool
}

// Admit admits a request of a caller to a service and returns its ticket. It returns
// false if the request must be refused; the ticket is then not valid and must not be
// passed to Done.
func (l *Limiter) Admit(now time.Duration, serviceName, caller string) (Ticket, bool) {
	s := l.services[serviceName]
	if s == nil {
		s = &service{adaptiveLimit: initialLimit, slowStart: true, callers: newGroup()}
		l.services[serviceName] = s
	}
	caller = s.callers.childName(caller)
	total := float64(l.config.TotalLimit)
	serviceShare := l.root.shareOf(now, total, serviceName)
	serviceChild := l.root.children[serviceName]
	// A service may run more than its share. All that it runs is divided fairly among
	// its callers, not only its share.
	capacity := min(l.limitOf(s), max(serviceShare, float64(serviceChild.running)+1))
	callerShare := s.callers.shareOf(now, capacity, caller)
	callerChild := s.callers.children[caller]
	serviceFits := l.root.fits(serviceChild, serviceShare, total)
	if !serviceFits || !s.callers.fits(callerChild, callerShare, capacity) {
		callerChild.refused[0] = true
		serviceChild.refused[0] = serviceChild.refused[0] || !serviceFits
		return Ticket{}, false
	}
	l.root.start(now, serviceChild)
	s.callers.start(now, callerChild)
	nearLimit := float64(serviceChild.running) >= l.limitOf(s)*0.8
	return Ticket{service: serviceName, caller: caller, nearLimit: nearLimit}, true
}

// Outcome is what a finished request shows about the load of its upstreams.
type Outcome uint8

// Good is a timely answer. Congested means that the answer was too late, or that an
// upstream refused part of the request for lack of capacity. Neutral shows nothing
// about the upstreams and leaves the limit unchanged.
const (
	Good Outcome = iota
	Congested
	Neutral
)

// Done ends an admitted request and adapts the limit of its service to the outcome. It
// must be called once per ticket.
func (l *Limiter) Done(now time.Duration, t Ticket, outcome Outcome) {
	s := l.services[t.service]
	l.root.end(now, l.root.children[t.service])
	s.callers.end(now, s.callers.children[t.caller])
	switch {
	case outcome == Congested && now-s.lastDecrease >= minDecreaseInterval:
		s.adaptiveLimit = max(s.adaptiveLimit*decreaseFactor, minLimit)
		s.lastDecrease = now
		s.slowStart = false
	case outcome == Good && t.nearLimit:
		step := 1 / s.adaptiveLimit
		if s.slowStart {
			step = 1
		}
		s.adaptiveLimit = min(s.adaptiveLimit+step, float64(l.config.TotalLimit))
	}
}

// Running returns the number of running requests.
func (l *Limiter) Running() int { return l.root.running }

// Limit returns the current limit of a service, or 0 if the service had no request yet.
func (l *Limiter) Limit(serviceName string) int {
	if s := l.services[serviceName]; s != nil {
		return int(l.limitOf(s))
	}
	return 0
}

func (l *Limiter) limitOf(s *service) float64 {
	if l.config.PerServiceLimit > 0 {
		return float64(l.config.PerServiceLimit)
	}
	return s.adaptiveLimit
}

// childName returns the name under which a caller is tracked: its own, or otherCallers
// if it is new and maxCallers callers are tracked already.
func (g *group) childName(name string) string {
	if g.children[name] == nil && len(g.children) >= maxCallers {
		return otherCallers
	}
	return name
}

func (g *group) start(now time.Duration, c *child) {
	c.accumulate(now)
	g.running++
	c.running++
	c.startedInWindow = true
}

func (g *group) end(now time.Duration, c *child) {
	c.accumulate(now)
	g.running--
	c.running--
}

// shareOf adds the named child if it is new, and returns the fair share, which is the
// same for all children. It first starts a new window if one is due. It recomputes the
// share for the given capacity if the share is outdated or shareInterval old.
func (g *group) shareOf(now time.Duration, capacity float64, name string) float64 {
	if now-g.windowStart >= demandWindow {
		g.rotateWindow(now)
	}
	if g.children[name] == nil {
		g.children[name] = &child{accumulatedAt: now}
		g.outdated = true
	}
	if g.outdated || now-g.computedAt >= shareInterval {
		g.fairShare = g.maxMinShare(capacity)
		g.computedAt, g.outdated = now, false
	}
	return g.fairShare
}

// fits reports whether a child with the given share may run one more request.
func (g *group) fits(c *child, share, capacity float64) bool {
	free := capacity - float64(g.running)
	if free < 1 {
		return false
	}
	reserve := math.Ceil(min(capacity*reserveFraction, maxReserve))
	return float64(c.running)+1 <= share || free >= 1+reserve
}

// rotateWindow starts a new window and removes idle children that neither started a
// request nor were refused one in the window that ends.
func (g *group) rotateWindow(now time.Duration) {
	length := (now - g.windowStart).Seconds()
	g.windowStart = now
	g.outdated = true
	for name, c := range g.children {
		if c.running == 0 && !c.startedInWindow && !c.refused[0] {
			delete(g.children, name)
			continue
		}
		c.accumulate(now)
		c.averageRunning, c.hasAverage = c.runningSeconds/length, true
		c.runningSeconds, c.startedInWindow = 0, false
		c.refused = [2]bool{false, c.refused[0]}
	}
}

// demand estimates how many requests the child would run if it could, at most
// capacity. Without a refusal, the estimate is one more than the average, or than the
// running requests if there is no average yet, so that the child can grow. Bursts above
// it use the reserved capacity.
func (c *child) demand(capacity float64) float64 {
	if c.refused[0] || c.refused[1] {
		return capacity
	}
	if !c.hasAverage {
		return min(float64(c.running+1), capacity)
	}
	return min(c.averageRunning+1, capacity)
}

// maxMinShare returns the max-min fair share. If each child gets its demand, but no
// more than this share, all of them together use exactly the capacity. maxMinShare
// returns the capacity if it exceeds the sum of the demands. The share is at least one,
// so that each child can run a request.
func (g *group) maxMinShare(capacity float64) float64 {
	demands := make([]float64, 0, len(g.children))
	for _, c := range g.children {
		demands = append(demands, c.demand(capacity))
	}
	sort.Float64s(demands)
	left := capacity
	for i, d := range demands {
		equalShare := left / float64(len(demands)-i)
		if d >= equalShare {
			return max(equalShare, 1)
		}
		left -= d
	}
	return capacity
}
