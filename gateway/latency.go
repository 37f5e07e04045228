package gateway

import (
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/hedge"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// latency is the distribution of the time that attempts of a route take.
type latency struct {
	mu       sync.Mutex
	quantile hedge.Histogram
}

func (l *latency) add(now, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quantile.Add(now, d)
}

// at returns the time within which the share p of the attempts is answered, and
// false while that is not known.
func (l *latency) at(p float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quantile.Quantile(p)
}

// latencies holds the distribution of each route by its name.
type latencies struct {
	mu     sync.Mutex
	routes map[string]*latency
}

func (l *latencies) of(route string) *latency {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.routes[route]
	if q == nil {
		q = &latency{}
		l.routes[route] = q
	}
	return q
}

// keep forgets the routes that a configuration no longer has.
func (l *latencies) keep(c *routing.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.routes {
		if !c.HasRoute(name) {
			delete(l.routes, name)
		}
	}
}
