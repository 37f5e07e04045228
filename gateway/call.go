package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/cost"
	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// call is the state of a caller's request while it is served.
type call struct {
	g     *Gateway
	open  *openRequest
	ctx   context.Context
	route *routing.Route
	// account is the client account of the caller, nil if there is none.
	account *routing.Account
	// header is that of the caller's request. It may hold an API key and is never logged.
	header http.Header
	// configVersion is the version of the configuration in which route and account are.
	configVersion int64
	// admittedUntil is when the request must have been sent by its account's quota, zero if that has
	// not been asked. sent says that it was sent to a searcher, quotaExpired that it was not because
	// it needs another token.
	admittedUntil time.Duration
	sent          atomic.Bool
	quotaExpired  atomic.Bool
	callerRequest platform.RequestMetadata
	method        string
	// head is the encoded head of the request that is the same for all attempts.
	head []byte
	body []byte
	// memory is what the body and its copies take from the budget of the process.
	memory *memory.Holder
	// arrived and deadline are times on the boot clock. arrived is the latest possible time if it is
	// not known exactly.
	arrived  time.Duration
	deadline time.Duration
	// events receives the ends of the attempts of all parts.
	events chan dispatch.Event
	// replies holds the replies of the attempts.
	replies heldReplies
	// attemptLatency is the distribution of the latencies of the route's attempts.
	attemptLatency *latencyHistogram
	// rank orders the requests that wait for a searcher, the lowest first. It is zero if
	// the route has no shards and the configuration no client accounts.
	rank float64
	// ranked says that the rank is that of the client account, and that the request counts for it.
	ranked bool
	// deferRetry reports whether a failed part must not be retried now. That is so if the
	// request may get too few parts anyway, because other parts are given up or have no
	// retry budget left in case they fail. It is nil if the route has no shards.
	deferRetry func(*part) bool
}

// newCall reads a request and finds its route. If the request can't be served, it returns
// a refusal instead.
func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, arrived arrival.Span) (*call, *refusal) {
	config := g.routingConfig.Load()
	if config == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: startingRetryAfter}
	}
	callerRequest, err := platform.ReadRequestMetadata(r.Header)
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, reason: "malformed header", detail: err.Error()}
	}
	if headersTooLarge(r, config.Limits) {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "headers are too large"}
	}
	admitted, refused := g.admit(r, callerRequest, arrived)
	if refused != nil {
		return nil, refused
	}
	config, route := admitted.config, admitted.route
	c := &call{
		g: g, ctx: r.Context(), route: route, account: admitted.account, header: r.Header, configVersion: config.Version, callerRequest: callerRequest, method: r.Method,
		memory: g.config.Memory.Hold(), arrived: arrived.Latest, deadline: admitted.deadline,
		events:         make(chan dispatch.Event, max(len(route.Shards), 1)*maxEventsPerPart),
		attemptLatency: g.attemptLatencies.forRoute(route.Name),
	}
	refusal := c.lateRefusal()
	if refusal == nil {
		if refusal = c.admitByQuota(); refusal != nil {
			c.discardBody(w, r)
		}
	}
	if refusal == nil {
		refusal = c.readBody(w, r, config.Limits)
	}
	if refusal == nil && c.body != nil {
		// The body may have come long after the head.
		if refusal = c.keyRefusal(); refusal != nil {
			g.countUnauthenticated(refusal)
		}
	}
	if refusal == nil {
		c.head = c.requestHead(r, config.Accounts != nil)
		refusal = c.takeCopies()
	}
	if refusal == nil {
		refusal = c.lateRefusal()
	}
	if refusal == nil {
		refusal = c.stopRefusal()
	}
	if refusal == nil {
		// A body may take so long that requests admitted one after another would run at once.
		refusal = c.admitByQuota()
	}
	if refusal != nil {
		c.memory.Release()
		return nil, refusal
	}
	if config.Accounts != nil {
		c.rankFairly()
	}
	return c, nil
}

