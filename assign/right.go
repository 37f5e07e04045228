package assign

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/control"
)

// LeaseTiming are the two durations on which the safety of a takeover rests.
type LeaseTiming struct {
	// Lease is how long a lease or a confirmation counts.
	Lease time.Duration
	// MaxDeadline is the longest deadline that any work may carry.
	MaxDeadline time.Duration
}

// clockRateInverse is the inverse of the greatest difference between the rates of
// two instances' clocks: 1 in 1000, as the kernel steers each clock by at most
// 500 parts per million.
const clockRateInverse = 1000

// TakeoverDelay returns how long a successor waits, on its own clock, for all that the
// former owner may do within Lease and Work on another clock.
func (t LeaseTiming) TakeoverDelay() time.Duration {
	lifetime := t.Lease + t.MaxDeadline
	return lifetime + lifetime/clockRateInverse
}

// Right is what a broker may dispatch at all, whatever it owns.
type Right uint8

// Rights, weakest first.
const (
	RightNone Right = iota
	RightByMajority
	RightByAll
	RightLeased
)

// RightTracker keeps the lease of one member and the confirmations that replace it
// while the platform is away. All times are the member's own boot time.
type RightTracker struct {
	id          string
	terms       LeaseTiming
	record      *control.Record
	leaseStart  time.Duration
	confirmedAt map[string]time.Duration
}

// NewRightTracker returns the rights of a member that knows no record.
func NewRightTracker(id string, terms LeaseTiming) *RightTracker {
	return &RightTracker{id: id, terms: terms}
}

// Observe takes a record that the platform holds or held. A record of an older
// epoch than the known one is ignored.
func (r *RightTracker) Observe(record *control.Record) {
	if r.record != nil && record.Epoch < r.record.Epoch {
		return
	}
	if r.record == nil || record.Epoch > r.record.Epoch {
		r.confirmedAt = make(map[string]time.Duration)
		r.leaseStart = 0
	}
	r.record = record
	if m, ok := record.Member(r.id); ok {
		r.leaseStart = max(r.leaseStart, time.Duration(m.GrantedNs))
	}
}

// ObserveRenewal takes a lease that the coordinator reports. It counts only in the
// known epoch: in another one the member does not know what it owns.
func (r *RightTracker) ObserveRenewal(epoch uint64, leaseStart time.Duration) {
	if r.record != nil && epoch == r.record.Epoch {
		r.leaseStart = max(r.leaseStart, leaseStart)
	}
}

// ObserveConfirmation takes a confirmation of epoch by a confirmer. It counts from asked,
// the time before the question was sent.
func (r *RightTracker) ObserveConfirmation(epoch uint64, confirmer string, sent time.Duration) {
	if r.record != nil && epoch == r.record.Epoch && confirmer != r.id {
		r.confirmedAt[confirmer] = max(r.confirmedAt[confirmer], sent)
	}
}

// LeaseStart returns the time from which the lease counts; zero if there is none.
func (r *RightTracker) LeaseStart() time.Duration { return r.leaseStart }

// At returns the right at the given time.
func (r *RightTracker) At(now time.Duration) Right {
	if r.record == nil {
		return RightNone
	}
	if _, ok := r.record.Member(r.id); !ok {
		return RightNone
	}
	if r.leaseStart > 0 && now < r.leaseStart+r.terms.Lease {
		return RightLeased
	}
	others, confirmations, self := 0, 0, 0
	for _, c := range r.record.Confirmers {
		if c == r.id {
			self = 1
			continue
		}
		others++
		if at, ok := r.confirmedAt[c]; ok && now < at+r.terms.Lease {
			confirmations++
		}
	}
	switch {
	case confirmations == 0:
		return RightNone
	case confirmations == others:
		return RightByAll
	case confirmations+self >= majority(len(r.record.Confirmers)):
		return RightByMajority
	default:
		return RightNone
	}
}

// majority is the number of confirmers that gives a member a right. The member
// counts itself if it is one of them. With a majority, the acknowledgements of
// the others show that a departed member holds no right, although further
// confirmers were lost together with it.
func majority(confirmers int) int { return confirmers/2 + 1 }

// NewGrant returns the grant of a broker with the given right for a searcher of
// which its takeover admits share.
func NewGrant(right Right, share Share) Grant {
	switch right {
	case RightLeased:
		return Grant{Share: share}
	case RightByAll:
		return Grant{Share: share, WarmOnly: true}
	case RightByMajority:
		// A successor relies on the reserve being unused, so a broker that was
		// given nothing else may use nothing.
		if share == ShareFull {
			return Grant{Share: ShareWithoutReserve, WarmOnly: true}
		}
	}
	return Grant{Share: ShareNone, WarmOnly: true}
}
