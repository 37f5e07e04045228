package balance

// Shedder is the share of the requests to a service that its searchers have room for,
// learned from whether requests find room in time. It is applied by the rank of the
// caller's request, which is the same at all shards: while shards are short of room
// the same requests are left out everywhere, and the others get all of their parts.
// The zero value leaves nothing out.
type Shedder struct {
	// left is the share of the requests that is left out.
	left float64
}

const (
	// missedStep of what is served is left out after a request found no room in time,
	// roomStep is admitted again when there was room and nothing waited.
	missedStep = 0.06
	roomStep   = 0.02
	// minServed is always let in, so that room that has come back shows.
	minServed = 0.1
)

// Admits reports whether a request of a rank between 0 and 1 may wait for room.
func (c *Shedder) Admits(rank float64) bool { return rank < 1-c.left }

// ObserveUnsent notes that a request which was let in found no room in time.
func (c *Shedder) ObserveUnsent() { c.left = min(c.left+missedStep*(1-c.left), 1-minServed) }

// ObserveSpareCapacity notes that a searcher had room and that no request waited for it.
func (c *Shedder) ObserveSpareCapacity() { c.left = max(c.left-roomStep, 0) }
