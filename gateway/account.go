package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// Freshness tells how old the configuration in force may be.
type Freshness interface {
	// Stale reports whether the configuration may be so old that API keys in it must not be accepted.
	Stale() bool
	// Refresh asks other instances for a newer configuration. It does not wait for one.
	Refresh()
}

// alwaysFresh is the Freshness of a gateway for which the age of the configuration doesn't matter.
type alwaysFresh struct{}

func (alwaysFresh) Stale() bool { return false }
func (alwaysFresh) Refresh()    {}

// Reasons why a request is refused because of its API key, as they stand in metrics.
const (
	reasonMissingKey     = "missing API key"
	reasonUnknownKey     = "unknown API key"
	reasonConfigOutdated = "configuration out of date"
	reasonInvalidAccount = "not run: client account is not valid in the configuration"
)

// reasonInvalidRoute is the reason why a request is refused whose route could not be decoded.
const reasonInvalidRoute = "not run: route is not valid in the configuration"

// invalidEntryRetryAfter is how long a caller should wait before it repeats a request that needs an entry
// of the configuration that could not be decoded. A corrected configuration is in force within this time.
const invalidEntryRetryAfter = 3 * time.Second

// invalidEntryRefusal returns the refusal of a request that needs an entry that could not be decoded. The
// request may be allowed, so that it must not get a status that is final.
func invalidEntryRefusal(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: invalidEntryRetryAfter}
}

// errConfigOutdated reports that the configuration may be out of date, so that API keys in it must not be
// accepted.
const errConfigOutdated = errors.ConstError("configuration may be out of date")

// outdatedRetryAfter is how long a caller should wait before it repeats a request to an instance whose
// configuration may be out of date. Another question about its age follows within this time.
const outdatedRetryAfter = 300 * time.Millisecond

// authenticate returns the client account of a request, or the refusal of a request without a
// valid API key on a route that needs one. The account is nil if the configuration has none, or
// if the route is public and the request has no valid key. stale says that the configuration may be out of
// date: no key is valid then. It must have been asked before the configuration was loaded, so that a pause
// of the process between the two does not make an older configuration look current.
func authenticate(config *routing.Config, stale bool, route *routing.Route, h http.Header) (*routing.Account, *refusal) {
	if config.Accounts == nil {
		return nil, nil
	}
	key := platform.ReadAPIKey(h)
	switch {
	case key == "" && !route.Public:
		return nil, &refusal{status: http.StatusUnauthorized, reason: reasonMissingKey}
	case key == "" || stale && route.Public:
		return nil, nil
	case stale:
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "not run: " + errConfigOutdated.Error(), retryAfter: outdatedRetryAfter}
	}
	account := config.Accounts.Lookup(key)
	switch {
	case account == nil && !route.Public:
		return nil, &refusal{status: http.StatusUnauthorized, reason: reasonUnknownKey}
	case account != nil && account.Invalid:
		return nil, invalidEntryRefusal(reasonInvalidAccount)
	}
	return account, nil
}

// admission is what a request is admitted with.
type admission struct {
	config   *routing.Config
	route    *routing.Route
	account  *routing.Account
	deadline time.Duration
}

const (
	// maxKeyWait is how long a request with an unknown key waits for a newer configuration. A question to
	// another instance and the transfer from there take a few round trips of up to 7 ms.
	maxKeyWait = 150 * time.Millisecond
	// keyWaitShare is the largest share of the time until the deadline that it waits.
	keyWaitShare = 0.25
)

// admit finds the route and the client account of a request. A request with an unknown key waits for a
// short time for a newer configuration.
func (g *Gateway) admit(r *http.Request, callerRequest platform.RequestMetadata, arrived arrival.Span) (admission, *refusal) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	var waitUntil time.Duration
	for {
		stale := g.config.Freshness.Stale()
		config := g.routingConfig.Load()
		route := config.Match(r.Host, path)
		if route == nil {
			return admission{}, &refusal{status: http.StatusNotFound, reason: "no route"}
		}
		if route.Invalid {
			return admission{}, invalidEntryRefusal(reasonInvalidRoute)
		}
		deadline := deadlineOf(arrived, requestTimeout(route, callerRequest))
		account, refused := authenticate(config, stale, route, r.Header)
		if refused == nil {
			return admission{config: config, route: route, account: account, deadline: deadline}, nil
		}
		now := g.config.Clock.Boottime()
		if refused.reason == reasonUnknownKey && waitUntil == 0 {
			waitUntil = now + min(maxKeyWait, time.Duration(keyWaitShare*float64(deadline-now)))
			g.config.Freshness.Refresh()
		}
		if refused.reason != reasonUnknownKey || !g.awaitOtherConfig(r.Context(), config, waitUntil-now) {
			g.countUnauthenticated(refused)
			return admission{}, refused
		}
	}
}

// awaitOtherConfig waits until another configuration than the given one is in force and reports whether one
// is, within a time.
func (g *Gateway) awaitOtherConfig(ctx context.Context, config *routing.Config, wait time.Duration) bool {
	if wait <= 0 {
		return false
	}
	newer := g.newConfig.next()
	if g.routingConfig.Load() != config {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-newer:
		return true
	case <-timer.C:
	case <-ctx.Done():
	case <-g.stop.answerNow:
	}
	return false
}

// countUnauthenticated counts a refusal because of an API key.
func (g *Gateway) countUnauthenticated(r *refusal) {
	reason := r.reason
	if r.status == http.StatusServiceUnavailable && reason != reasonInvalidAccount {
		reason = reasonConfigOutdated
	}
	g.metrics.unauthenticated.WithLabelValues(reason).Inc()
}

// keyRefusal returns the refusal of a request whose API key is no longer valid, else nil.
func (c *call) keyRefusal() *refusal {
	if c.account == nil {
		return nil
	}
	stale := c.g.config.Freshness.Stale()
	_, refused := authenticate(c.g.routingConfig.Load(), stale, c.route, c.header)
	return refused
}

// revokedInStall reports whether this process was stalled since the request arrived, and its API key may
// have been taken away meanwhile.
func (c *call) revokedInStall() bool {
	return c.account != nil && c.g.config.StalledBetween(c.arrived, c.now()) && c.keyRefusal() != nil
}

// priority returns the priority of the request: that of its account if it has one, else that of
// its route.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority != nil {
		return *c.account.Priority
	}
	return c.route.Priority
}

// rankFairly draws the rank of the request, which is the same at all services, from what its client account and
// the others send. A request without an account has one by its priority alone.
func (c *call) rankFairly() {
	if c.account == nil {
		c.rank = balance.Rank(rand.Float64(), c.priority())
		return
	}
	var above bool
	c.rank, above = c.g.fairness.Rank(c.now(), c.account.Name, c.priority(), rand.Float64())
	c.ranked = true
	if above {
		c.g.metrics.aboveFairShare.Inc()
	}
}

// broadcast wakes all that wait for an event. The zero value is ready for use. It is safe for concurrent
// use.
type broadcast struct {
	mu sync.Mutex
	// waiting is closed at the next event. It is nil if nobody waits.
	waiting chan struct{}
}

// next returns a channel that is closed at the next event.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == nil {
		b.waiting = make(chan struct{})
	}
	return b.waiting
}

// send wakes all that wait.
func (b *broadcast) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting != nil {
		close(b.waiting)
		b.waiting = nil
	}
}