// requestTimeout returns the time limit of a request.
func requestTimeout(route *routing.Route, callerRequest platform.RequestMetadata) time.Duration {
	timeout := route.Timeout
	if callerRequest.CallerTimeout > 0 && (timeout <= 0 || callerRequest.CallerTimeout < timeout) {
		timeout = callerRequest.CallerTimeout
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return timeout
}

// defaultTimeout is the time limit of a request for which neither its caller nor its route sets
// one.
const defaultTimeout = 30 * time.Second

// deadlineOf returns the deadline of a request. The earliest time of its arrival counts, but if the
// time is not known exactly, at least half of the time limit is left from the latest one on: a caller
// that has given up has closed its connection.
func deadlineOf(arrived arrival.Span, timeout time.Duration) time.Duration {
	if arrived.Exact() {
		return arrived.Latest + timeout
	}
	return max(arrived.Earliest+timeout, arrived.Latest+timeout/2)
}

// lateRefusal returns the refusal of a request whose deadline passed before it was read, else nil.
func (c *call) lateRefusal() *refusal {
	if c.now() < c.deadline {
		return nil
	}
	return c.notRunRefusal("deadline passed before the request was read", 0)
}

// callerGone reports whether the caller has closed its end of the connection.
func (c *call) callerGone() bool {
	return c.ctx.Err() != nil || arrival.FromContext(c.ctx).PeerClosed()
}

// leftInStall reports whether the caller has closed its end and this process may not have noticed,
// because it was stalled meanwhile.
func (c *call) leftInStall() bool {
	return c.g.config.StalledBetween(c.arrived, c.now()) && c.callerGone()
}

// maxEventsPerPart is the capacity of a call's events channel for each part. The retries and
// hedges of a part are limited accordingly, so that an attempt that ends never blocks on the
// channel.
const maxEventsPerPart = 16

// now returns the time on the boot clock.
func (c *call) now() time.Duration { return c.g.config.Clock.Boottime() }

// dispatchAttempt sends the request to a searcher of the part's service, or queues it until
// one has room. If no attempt is made, it returns the error of Dispatcher.Start.
func (c *call) dispatchAttempt(p *part, kind dispatch.Kind) (*dispatch.Attempt, error) {
	return c.g.config.Dispatcher.Start(c.dispatchRequest(p, kind))
}

// dispatchRequest returns the dispatcher's request for an attempt of the given kind at the
// part's service.
func (c *call) dispatchRequest(p *part, kind dispatch.Kind) dispatch.Request {
	return dispatch.Request{
		Service:       p.service,
		Route:         c.route.Name,
		Regions:       c.route.Regions,
		RequestID:     c.callerRequest.ID,
		Method:        c.method,
		Encode:        c.encode,
		Size:          len(c.head) + len(c.body) + attemptHeaderBytes,
		Deadline:      c.deadline,
		LatencyTarget: c.latencyBudget(),
		DueBy:         c.arrived + c.latencyBudget(),
		CostKind:      c.costKind(),
		Rank:          c.rank,
		Avoid:         p.searchersToAvoid(),
		Earlier:       p.earlier,
		Kind:          kind,
		RunOnce:       !c.route.Idempotent,
		Wanted:        func() bool { return !c.leftInStall() && !c.revokedInStall() },
		Tag:           p.index,
		OnEnd: func(e dispatch.Event) {
			c.replies.add(e.Reply)
			c.events <- e
		},
	}
}

// costKind returns which requests are expected to cost as much as this one.
func (c *call) costKind() cost.Kind {
	k := cost.Kind{Route: c.route.Name, Size: cost.SizeClassOf(len(c.body))}
	if c.account != nil {
		k.Account = c.account.Name
	}
	return k
}

// hedgeDelay returns how long to wait for an attempt before a hedge is sent. By then most
// attempts are answered, but the hedge can usually still be answered within the latency
// budget. The delay is at least one and a half times the median latency. While there are
// too few samples, it is a third of the target latency. It is never below minHedgeDelay.
func (c *call) hedgeDelay() time.Duration {
	median, known := c.attemptLatency.quantile(0.5)
	if !known {
		return max(c.route.TargetLatency/3, minHedgeDelay)
	}
	slow, _ := c.attemptLatency.quantile(hedgeQuantile)
	latestUseful := c.latencyBudget() - secondAttemptFactor*median
	return max(min(slow, latestUseful), 3*median/2, minHedgeDelay)
}

const (
	// hedgeQuantile is the share of attempts that are answered before a hedge is sent. The
	// hedge is sent earlier if too little of the latency budget would be left otherwise.
	hedgeQuantile = 0.9
	// secondAttemptFactor is the time reserved for a hedge, as a multiple of the median
	// latency.
	secondAttemptFactor = 2
	// minHedgeDelay prevents hedges that are caused by jitter of the instance itself.
	minHedgeDelay = 6 * time.Millisecond
)
