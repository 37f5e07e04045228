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
		says, _ := platform.ReadRequestMetadata(r.Header) // its error was a reason to refuse
		g.log.Write(requestlog.Refused, "request", says.ID, "path", r.URL.Path, "status", f.status, "reason", f.reason)
	}
	text := f.reason
	if f.detail != "" {
		text += ": " + f.detail
	}
	http.Error(w, text, f.status)
}

// notRun refuses a request that no searcher has run or will run.
func (c *call) notRun(why string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "not run: " + why, retryAfter: retryAfter(c.deadline-c.now(), c.aim())}
}

// startingRetryAfter is when a caller should ask again while the gateway has no
// configuration yet.
const startingRetryAfter = 300 * time.Millisecond

const (
	// Callers come back after a part of the time that they have left, or sooner if the
	// answer can then still be in time; spread so that they do not come all at once.
	retryPart    = 0.15
	retryAimPart = 0.5
	maxRetry     = 1 * time.Second
	minRetry     = 20 * time.Millisecond
)

// retryAfter returns when a caller should ask again that waits for a time yet and
// wants its answer within the aim.
func retryAfter(left, aim time.Duration) time.Duration {
	part := min(retryPart*float64(left), retryAimPart*float64(aim))
	d := min(max(time.Duration(part), minRetry), maxRetry)
	return d/2 + rand.N(d)
}
