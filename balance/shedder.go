package balance

// Shedder is the share of the requests to a service that its searchers have room for,
// learned from whether requests find room in time. It is applied by the rank of the
// caller's request, which is the same at all shards: while shards are short of room
// the same requests are left out everywhere, and the others get all of their parts.
// The zero value leaves nothing out.
type Shedder struct {
	// share is the share of the requests that is share out.
	share float64
}

const (
	// shareIncrease of what is served is left out after a request found no room in time,
	// roomStep is admitted again when there was room and nothing waited.
	shareIncrease = 0.06
	shareDecrease = 0.02
	// minAdmitted is always let in, so that room that has come back shows.
	minAdmitted = 0.1
)

// Admits reports whether a request of a rank between 0 and 1 may wait for room.
func (s *Shedder) Admits(rank float64) bool { return rank < 1-s.share }

// ObserveUnsent notes that a request which was let in found no room in time.
func (s *Shedder) ObserveUnsent() { s.share = min(s.share+shareIncrease*(1-s.share), 1-minAdmitted) }

// ObserveSpareCapacity notes that a searcher had room and that no request waited for it.
func (s *Shedder) ObserveSpareCapacity() { s.share = max(s.share-shareDecrease, 0) }
