package gateway

import (
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/hedge"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// latencyHistogram is the distribution of the time that attempts of a route take.
type latencyHistogram struct {
	mu        sync.Mutex
	histogram hedge.Histogram
}

func (l *latencyHistogram) add(now, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.Add(now, d)
}

// quantile returns the time within which the share p of the attempts is answered, and
// false while that is not known.
func (l *latencyHistogram) quantile(p float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.Quantile(p)
}

// latencyHistograms holds the distribution of each route by its name.
type latencyHistograms struct {
	mu      sync.Mutex
	byRoute map[string]*latencyHistogram
}

func (l *latencyHistograms) forRoute(route string) *latencyHistogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.byRoute[route]
	if h == nil {
		h = &latencyHistogram{}
		l.byRoute[route] = h
	}
	return h
}

// prune forgets the routes that a configuration no longer has.
func (l *latencyHistograms) prune(c *routing.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.byRoute {
		if !c.HasRoute(name) {
			delete(l.byRoute, name)
		}
	}
}
