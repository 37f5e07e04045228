// Package retry bounds the extra work that repeated requests put on a service,
// and the work that cold searchers get. All instances share these bounds: each
// keeps to its part of them, without asking the others. It does no I/O; time is
// that of the boot clock.
package retry

import "time"

// Budget is an instance's part of the repeats of one service: each request earns
// the ratio, and a burst may use the instance's part of the extra.
type Budget struct {
	tokens float64
	// used says that the budget has its first tokens.
	used bool
}

// Allowance is what the instances together may use.
type Allowance struct {
	// Ratio of the requests may be repeated, and Extra repeats come on top in each
	// window of time.
	Ratio float64
	Extra float64
	// Instances is the number of instances that use the allowance.
	Instances int
}

const (
	// ratioUsed and extraUsed leave room for requests that are counted in another
	// window than their repeats, and for instances that start anew.
	ratioUsed = 0.9
	extraUsed = 0.65
	// firstPart of its burst is what an instance begins with: many may begin anew at
	// once, after having used theirs.
	firstPart = 0.5
)

func (a Allowance) burst() float64 {
	return max(a.Extra*extraUsed/float64(max(a.Instances, 1)), 1)
}

// Earn notes requests that were sent for the first time.
func (b *Budget) Earn(a Allowance, requests int) {
	if !b.used {
		b.tokens, b.used = a.burst()*firstPart, true
	}
	b.tokens = min(b.tokens+a.Ratio*ratioUsed*float64(requests), a.burst())
}

// HasToken reports whether one repeat can be paid for.
func (b *Budget) HasToken() bool { return b.tokens >= 1 }

// Take pays for one repeat and reports whether it may be sent.
func (b *Budget) Take() bool { return b.takeAbove(0) }

// TakeOptional pays for a repeat that could be done without, as of a request that is
// only slow. A part of the budget is left for requests that failed.
func (b *Budget) TakeOptional(a Allowance) bool { return b.takeAbove((a.burst() - 1) * reserved) }

// reserved is the share of a full budget, but for one repeat, that is left for
// requests that failed.
const reserved = 0.3

func (b *Budget) takeAbove(rest float64) bool {
	if b.tokens < 1+rest {
		return false
	}
	b.tokens--
	return true
}

// Refund returns the price of a repeat that never reached a searcher.
func (b *Budget) Refund() { b.tokens++ }

// coldWindow is the time in which the requests of a cold searcher are counted.
const coldWindow = time.Second

// ColdLimiter bounds the requests that one cold searcher gets from this instance.
type ColdLimiter struct {
	sent []time.Duration
}

// ColdLimit is what a cold searcher bears from all instances together.
type ColdLimit struct {
	PerSecond float64
	Overage   float64
	Slack     float64
	Instances   int
}

// requests returns the instance's part of the limit in one window. Requests that
// were sent in one window may arrive in the next, so half of the overage and the
// slack stays unused.
func (l ColdLimit) requests() int {
	total := l.PerSecond*(1+(l.Overage-1)/2) + l.Slack/2
	return int(total / float64(max(l.Instances, 1)))
}

// Allows reports whether one more request may be sent.
func (c *ColdLimiter) Allows(l ColdLimit, now time.Duration) bool {
	kept := c.sent[:0]
	for _, t := range c.sent {
		if now-t < coldWindow {
			kept = append(kept, t)
		}
	}
	c.sent = kept
	return len(c.sent) < l.requests()
}

// RecordSent notes a request.
func (c *ColdLimiter) RecordSent(now time.Duration) { c.sent = append(c.sent, now) }
