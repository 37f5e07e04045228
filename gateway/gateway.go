// Package gateway serves the requests of callers: it finds the route, sends the
// request to one searcher, or to one of each shard, and answers.
package gateway

import (
	"log/slog"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// Config describes a gateway.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	Clock      clock.Clock
	Log        *slog.Logger
	Registry   prometheus.Registerer
}

// Gateway is the http.Handler for callers.
type Gateway struct {
	config   Config
	metrics  *metrics
	routes   atomic.Pointer[routing.Config]
	leaving  atomic.Bool
	inFlight atomic.Int64
	log      *requestlog.Writer
	// latencies are learned from the attempts of each route.
	latencies latencies
}

// New returns a gateway without configuration, which refuses all requests.
func New(config Config) *Gateway {
	return &Gateway{
		config: config, metrics: newMetrics(config.Registry), log: requestlog.NewWriter(config.Log),
		latencies: latencies{routes: make(map[string]*latency)},
	}
}

// SetConfig puts a configuration in force, unless it is older than the present
// one. It reports whether it did.
func (g *Gateway) SetConfig(c *routing.Config) bool {
	for {
		old := g.routes.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if g.routes.CompareAndSwap(old, c) {
			g.latencies.keep(c)
			return true
		}
	}
}

// Configuration returns the configuration in force, or nil.
func (g *Gateway) Configuration() *routing.Config { return g.routes.Load() }

// DisableKeepAlives makes each answer end its connection.
func (g *Gateway) DisableKeepAlives() { g.leaving.Store(true) }

// InFlight returns the number of requests that are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	started := g.config.Clock.Boottime()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c, refusal := g.admit(w, r, started)
	if refusal != nil {
		g.refuse(w, r, refusal)
		return
	}
	var a answer
	if len(c.route.Shards) > 0 {
		a = c.gather()
	} else {
		a = c.single()
	}
	g.write(w, r, c, a)
}

// answer is what the caller gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	// partial is the number of shards that are missing.
	partial int
	// refusal is set in place of the others if there is no answer of a searcher.
	refusal *refusal
	// gone says that the caller has left.
	gone bool
}

func (g *Gateway) write(w http.ResponseWriter, r *http.Request, c *call, a answer) {
	if a.gone {
		g.metrics.outcomes.WithLabelValues("caller gone").Inc()
		return
	}
	if a.refusal != nil {
		g.refuse(w, r, a.refusal)
		return
	}
	h := w.Header()
	for name, values := range a.header {
		if !ofOneConnection(name, a.header) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the server from guessing one
	}
	if g.leaving.Load() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		g.config.Log.Debug("answer was not delivered", "request", c.says.ID, "error", err.Error())
	}
	outcome := "whole"
	switch {
	case a.status/100 != 2:
		outcome = "failed at searcher"
	case a.partial > 0:
		outcome = "partial"
	}
	g.metrics.outcomes.WithLabelValues(outcome).Inc()
	g.metrics.latency.Observe((g.config.Clock.Boottime() - c.arrived).Seconds())
}
