package main

import (
	"math"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/freshness"
	"github.com/wisteriawharf/wisteriawharf/freshnessexchange"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

const (
	// defaultRevocationLimit is used where the settings demand strict revocation without a limit.
	defaultRevocationLimit = 5 * time.Second
	// strictWatchTimeout is how long a watch of the configuration waits for changes under strict
	// revocation. The age of the configuration counts from the start of the last watch that returned.
	strictWatchTimeout = 500 * time.Millisecond
	// agingWatchTimeout is the same when the configuration was not confirmed for agingAge. The watch soon
	// returns, but if the store's answers confirm nothing, it is not called more than ten times a second.
	agingWatchTimeout = 100 * time.Millisecond
	agingAge          = 1500 * time.Millisecond
)

// createFreshness creates the exchange that knows how old the configuration may be.
func (s *service) createFreshness() {
	config := freshnessexchange.Config{
		Applies: s.configAgeMatters, WatchesStore: s.isLeader, Sources: s.instances.FreshnessSources,
		Fetch:       func(from netip.Addr) { s.exchange.FetchFrom(platform.KindConfig, from) },
		FetchSpread: s.instances.FetchSpread, Clock: s.clock, Log: s.log,
	}
	if s.settings.Bounds.StrictRevocation {
		limit := s.settings.Bounds.RevocationLimit
		if limit <= 0 {
			limit = defaultRevocationLimit
		}
		config.MaxAge = freshness.MaxAge(limit)
	}
	s.freshness = freshnessexchange.New(config, s.datagrams)
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wharf_configuration_age_seconds",
		Help: "Time since the configuration in force was known to be the newest. It is not a number if that is not known or does not matter.",
	}, func() float64 {
		if age, known := s.freshness.Age(); known && s.configAgeMatters() {
			return age.Seconds()
		}
		return math.NaN()
	}))
}

// configAgeMatters reports whether API keys must not be accepted once the configuration is too old.
func (s *service) configAgeMatters() bool {
	c := s.gateway.RoutingConfig()
	return s.settings.Bounds.StrictRevocation && c != nil && c.Accounts != nil
}

// awaitsFreshness reports whether this instance does not know yet whether its configuration is current,
// although that matters.
func (s *service) awaitsFreshness() bool {
	if !s.configAgeMatters() {
		return false
	}
	_, known := s.freshness.Age()
	return !known
}

// followConfigClosely changes how the mirror of the configuration follows the store where the age of the
// configuration matters. Watches are shorter, and an instance that serves callers and is told by nobody that its
// configuration is current calls the store itself.
func (s *service) followConfigClosely(config *mirror.Config) {
	config.Clock, config.OnCurrent = s.clock, s.freshness.Confirm
	usual := config.WatchTimeout
	config.WatchTimeout = func() time.Duration {
		switch {
		case !s.configAgeMatters():
			return usual()
		case s.configOlderThan(agingAge) && !s.freshness.Rejected():
			return agingWatchTimeout
		}
		return strictWatchTimeout
	}
	config.WatchesStore = func() bool {
		if s.isLeader() {
			return true
		}
		if s.freshness.Rejected() {
			return false // a call of this instance would not make the configuration younger
		}
		return s.configAgeMatters() && !s.stopping.Load() && s.configOlderThan(freshness.WatchAge) && s.servesOrAwaitsFreshness()
	}
}

// servesOrAwaitsFreshness reports whether this instance serves callers, or does not because nobody has told it for
// leaderStartDelay after its start that its configuration is current.
func (s *service) servesOrAwaitsFreshness() bool {
	now := s.clock.Boottime()
	return s.instances.Serves(now) || now-s.startedAt > leaderStartDelay && s.awaitsFreshness()
}

// configOlderThan reports whether the configuration was not known to be current within a time.
func (s *service) configOlderThan(limit time.Duration) bool {
	age, known := s.freshness.Age()
	return !known || age > limit
}
