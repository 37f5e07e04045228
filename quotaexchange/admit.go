package quotaexchange

import (
	"context"
	"math"
	"time"

	"github.com/wisteriawharf/wisteriawharf/quota"
)

// contact returns what the holder has to know, without Reachable.
func (e *Exchange) contact() quota.Contact {
	instances, position := e.config.Share()
	return quota.Contact{Instances: instances, Position: position, TimeOfDay: e.config.Clock.Now()}
}

// Admit decides whether a request of an account may run. It may wait for a coordinator, up to
// a time, which is limited to quota.MaxWait. The outcome is never quota.Waiting.
func (e *Exchange) Admit(ctx context.Context, account string, l quota.Limit, wait time.Duration) quota.Outcome {
	if l.PerSecond <= 0 {
		e.metrics.unlimited.Inc()
		return quota.Outcome{Decision: quota.Granted, Expires: math.MaxInt64}
	}
	o := e.admit(ctx, account, l, min(wait, quota.MaxWait))
	switch o.Decision {
	case quota.Granted:
		e.metrics.granted.Inc()
	case quota.FromReserve:
		e.metrics.reserve.Inc()
	default:
		e.metrics.refused.Inc()
	}
	return o
}

// Late decides whether a request may still be sent whose token has expired.
func (e *Exchange) Late(account string, l quota.Limit) bool {
	e.mu.Lock()
	may := e.holder.Late(account, l, e.config.Clock.Boottime())
	e.mu.Unlock()
	if may {
		e.metrics.overdrawn.Inc()
	} else {
		e.metrics.expired.Inc()
	}
	return may
}

func (e *Exchange) admit(ctx context.Context, account string, l quota.Limit, wait time.Duration) quota.Outcome {
	contact := e.contact()
	now := e.config.Clock.Boottime()
	e.mu.Lock()
	to := e.coordinatorOf(account, now)
	contact.Reachable = to != ""
	o := e.holder.Arrive(account, l, contact, now)
	if o.Decision != quota.Waiting {
		e.mu.Unlock()
		return o
	}
	w := &quota.Waiter{Decided: make(chan quota.Outcome, 1)}
	q, asks := e.holder.Wait(account, l, w, now)
	e.mu.Unlock()
	if asks {
		e.ask(to, q)
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	resend := time.NewTimer(quota.ResendAfter)
	defer resend.Stop()
	for {
		select {
		case o := <-w.Decided:
			return o
		case <-resend.C:
			if asks && e.unanswered(q) {
				e.ask(to, q)
				resend.Reset(quota.ResendAfter)
			}
		case <-ctx.Done():
			return e.giveUp(account, w)
		case <-end.C:
			return e.giveUp(account, w)
		}
	}
}

// unanswered reports whether a question has no reply yet.
func (e *Exchange) unanswered(q quota.Question) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder.Unanswered(q)
}

// giveUp decides about a request that can wait no longer.
func (e *Exchange) giveUp(account string, w *quota.Waiter) quota.Outcome {
	contact := e.contact()
	e.mu.Lock()
	defer e.mu.Unlock()
	if o, ok := e.holder.GiveUp(account, w, contact, e.config.Clock.Boottime()); ok {
		return o
	}
	return <-w.Decided // it was decided at the same time
}
