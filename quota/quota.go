// Package quota decides which requests of client accounts with a limit may run, so that all
// instances together keep the limit. For each of a fixed number of buckets of accounts, a
// Coordinator grants tokens from what the instances delegate to it (Delegator). A Holder spends the
// tokens of one instance. Times are readings of the boot clock, so that nothing outlives a pause of
// the process.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wisteriawharf/wisteriawharf/retry"
)

// Buckets is the number of groups of accounts that have a coordinator each.
const Buckets = 16

// BucketOf returns the bucket of an account.
func BucketOf(account string) int { return int(xxhash.Sum64String(account) % Buckets) }

// Limit is the quota of an account as a version of the configuration states it.
type Limit struct {
	PerSecond float64
	Burst     float64
	Version   int64
}

// Bounds says by how much an account may exceed its quota. In any period of length Window it may
// have Slack requests beyond 1+Overage times what its quota allows in that period.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// What may run in a window beyond the quota is divided as follows. The greatest part deepens the
// token buckets: an account with one request a second and a burst of one would otherwise be refused
// a third of its requests at 0.6 of its quota, because requests come at random. The rest of the
// overage covers requests that run up to 0.35 s after their token was taken.
const (
	// depthSlackShare and depthRateOverage are the parts of the slack and of the overage of the rate
	// that deepen the token bucket.
	depthSlackShare  = 0.4
	depthRateOverage = 0.3
	// creditSlackShare is the part of the slack, and creditTime the time whose tokens, that a new
	// coordinator has at first. An instance lends its part of both once in a window.
	creditSlackShare = 0.15
	creditTime       = 500 * time.Millisecond
	// reserveSlackShare is the part of the slack that all instances together may use in a window
	// without a coordinator.
	reserveSlackShare = 0.1
)

// depth returns the number of tokens that the whole token bucket of an account can hold. A bucket
// holds at least one token, as it could not grant any otherwise.
func (b Bounds) depth(l Limit) float64 {
	return max(l.Burst*(1+b.Overage)+depthRateOverage*b.Overage*b.Window.Seconds()*l.PerSecond+depthSlackShare*b.Slack, 1)
}

// credit returns the tokens that a coordinator has at first if all instances lend their parts.
func (b Bounds) credit(l Limit) float64 {
	return creditSlackShare*b.Slack + creditTime.Seconds()*l.PerSecond
}

// reserve returns an instance's part of the reserve of an account. instances and position are those
// of a retry.Share.
func (b Bounds) reserve(instances int, position float64) retry.Share {
	if b.Window <= 0 {
		return retry.Share{}
	}
	return retry.Share{PerSecond: reserveSlackShare * b.Slack / b.Window.Seconds(), Instances: instances, Position: position}
}

// Allowed returns how many requests of an account may run in a window.
func (b Bounds) Allowed(l Limit) float64 {
	return (l.PerSecond*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// Question asks a coordinator for tokens.
type Question struct {
	Account string
	// ID identifies the question at its sender.
	ID uint64
	// Waiting is the number of requests that wait for a token, Ahead how many more are expected
	// before the tokens expire.
	Waiting int
	Ahead   int
	// Limit is the limit that the sender knows.
	Limit Limit
}

// Grant is a coordinator's reply to a question.
type Grant struct {
	Account string
	ID      uint64
	Tokens  int
	// Next is the time until the coordinator has another token. RetryAfter is the time until a
	// request that is refused now can have one, if those refused before it come back first.
	Next       time.Duration
	RetryAfter time.Duration
	// New says that the coordinator has had most of the delegations for less than a window, so that its
	// token buckets may be low although the account keeps its quota.
	New bool
	// Limit is the limit by which the tokens were granted.
	Limit Limit
}

// secondsToDuration converts a number of seconds, up to a limit.
func secondsToDuration(seconds float64, limit time.Duration) time.Duration {
	if !(seconds < limit.Seconds()) {
		return limit
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
