package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
)

// refusal is an answer that the gateway makes itself, without a searcher.
type refusal struct {
	status int
	// reason is one of a small set of texts, because it is the value of a metric label.
	// detail is any further text for the caller.
	reason string
	detail string
	// retryAfter is how long the caller should wait before it repeats the request. If it is
	// zero, the answer has no Retry-After header.
	retryAfter time.Duration
	// account is the name of the client account for the log, empty if there is none.
	account string
}

// refuse sends a refusal to the caller and counts it. If its status is a server error, or a quota is
// the reason, it is logged, unless the rate limit of the log is reached.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, response *refusal) {
	if response.retryAfter > 0 {
		platform.SetRetryAfter(w.Header(), response.retryAfter)
	}
	g.endConnection(w, r)
	g.metrics.refusals.WithLabelValues(response.reason).Inc()
	g.stop.countRefusal()
	if (response.status >= http.StatusInternalServerError || response.account != "") && g.requestLog.Allow() {
		callerRequest, _ := platform.ReadRequestMetadata(r.Header) // the ID is read even if there is an error
		facts := []any{"request", callerRequest.ID, "path", r.URL.Path, "status", response.status, "reason", response.reason}
		if response.account != "" {
			facts = append(facts, "account", response.account, "retry_after_ms", response.retryAfter.Milliseconds())
		}
		g.requestLog.Write(requestlog.Refused, facts...)
	}
	text := response.reason
	if response.detail != "" {
		text += ": " + response.detail
	}
	http.Error(w, text, response.status)
}

// notRunRefusal returns the refusal of a request that no searcher has run or will run. pauseLeft is
// the time until the searchers that have asked for a pause can take it, zero if there are none.
func (c *call) notRunRefusal(cause string, pauseLeft time.Duration) *refusal {
	if expired := c.quotaExpiredRefusal(); expired != nil {
		return expired
	}
	wait := retryAfter(c.deadline-c.now(), c.latencyBudget())
	return &refusal{status: http.StatusServiceUnavailable, reason: "not run: " + cause, retryAfter: max(wait, pauseLeft)}
}

// pauseLeft returns the time until searchers of a service take requests again that have asked for
// a pause, zero if there are others.
func (c *call) pauseLeft(service string) time.Duration {
	return c.g.config.Dispatcher.PauseLeft(service, c.route.Regions)
}

// startingRetryAfter is how long a caller should wait before it repeats a request while the
// gateway has no configuration yet.
const startingRetryAfter = 300 * time.Millisecond

const (
	// Callers should repeat a request after a share of the time until its deadline, or
	// after a share of the latency budget if that is sooner, so that the answer can still
	// come in time.
	retryAfterTimeLeftShare      = 0.15
	retryAfterLatencyBudgetShare = 0.5
	maxRetryAfter                = 1 * time.Second
	minRetryAfter                = 20 * time.Millisecond
)

// retryAfter returns how long a caller should wait before it repeats a request, given the
// time left until the deadline and the latency budget. The shorter of the two shares is
// kept between minRetryAfter and maxRetryAfter. The result is random, from half to one and
// a half times that value, so that callers do not all come back at once.
func retryAfter(left, latencyBudget time.Duration) time.Duration {
	unclamped := min(retryAfterTimeLeftShare*float64(left), retryAfterLatencyBudgetShare*float64(latencyBudget))
	d := min(max(time.Duration(unclamped), minRetryAfter), maxRetryAfter)
	return d/2 + rand.N(d)
}
