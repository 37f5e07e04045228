package broker

import (
	"context"
	"math"
	"slices"
	"time"
)

// siblingsInterval is how often searchers of a service are compared. It is
// shorter than a row of slow work at a searcher takes at ordinary loads.
const siblingsInterval = 50 * time.Millisecond

// compareSiblings tells each owner by how much the searchers of its service are
// slower than usual together, until ctx ends.
func (b *Broker) compareSiblings(ctx context.Context) {
	ticker := time.NewTicker(siblingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.compareOnce()
		}
	}
}

func (b *Broker) compareOnce() {
	services := make(map[string][]*owner)
	for _, o := range b.all() {
		service := o.status.Load().Service
		services[service] = append(services[service], o)
	}
	for _, owners := range services {
		slowdown := math.Float64bits(medianSlowdown(owners))
		for _, o := range owners {
			o.siblings.Store(slowdown)
		}
	}
}

// medianSlowdown returns the median over the owners that have learned their
// latency, and zero if fewer than three have, which is no comparison.
func medianSlowdown(owners []*owner) float64 {
	var known []float64
	for _, o := range owners {
		if s := math.Float64frombits(o.slowdown.Load()); s > 0 {
			known = append(known, s)
		}
	}
	if len(known) < 3 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}
