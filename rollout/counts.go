package rollout

import "github.com/cespare/xxhash/v2"

// Counts counts the requests to a service and the replies to them, on one route, since the order
// was first seen. They only grow.
type Counts struct {
	// Requests is the number of first attempts, Sent of those that went to the new version.
	Requests, Sent int64
	// OldReplies and NewReplies count the replies of both versions, OldBad and NewBad those
	// that were failures or slow.
	OldReplies, OldBad int64
	NewReplies, NewBad int64
}

func (c Counts) plus(o Counts) Counts {
	return Counts{
		Requests: c.Requests + o.Requests, Sent: c.Sent + o.Sent, OldReplies: c.OldReplies + o.OldReplies, OldBad: c.OldBad + o.OldBad,
		NewReplies: c.NewReplies + o.NewReplies, NewBad: c.NewBad + o.NewBad,
	}
}

func (c Counts) minus(o Counts) Counts {
	return c.plus(Counts{-o.Requests, -o.Sent, -o.OldReplies, -o.OldBad, -o.NewReplies, -o.NewBad})
}

func (c Counts) max(o Counts) Counts {
	return Counts{
		Requests: max(c.Requests, o.Requests), Sent: max(c.Sent, o.Sent), OldReplies: max(c.OldReplies, o.OldReplies),
		OldBad: max(c.OldBad, o.OldBad), NewReplies: max(c.NewReplies, o.NewReplies), NewBad: max(c.NewBad, o.NewBad),
	}
}

// AddReply counts a reply of the new version or the established one.
func (c *Counts) AddReply(isNew, bad bool) {
	replies, bads := &c.OldReplies, &c.OldBad
	if isNew {
		replies, bads = &c.NewReplies, &c.NewBad
	}
	*replies++
	if bad {
		*bads++
	}
}

// MaxRoutes is the number of keys for the routes of a service. Routes may share one: more keys would not
// fit into a datagram.
const MaxRoutes = 16

// Tally holds counts by the keys of routes.
type Tally map[uint32]Counts

// RouteKey returns the key under which all instances count a route.
func RouteKey(route string) uint32 { return uint32(xxhash.Sum64String(route) % MaxRoutes) }

// Add adds counts of other requests.
func (t Tally) Add(other Tally) {
	for route, c := range other {
		t[route] = t[route].plus(c)
	}
}

// Merge merges counts of the same requests from another time or place. The highest count is the
// latest one, since counts only grow.
func (t Tally) Merge(other Tally) {
	for route, c := range other {
		t[route] = t[route].max(c)
	}
}

// Total returns the counts of all routes.
func (t Tally) Total() Counts {
	var total Counts
	for _, c := range t {
		total = total.plus(c)
	}
	return total
}

// Clone returns a copy.
func (t Tally) Clone() Tally {
	clone := make(Tally, len(t))
	for route, c := range t {
		clone[route] = c
	}
	return clone
}
