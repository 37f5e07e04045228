package balance

// Shedder sheds a share of the requests to a service when its searchers lack capacity. The
// share adapts to whether queued requests are sent in time. The requests with the highest
// ranks are shed. A caller's request has the same rank at all shards, so overloaded shards
// shed the same requests, and the others get all of their parts. The zero value sheds
// nothing.
type Shedder struct {
	// share is the share of the requests that is shed, between 0 and 1.
	share float64
}

const (
	// When a queued request was not sent, the admitted share of the requests is reduced
	// by shareIncrease of itself, and the shed share rises by as much.
	shareIncrease = 0.06
	// shareDecrease is subtracted from the shed share when a searcher replied and no
	// request was queued.
	shareDecrease = 0.02
	// minAdmitted is the share that is always admitted, so that the return of capacity is
	// noticed.
	minAdmitted = 0.1
)

// Admits reports whether a request with a rank between 0 and 1 may be queued.
func (s *Shedder) Admits(rank float64) bool { return rank < 1-s.share }

// ObserveUnsent records that an admitted request was cancelled or given up before it could
// be sent.
func (s *Shedder) ObserveUnsent() { s.share = min(s.share+shareIncrease*(1-s.share), 1-minAdmitted) }

// ObserveEmptyQueue records that a searcher replied and that no request was queued.
func (s *Shedder) ObserveEmptyQueue() { s.share = max(s.share-shareDecrease, 0) }
