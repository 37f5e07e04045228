package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

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

// headersTooLarge reports whether the request URI and the headers together exceed the
// limit, if there is one.
func headersTooLarge(r *http.Request, limits routing.Limits) bool {
	if limits.MaxHeaderBytes <= 0 {
		return false
	}
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n > limits.MaxHeaderBytes
}

// readBody reads the whole body of a request. It returns a refusal if the body is larger than the
// limit, if there is one, if the process has no memory for it, if it isn't there by the deadline
// or by the end of a planned stop, or if it breaks off.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits) *refusal {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	reader := io.Reader(r.Body)
	if limits.MaxBodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
	}
	connection := http.NewResponseController(w)
	// A response writer without deadlines has no connection that could be slow.
	_ = connection.SetReadDeadline(time.Now().Add(c.deadline - c.now()))
	endWatch := c.g.stop.interruptAtEnd(connection)
	body, err := c.memory.ReadAll(reader)
	endWatch()
	if err == nil {
		_ = connection.SetReadDeadline(time.Time{}) // as above
		arrival.FromContext(c.ctx).BodyRead()
		c.body = body
		return nil
	}
	// Without it the server reads on after a refused body before it sends the answer.
	w.Header().Set("Connection", "close")
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
	}
	if errors.Is(err, memory.ErrExhausted) {
		return c.memoryRefusal()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &refusal{status: http.StatusRequestTimeout, reason: "body did not arrive in time"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body could not be read"}
}

// takeCopies takes the memory of the copies of the body that the attempts write. The copies of
// small requests are not taken, because they are written at once.
func (c *call) takeCopies() *refusal {
	if len(c.body) <= maxUncountedCopyBytes {
		return nil
	}
	copies := int64(max(len(c.route.Shards), 1))
	if !c.memory.Grow(copies * int64(len(c.head)+len(c.body))) {
		return c.memoryRefusal()
	}
	return nil
}

// maxUncountedCopyBytes is the largest body whose copies are not taken from the memory budget.
const maxUncountedCopyBytes = 2 << 10

// memoryRefusal returns the refusal of a request for which the process has no memory.
func (c *call) memoryRefusal() *refusal {
	return c.notRunRefusal("memory is in use by other requests", 0)
}

// hopByHopHeaders are the headers that are not forwarded: those that apply to one connection
// only, and Content-Length and Expect.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// isHopByHop reports whether a header must not be forwarded, either because it is one of
// hopByHopHeaders or because the Connection header in h lists it.
func isHopByHop(name string, h http.Header) bool {
	if slices.Contains(hopByHopHeaders, name) {
		return true
	}
	for _, listed := range h["Connection"] {
		for field := range strings.SplitSeq(listed, ",") {
			if strings.EqualFold(strings.TrimSpace(field), name) {
				return true
			}
		}
	}
	return false
}

// requestHead returns the encoded head of the request to a searcher. It contains neither
// the headers that differ between attempts nor the empty line at the end. If the configuration has
// client accounts, the account of the request takes the place of the caller's credentials.
func (c *call) requestHead(r *http.Request, hasAccounts bool) []byte {
	b := make([]byte, 0, 512)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		if platform.IsAttemptHeader(name) || isHopByHop(name, r.Header) || hasAccounts && platform.IsAccountHeader(name) {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if c.account != nil {
		b = platform.AppendAccountHeader(b, c.account.Name)
	}
	bodyBytes := len(c.body)
	if bodyBytes > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(bodyBytes), 10)
		b = append(b, "\r\n"...)
	}
	return b
}

// encode returns the encoded request for a searcher, with the time that is left until the
// deadline. It returns nil if the quota does not allow that the request is sent now.
func (c *call) encode(searcherID string, left time.Duration) []byte {
	if !c.maySend() {
		return nil
	}
	b := make([]byte, 0, len(c.head)+len(c.body)+attemptHeaderBytes)
	b = append(b, c.head...)
	b = platform.AppendAttemptHeaders(b, searcherID, left)
	b = append(b, "\r\n"...)
	return append(b, c.body...)
}

// attemptHeaderBytes is the usual size of the headers that differ between attempts.
const attemptHeaderBytes = 96

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
