package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/wisteriawharf/wisteriawharf/quota"
)

// Quotas admits the requests of client accounts.
type Quotas interface {
	// Admit decides whether a request may run. It waits for the decision, at most for the given time
	// and quota.MaxWait. The limit is zero if the account has none.
	Admit(ctx context.Context, account string, l quota.Limit, wait time.Duration) quota.Outcome
	// Overdrawn counts a request that was sent after the time up to which it was admitted.
	Overdrawn()
}

// quotaWaitShare is the part of the target latency that a request may wait for its admission.
const quotaWaitShare = 0.25

// admit takes a token of the request's account, if it has no valid one. It returns the refusal of
// a request that the quota of the account does not allow.
func (c *call) admit() *refusal {
	if c.g.config.Quotas == nil || c.account == nil || c.admittedUntil > c.now() {
		return nil
	}
	wait := min(quota.MaxWait, c.deadline-c.now())
	if c.route.TargetLatency > 0 {
		wait = min(wait, time.Duration(quotaWaitShare*float64(c.route.TargetLatency)))
	}
	limit := quota.Limit{PerSecond: c.account.Quota.PerSecond, Burst: c.account.Quota.Burst, Version: c.configVersion}
	o := c.g.config.Quotas.Admit(c.ctx, c.account.Name, limit, wait)
	if o.Decision == quota.Refused {
		return &refusal{status: http.StatusTooManyRequests, reason: o.Reason, retryAfter: o.RetryAfter, account: c.account.Name}
	}
	c.admittedUntil = o.Expires
	return nil
}

// countOverdrawn counts the request if it is sent after the time up to which it was admitted.
func (c *call) countOverdrawn() {
	if c.admittedUntil > 0 && c.now() > c.admittedUntil && c.overdrawn.CompareAndSwap(false, true) {
		c.g.config.Quotas.Overdrawn()
	}
}
