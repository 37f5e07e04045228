// Package gateway serves the requests of callers. It finds the route of a request, sends
// the request to one searcher, or to one searcher of each shard, and answers the caller.
// Failed attempts are retried and slow ones are hedged if the route allows it.
package gateway

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/fairness"
	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// Config holds the dependencies of a gateway.
type Config struct {
	Dispatcher *dispatch.Dispatcher
	Clock      clock.Clock
	Log        *slog.Logger
	Registry   prometheus.Registerer
	// StalledBetween reports whether this process was stalled at some time between two times on the
	// boot clock, the second of which is now. Nil means that it never is.
	StalledBetween func(since, now time.Duration) bool
	// Memory bounds the bodies of all requests together. Nil means no bound.
	Memory *memory.Budget
	// Freshness tells how old the configuration may be. Nil means that its age does not matter.
	Freshness Freshness
	// Quotas admits the requests of client accounts. Nil means that there are no quotas.
	Quotas Quotas
}

// Gateway is the http.Handler that serves callers. It is safe for concurrent use.
type Gateway struct {
	config  Config
	metrics *metrics
	// routingConfig is the configuration in force. It is nil before the first one is set.
	routingConfig atomic.Pointer[routing.Config]
	// newConfig wakes requests that wait for a newer configuration.
	newConfig broadcast
	stop      plannedStop
	// inFlight is the number of requests that are being served.
	inFlight atomic.Int64
	// open holds these requests.
	open openRequests
	// requestLog writes, at a limited rate, the log lines that explain single requests.
	requestLog *requestlog.Writer
	// fairness ranks requests by what their client accounts send.
	fairness fairness.Tracker
	// attemptLatencies holds the latencies of the attempts of each route.
	attemptLatencies latencyHistograms
}

// New returns a gateway without routing configuration, which refuses all requests until
// SetRoutingConfig is called. It registers the gateway's metrics, and panics if
// config.Registry has them already.
func New(config Config) *Gateway {
	if config.StalledBetween == nil {
		config.StalledBetween = func(_, _ time.Duration) bool { return false }
	}
	if config.Freshness == nil {
		config.Freshness = alwaysFresh{}
	}
	return &Gateway{
		config: config, metrics: newMetrics(config.Registry), requestLog: requestlog.NewWriter(config.Log),
		attemptLatencies: latencyHistograms{byRoute: make(map[string]*latencyHistogram)},
		stop:             plannedStop{answerNow: make(chan struct{})},
		open:             openRequests{all: make(map[*openRequest]struct{})},
	}
}

// SetRoutingConfig puts a configuration in force, unless its version is the same as or
// lower than the current one. It reports whether the configuration was put in force.
func (g *Gateway) SetRoutingConfig(c *routing.Config) bool {
	for {
		old := g.routingConfig.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if g.routingConfig.CompareAndSwap(old, c) {
			g.attemptLatencies.prune(c)
			g.newConfig.send()
			return true
		}
	}
}

// RoutingConfig returns the configuration in force, or nil if none was set.
func (g *Gateway) RoutingConfig() *routing.Config { return g.routingConfig.Load() }

// InFlight returns the number of requests that are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	started := g.config.Clock.Boottime()
	arrivals := arrival.FromContext(r.Context())
	arrived := arrivals.Request(started)
	if r.Body != http.NoBody {
		arrivals.BodyBegins()
	}
	open := g.open.add(r, arrived.Latest)
	defer g.open.remove(open)
	g.observeReadDelay(r, started-arrived.Earliest, arrived.Exact())
	c, refusal := g.newCall(w, r, arrived)
	if refusal != nil {
		open.answering()
		g.refuse(w, r, refusal)
		return
	}
	c.open = open
	open.read(c.route.Name)
	defer c.memory.Release()
	defer c.replies.end()
	var a answer
	switch {
	case c.callerGone():
		a = answer{callerGone: true}
	case len(c.route.Shards) > 0:
		a = c.serveSharded()
	default:
		a = c.serveSingle()
	}
	open.answering()
	g.write(w, r, c, a)
}

// lateRead is the delay from which on a request counts as read late.
const lateRead = 100 * time.Millisecond

// observeReadDelay observes how long a request lay unread, at most if that is not known exactly. It
// logs a long delay, unless the rate limit of the log is reached.
func (g *Gateway) observeReadDelay(r *http.Request, delay time.Duration, exact bool) {
	g.metrics.readDelay.Observe(delay.Seconds())
	if delay >= lateRead && g.requestLog.Allow() {
		callerRequest, _ := platform.ReadRequestMetadata(r.Header) // the ID is read even if there is an error
		g.requestLog.Write(requestlog.ReadLate, "request", callerRequest.ID, "after_ms", delay.Milliseconds(), "exact", exact)
	}
}

// endConnection asks the caller to end its connection after this answer if the instance stops. If
// another request has arrived on it, that one is answered first: the server would drop it.
func (g *Gateway) endConnection(w http.ResponseWriter, r *http.Request) {
	if g.stop.begun.Load() && !arrival.FromContext(r.Context()).More() {
		w.Header().Set("Connection", "close")
	}
}

// answer is the answer to a caller.
type answer struct {
	status int
	header http.Header
	body   []byte
	// missingParts is the number of shards whose parts are not in the answer.
	missingParts int
	// refusal is set instead of the fields above if the gateway answers without a searcher.
	refusal *refusal
	// callerGone says that the caller has closed its end, so the request was cancelled.
	callerGone bool
}

// write sends the answer to the caller, counts its outcome and observes its latency. If the
// answer is a refusal, it only calls refuse. If the caller is gone, it only counts that, and
// writes that there is no result, since a caller that closed only its sending side still reads. A
// failed write is logged and counted like any other.
func (g *Gateway) write(w http.ResponseWriter, r *http.Request, c *call, a answer) {
	if a.callerGone {
		g.metrics.outcomes.WithLabelValues("caller gone").Inc()
		g.endConnection(w, r)
		http.Error(w, "caller closed its end", http.StatusBadGateway)
		return
	}
	if a.refusal != nil {
		if c.account != nil {
			a.refusal.account = c.account.Name
		}
		g.refuse(w, r, a.refusal)
		return
	}
	if c.ranked {
		g.fairness.Served(c.now())
	}
	h := w.Header()
	for name, values := range a.header {
		if !isHopByHop(name, a.header) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents the HTTP server from sniffing one
	}
	g.endConnection(w, r)
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		g.config.Log.Debug("answer was not delivered", "request", c.callerRequest.ID, "error", err.Error())
	}
	outcome := "whole"
	switch {
	case a.status/100 != 2:
		outcome = "failed at searcher"
	case a.missingParts > 0:
		outcome = "partial"
	}
	g.metrics.outcomes.WithLabelValues(outcome).Inc()
	g.stop.countAnswer()
	g.metrics.answerLatency.Observe((g.config.Clock.Boottime() - c.arrived).Seconds())
}
