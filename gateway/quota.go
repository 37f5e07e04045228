package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/quota"
)

// Quotas admits the requests of client accounts.
type Quotas interface {
	// Admit decides whether a request may run. It waits for the decision, at most for the given time
	// and quota.MaxWait. The limit is zero if the account has none.
	Admit(ctx context.Context, account string, l quota.Limit, wait time.Duration) quota.Outcome
	// Late decides whether a request may still be sent after the time up to which it was admitted.
	Late(account string, l quota.Limit) bool
}

// quotaWaitShare is the part of the target latency that a request may wait for its admission.
const quotaWaitShare = 0.25

// admitByQuota takes a token of the request's account, if it has no valid one. It returns the refusal of
// a request that the quota of the account does not allow.
func (c *call) admitByQuota() *refusal {
	if c.g.config.Quotas == nil || c.account == nil || c.admittedUntil > c.now() {
		return nil
	}
	wait := min(quota.MaxWait, c.deadline-c.now())
	if c.route.TargetLatency > 0 {
		wait = min(wait, time.Duration(quotaWaitShare*float64(c.route.TargetLatency)))
	}
	o := c.g.config.Quotas.Admit(c.ctx, c.account.Name, c.quotaLimit(), wait)
	if o.Decision == quota.Refused {
		return &refusal{status: http.StatusTooManyRequests, reason: o.Reason, retryAfter: o.RetryAfter, account: c.account.Name}
	}
	c.admittedUntil = o.Expires
	return nil
}

const (
	// discardTime is how long the refusal of a request waits for its body. A body that is not whole
	// then ends the connection, since the server would wait for it before it sends the answer.
	discardTime = 5 * time.Millisecond
	// maxDiscardedBytes is the largest body that is read to keep the connection.
	maxDiscardedBytes = 64 << 10
)

// discardBody reads the body of a refused request, if it has arrived. Else the connection is closed after
// the answer.
func (c *call) discardBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody || r.Header.Get("Expect") != "" {
		return // the server does not wait for the body of a request that expects to be told to send it
	}
	connection := http.NewResponseController(w)
	// A response writer without deadlines has no connection that could be slow.
	_ = connection.SetReadDeadline(time.Now().Add(discardTime))
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscardedBytes); !errors.Is(err, io.EOF) {
		w.Header().Set("Connection", "close")
		return
	}
	_ = connection.SetReadDeadline(time.Time{}) // as above
	arrival.FromContext(c.ctx).BodyRead()
}

// quotaLimit returns the limit of the request's account.
func (c *call) quotaLimit() quota.Limit {
	return quota.Limit{PerSecond: c.account.Quota.PerSecond, Burst: c.account.Quota.Burst, Version: c.configVersion}
}

// maySend reports whether the quota allows that the request is sent now. Once it was sent to a searcher,
// it may be sent to others.
func (c *call) maySend() bool {
	if c.admittedUntil == 0 || c.sent.Load() {
		return true
	}
	may := c.now() <= c.admittedUntil || c.g.config.Quotas.Late(c.account.Name, c.quotaLimit())
	c.quotaExpired.Store(!may)
	if may {
		c.sent.Store(true)
	}
	return may
}

// expiredRetryAfter is the Retry-After of a request that waited so long that it needs another token.
const expiredRetryAfter = 500 * time.Millisecond

// quotaExpiredRefusal returns the refusal of a request that was not sent because it needs another token,
// nil if that is not so.
func (c *call) quotaExpiredRefusal() *refusal {
	if !c.quotaExpired.Load() {
		return nil
	}
	return &refusal{status: http.StatusTooManyRequests, reason: "quota exceeded after a wait", retryAfter: expiredRetryAfter, account: c.account.Name}
}
