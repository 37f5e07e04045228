package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// call is a caller's request while it is served.
type call struct {
	g        *Gateway
	ctx      context.Context
	route    *routing.Route
	says     platform.RequestMetadata
	method   string
	head     []byte
	body     []byte
	arrived  time.Duration
	deadline time.Duration
	events   chan dispatch.Event
	// latency is what the attempts of the route usually take.
	latency *latency
	// rank orders the requests that wait at a shard, the lowest first.
	rank float64
	// holdsBack reports whether a failed part is not to be repeated now, because
	// others of the same request could not be. It is nil without other parts.
	holdsBack func(*part) bool
}

// admit reads a request and finds its route, or says why it is refused.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, arrived time.Duration) (*call, *refusal) {
	config := g.routes.Load()
	if config == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: startingRetryAfter}
	}
	says, err := platform.ReadRequestMetadata(r.Header)
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, reason: "malformed header", detail: err.Error()}
	}
	if tooLong(r, config.Limits) {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "headers are too large"}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := config.Match(r.Host, path)
	if route == nil {
		return nil, &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	body, failure := readBody(w, r, config.Limits)
	if failure != nil {
		return nil, failure
	}
	timeout := route.Timeout
	if says.Deadline > 0 && (timeout <= 0 || says.Deadline < timeout) {
		timeout = says.Deadline
	}
	c := &call{
		g: g, ctx: r.Context(), route: route, says: says, method: r.Method, body: body,
		head: requestHead(r, len(body)), arrived: arrived, deadline: arrived + timeout,
		events:  make(chan dispatch.Event, max(len(route.Shards), 1)*maxEvents),
		latency: g.latencies.of(route.Name),
	}
	return c, nil
}

// maxEvents bounds the attempts of a request for each shard, so that their events
// never wait for the request.
const maxEvents = 16

func tooLong(r *http.Request, limits routing.Limits) bool {
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

func readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits) ([]byte, *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	reader := io.Reader(r.Body)
	if limits.MaxBodyBytes > 0 {
		reader = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
	}
	body, err := io.ReadAll(reader)
	if err == nil {
		return body, nil
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
	}
	return nil, &refusal{status: http.StatusBadRequest, reason: "body could not be read"}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

// ofOneConnection reports whether a header is not to be passed on.
func ofOneConnection(name string, h http.Header) bool {
	if slices.Contains(hopHeaders, name) {
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

// requestHead returns the head of the request to a searcher, without the lines
// that belong to one attempt and without the empty line at its end.
func requestHead(r *http.Request, bodyBytes int) []byte {
	b := make([]byte, 0, 512)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.RequestURI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		if platform.IsAttemptHeader(name) || ofOneConnection(name, r.Header) {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if bodyBytes > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(bodyBytes), 10)
		b = append(b, "\r\n"...)
	}
	return b
}

// wire returns the whole request for a searcher.
func (c *call) wire(searcherID string, left time.Duration) []byte {
	b := make([]byte, 0, len(c.head)+len(c.body)+attemptBytes)
	b = append(b, c.head...)
	b = platform.AppendAttemptHeaders(b, searcherID, left)
	b = append(b, "\r\n"...)
	return append(b, c.body...)
}

// attemptBytes is the usual size of what an attempt adds to the head.
const attemptBytes = 96

func (c *call) now() time.Duration { return c.g.config.Clock.Boottime() }

// start sends the request to a searcher of the part's service.
func (c *call) start(p *part, kind dispatch.Kind) (*dispatch.Attempt, error) {
	return c.g.config.Dispatcher.Start(c.request(p, kind))
}

func (c *call) request(p *part, kind dispatch.Kind) dispatch.Request {
	return dispatch.Request{
		Service:       p.service,
		Regions:       c.route.Regions,
		RequestID:     c.says.ID,
		Method:        c.method,
		Encode:        c.wire,
		Deadline:      c.deadline,
		LatencyTarget: c.aim(),
		DueBy:         c.arrived + c.aim(),
		Rank:          c.rank,
		Avoid:         p.avoided(),
		Kind:          kind,
		Tag:           p.tag,
		OnEnd:         func(e dispatch.Event) { c.events <- e },
	}
}

// hedgeDelay returns when a request to a service is slow enough for a second
// attempt: when most are answered, but early enough that the second one can still
// come before the answer is due.
func (c *call) hedgeDelay() time.Duration {
	typical, known := c.latency.at(0.5)
	if !known {
		return max(c.route.TargetLatency/3, minHedgeDelay)
	}
	slow, _ := c.latency.at(hedgeQuantile)
	useful := c.aim() - usefulFactor*typical
	return max(min(slow, useful), 3*typical/2, minHedgeDelay)
}

const (
	// hedgeQuantile is the share of parts that are not hedged.
	hedgeQuantile = 0.9
	// usefulFactor times the usual latency is the time that a second attempt needs.
	usefulFactor = 2
	// minHedgeDelay keeps the jitter of the instance itself from causing hedges.
	minHedgeDelay = 6 * time.Millisecond
)
