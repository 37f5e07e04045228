package gateway

import (
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/hedge"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// latencyHistogram is the distribution of the latencies of a route's attempts. It is safe
// for concurrent use.
type latencyHistogram struct {
	mu        sync.Mutex
	histogram hedge.Histogram
}

// add adds the latency d of an attempt, observed at now on the boot clock.
func (l *latencyHistogram) add(now, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.Add(now, d)
}

// quantile returns the latency within which the share p, from 0 to 1, of the attempts is
// answered. It returns false if there are too few samples.
func (l *latencyHistogram) quantile(p float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.histogram.Quantile(p)
}

// latencyHistograms holds the latency histograms of all routes. It is safe for concurrent
// use.
type latencyHistograms struct {
	mu sync.Mutex
	// byRoute maps the names of routes to their histograms.
	byRoute map[string]*latencyHistogram
}

// forRoute returns the histogram of a route. It creates an empty one if there is none.
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

// prune deletes the histograms of routes that the configuration doesn't have.
func (l *latencyHistograms) prune(c *routing.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.byRoute {
		if !c.HasRoute(name) {
			delete(l.byRoute, name)
		}
	}
}
