package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// searcherSize is how long a request takes at the searchers of a service, and how many each runs
// at once.
type searcherSize struct {
	work  time.Duration
	slots int
}

// deployment is the size of what a run plays with.
type deployment struct {
	// instances are the domains of the gateways, one for each.
	instances []string
	shards    []string
	// grace is the time from SIGTERM to SIGKILL in seconds.
	grace int
	// searchers returns how many searchers of a service each domain has.
	searchers func(service string) []int
	searcher  func(service string) searcherSize
}

func (d deployment) services() []string { return append(slices.Clone(d.shards), bookings, orders) }

func shardNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("s%d", i))
	}
	return names
}

// usualDeployment has two instances in each domain. Requests to the searchers of orders take a
// good part of a planned stop.
func usualDeployment() deployment {
	return deployment{
		instances: []string{"a", "a", "b", "b", "c", "c"}, shards: shardNames(5), grace: site.GraceSeconds,
		searchers: func(string) []int { return []int{1, 1, 1} },
		searcher: func(service string) searcherSize {
			if service == orders {
				return searcherSize{work: 400 * time.Millisecond, slots: 40}
			}
			return searcherSize{work: 8 * time.Millisecond, slots: 4}
		},
	}
}

// overlappingDeployment has 85 searchers, most of them of shards, and instances that are spread
// unevenly over the domains. Requests say how long they take.
func overlappingDeployment(instances int) deployment {
	d := deployment{
		shards: shardNames(25), grace: 2 * site.GraceSeconds,
		searchers: func(service string) []int {
			if service == orders {
				return []int{3, 2, 2}
			}
			return []int{1, 1, 1}
		},
		searcher: func(service string) searcherSize {
			if service == orders || service == bookings {
				return searcherSize{slots: 4}
			}
			return searcherSize{slots: 2}
		},
	}
	spread := []string{"a", "b", "c", "b", "a", "b", "c", "a", "b"}
	for i := range instances {
		d.instances = append(d.instances, spread[i%len(spread)])
	}
	slices.Sort(d.instances)
	return d
}
