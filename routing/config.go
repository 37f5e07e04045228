// Package routing holds the configuration of routes and services, and finds the
// route of a request. It does no I/O.
package routing

import (
	"sort"
	"strings"
	"time"
)

// WeightedService is a service that a route sends requests to, and its share of them
// relative to the other targets of the route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route says where the requests of a host and path go, and what they may cost.
type Route struct {
	Name   string
	Host   string
	PathPrefix string
	// Targets are the services of a route whose requests run on one searcher.
	Targets []WeightedService
	// Shards are the services of a route whose requests run on one searcher of
	// each. A route has either Targets or Shards.
	Shards []string
	// TopK is the number of records in the answer of a route with Shards.
	TopK int
	// MinShardShare is the share of the shards below which an answer is a failure.
	MinShardShare float64
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// MaxAttempts is the number of searchers (for each shard) that one request may
	// run on.
	MaxAttempts int
	// Timeout is how long a request may wait for its answer, TargetLatency the
	// time within which an answer is worth most to its caller.
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// AllowedRegions are the regions whose searchers may run the requests; none means
	// that all may.
	AllowedRegions []string
}

// PickService returns the service for a request of a route with targets, in proportion to their
// weights, from a number between 0 and 1 that was drawn for the request. It returns an
// empty name if there are no targets.
func (r *Route) PickService(drawn float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := drawn * total
	picked := ""
	for _, t := range r.Targets {
		picked = t.Service
		if left -= t.Weight; left < 0 {
			break
		}
	}
	return picked
}

// MinShards returns how many of the route's shards make a sufficient answer.
func (r *Route) MinShards() int {
	needed := 1
	for needed < len(r.Shards) && float64(needed) < r.MinShardShare*float64(len(r.Shards))-shareTolerance {
		needed++
	}
	return needed
}

// shareTolerance absorbs the rounding of a share that is a fraction of shards.
const shareTolerance = 1e-9

// Service describes the searchers of one service.
type Service struct {
	Name string
	// MaxConnections is what a searcher accepts from all instances together.
	MaxConnections int
	// MaxColdRequestsPerSecond is the number of requests a second that a cold searcher
	// bears. Zero means that no rate is stated.
	MaxColdRequestsPerSecond float64
}

// Limits bounds what callers may send, and how long their connections may be idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	IdleTimeout    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits

	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
}

// NewConfig returns a configuration of the given routes and services.
func NewConfig(version int64, routes []*Route, services []*Service, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	return c
}

// Match returns the route with the longest prefix of path among those of the
// host, or nil. The host may carry a port.
func (c *Config) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// HasRoute reports whether a route has the name.
func (c *Config) HasRoute(name string) bool {
	for _, routes := range c.byHost {
		for _, r := range routes {
			if r.Name == name {
				return true
			}
		}
	}
	return false
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, routes := range c.byHost {
		n += len(routes)
	}
	return n
}
