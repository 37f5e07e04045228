package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
)

// refusal is an answer of the gateway itself.
type refusal struct {
	status int
	// reason is one of a few texts, as it names a metric. Detail tells the caller more.
	reason string
	detail string
	// retryAfter is when the caller should ask again; zero leaves it to the caller.
	retryAfter time.Duration
}

func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, f *refusal) {
	if f.retryAfter > 0 {
		platform.SetRetryAfter(w.Header(), f.retryAfter)
	}
	g.metrics.refusals.WithLabelValues(f.reason).Inc()
	if f.status >= http.StatusInternalServerError && g.log.Allow() {
		callerRequest, _ := platform.ReadCallerRequest(r.Header) // its error was a reason to refuse
		g.log.Write(requestlog.Refused, "request", callerRequest.ID, "path", r.URL.Path, "status", f.status, "reason", f.reason)
	}
	text := f.reason
	if f.detail != "" {
		text += ": " + f.detail
	}
	http.Error(w, text, f.status)
}

// notRunRefusal refuses a request that no searcher has run or will run.
func (c *call) notRunRefusal(cause string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "not run: " + cause, retryAfter: retryAfter(c.deadline-c.now(), c.latencyBudget())}
}

// startingRetryAfter is when a caller should ask again while the gateway has no
// configuration yet.
const startingRetryAfter = 300 * time.Millisecond

const (
	// Callers come back after a part of the time that they have left, or sooner if the
	// answer can then still be in time; spread so that they do not come all at once.
	retryTimeLeftShare = 0.15
	retryBudgetShare   = 0.5
	maxRetryAfter      = 1 * time.Second
	minRetryAfter      = 20 * time.Millisecond
)

// retryAfter returns when a caller should ask again that waits for a time yet and
// wants its answer within the aim.
func retryAfter(left, budget time.Duration) time.Duration {
	unclamped := min(retryTimeLeftShare*float64(left), retryBudgetShare*float64(budget))
	d := min(max(time.Duration(unclamped), minRetryAfter), maxRetryAfter)
	return d/2 + rand.N(d)
}
