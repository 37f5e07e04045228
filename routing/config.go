// Package routing holds the configuration of routes and services, and matches requests to
// routes by host and path. It does no I/O.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// WeightedService is a service that a route sends requests to, with its weight.
type WeightedService struct {
	// Service is the name of the service.
	Service string
	// Weight is the service's share of the requests relative to the weights of the
	// route's other services.
	Weight float64
}

// Route describes where the requests of a host and path prefix are sent, and the limits
// that apply to them.
type Route struct {
	Name string
	// Host is compared without regard to case.
	Host string
	// Prefix is the prefix of the paths of the route.
	Prefix string
	// A route has either Targets or Shards. Each request of a route with Targets goes to
	// one of these services and runs on a single searcher of it.
	Targets []WeightedService
	// Shards are names of services. Each request of a route with Shards goes to all of
	// these services and runs on one searcher of each.
	Shards []string
	// TopK is the number of records in the answer of a route with Shards.
	TopK int
	// MinShardShare is the share of the shards, between 0 and 1, below which an answer
	// is a failure.
	MinShardShare float64
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// MaxAttempts is the largest number of searchers that one request may run on, for
	// each shard if the route has Shards.
	MaxAttempts int
	// Timeout is how long a request may wait for its answer. TargetLatency is the time
	// within which it should be answered. After that the answer counts as late.
	Timeout       time.Duration
	TargetLatency time.Duration
	// Priority decides which requests are preferred when the searchers lack capacity. 0
	// is the highest priority.
	Priority int
	// Regions are the regions whose searchers may run the requests. If empty, all
	// regions are allowed.
	Regions []string
	// Public says that callers need no API key.
	Public bool
	// Invalid says that the route's entry could not be decoded. Its requests are refused: another
	// route, with a shorter prefix, is not the one they are for.
	Invalid bool
}

// ServiceNames returns the names of the services that requests of the route go to.
func (r *Route) ServiceNames() []string {
	names := slices.Clone(r.Shards)
	for _, t := range r.Targets {
		names = append(names, t.Service)
	}
	return names
}

// PickService returns the name of the service for a request of a route with Targets. The
// services are picked in proportion to their weights. drawn is a random number between 0
// and 1 that the caller has drawn. PickService returns an empty name if there are no
// targets.
func (r *Route) PickService(drawn float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := drawn * total
	picked := ""
	for _, t := range r.Targets {
		picked = t.Service
		if remaining -= t.Weight; remaining < 0 {
			break
		}
	}
	return picked
}

// MinShards returns how many of the route's shards must answer for a sufficient answer, at
// least 1.
func (r *Route) MinShards() int {
	needed := 1
	for needed < len(r.Shards) && float64(needed) < r.MinShardShare*float64(len(r.Shards))-shareTolerance {
		needed++
	}
	return needed
}

// shareTolerance is subtracted from the minimum number of shards, so that a rounding error
// just above a whole number does not require one shard more.
const shareTolerance = 1e-9

// Service describes the searchers of one service.
type Service struct {
	Name string
	// MaxConnections is the number of connections that each searcher accepts from all
	// instances together.
	MaxConnections int
	// MaxColdRequestsPerSecond is the number of requests a second that a cold searcher
	// can take. Zero means that there is no such limit.
	MaxColdRequestsPerSecond float64
	// Invalid says that the limits could not be decoded. Those that were known before stay in force.
	Invalid bool
}

// Limits holds the limits for callers.
type Limits struct {
	// MaxHeaderBytes limits the request URI and the headers of a request, MaxBodyBytes
	// its body. Zero means that there is no limit.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout time.Duration
}

// InvalidEntry describes an entry of the configuration that could not be decoded.
type InvalidEntry struct {
	// List is the part of the configuration that the entry is in, for instance "routes".
	List string
	// Name is the name of the entry, empty if it could not be read.
	Name string
	// Reason says why. It contains no API key.
	Reason string
}

// Config is one version of the configuration.
type Config struct {
	Version int64
	// Services holds the services by name.
	Services map[string]*Service
	Limits   Limits
	// Accounts holds the client accounts. Nil means that callers need no API keys, and that
	// their credentials are forwarded like any other header.
	Accounts *Accounts
	// Invalid holds what could not be decoded. All other entries are in force.
	Invalid []InvalidEntry

	// byHost holds the routes of each host, in lower case, the longest path prefix first.
	byHost map[string][]*Route
}

// NewConfig returns a configuration with the given routes and services. If two services
// have the same name, the later one is used. If two routes have the same host and path
// prefix, the earlier one is used.
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
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c
}

// Match returns the host's route with the longest path prefix that matches the path, or nil
// if there is none. The host may include a port, which is ignored.
func (c *Config) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasRoute reports whether a route with the given name exists.
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

// RouteCount returns the number of routes of all hosts.
func (c *Config) RouteCount() int {
	n := 0
	for _, routes := range c.byHost {
		n += len(routes)
	}
	return n
}
