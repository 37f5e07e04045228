package assign

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/control"
)

// LeaseTiming holds the two durations from which the delay before a takeover follows.
type LeaseTiming struct {
	// Lease is how long a lease, or a confirmation in its place, is valid.
	Lease time.Duration
	// MaxDeadline is the longest time from dispatch to deadline that any work may have.
	MaxDeadline time.Duration
}

// inverseMaxClockDrift is the inverse of the largest possible clock drift between two
// instances. That drift is 1 in 1000, because the kernel adjusts the rate of each clock by
// at most 500 parts per million.
const inverseMaxClockDrift = 1000

// TakeoverDelay returns how long a successor waits, by its own clock, after the last event
// that can give a former owner a right. The former owner may dispatch for Lease, and its
// work may run for MaxDeadline, both by a clock that may run more slowly.
func (l LeaseTiming) TakeoverDelay() time.Duration {
	lifetime := l.Lease + l.MaxDeadline
	return lifetime + lifetime/inverseMaxClockDrift
}

// Right says whether a broker may dispatch to the searchers that it owns, and whether its
// lease or the confirmers allow this. NewGrant derives from it what the broker may dispatch
// to one searcher.
type Right uint8

// Rights, weakest first.
const (
	RightNone Right = iota
	// RightByMajority holds without a valid lease while a majority of the confirmers
	// confirms the epoch. The broker counts itself if it is a confirmer, but at least one
	// other must confirm.
	RightByMajority
	// RightByAll holds without a valid lease while all other confirmers, at least one,
	// confirm the epoch.
	RightByAll
	// RightLeased holds while the broker's lease is valid.
	RightLeased
)

// RightTracker tracks the lease of one member, and the confirmations that replace the
// lease while the platform is not reachable. All times are times since boot by the member's
// own clock.
type RightTracker struct {
	id          string
	timing      LeaseTiming
	record      *control.Record
	leaseStart  time.Duration
	confirmedAt map[string]time.Duration
}

// NewRightTracker returns the tracker of a member that knows no record yet.
func NewRightTracker(id string, timing LeaseTiming) *RightTracker {
	return &RightTracker{id: id, timing: timing}
}

// Observe processes a version of the record. The platform must have stored that version,
// but it need not be the newest. A version of an older epoch than the known one is ignored.
// One of a newer epoch invalidates all confirmations and the lease of the older epoch. If
// the record names the member, it also renews the member's lease. The tracker keeps the
// pointer, so the record must not be changed afterwards.
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

// ObserveRenewal processes a lease that the coordinator reports. The lease is valid from
// leaseStart. A lease of another epoch than the known one is ignored, because the member
// does not know what it owns in that epoch.
func (r *RightTracker) ObserveRenewal(epoch uint64, leaseStart time.Duration) {
	if r.record != nil && epoch == r.record.Epoch {
		r.leaseStart = max(r.leaseStart, leaseStart)
	}
}

// ObserveConfirmation processes a confirmation of epoch by a confirmer. The confirmation is
// valid from requestedAt, which must not be later than the time at which the member sent the
// request for it. It is ignored if epoch is not the known one or the confirmer is the member
// itself.
func (r *RightTracker) ObserveConfirmation(epoch uint64, confirmer string, requestedAt time.Duration) {
	if r.record != nil && epoch == r.record.Epoch && confirmer != r.id {
		r.confirmedAt[confirmer] = max(r.confirmedAt[confirmer], requestedAt)
	}
}

// LeaseStart returns the time from which the lease is valid, or zero if there is none. The
// lease may have expired since.
func (r *RightTracker) LeaseStart() time.Duration { return r.leaseStart }

// At returns the member's right at the given time. It is RightNone if the newest record
// does not name the member.
func (r *RightTracker) At(now time.Duration) Right {
	if r.record == nil {
		return RightNone
	}
	if _, ok := r.record.Member(r.id); !ok {
		return RightNone
	}
	if r.leaseStart > 0 && now < r.leaseStart+r.timing.Lease {
		return RightLeased
	}
	others, confirmations, self := 0, 0, 0
	for _, c := range r.record.Confirmers {
		if c == r.id {
			self = 1
			continue
		}
		others++
		if at, ok := r.confirmedAt[c]; ok && now < at+r.timing.Lease {
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

// majority returns how many of the given number of confirmers a member needs for a right.
// The member counts itself if it is a confirmer. Because a majority is needed, a departed
// member can get no further right once fewer than a majority have yet to acknowledge its
// removal. It can therefore be fenced even if other confirmers were lost together with it.
func majority(confirmers int) int { return confirmers/2 + 1 }

// NewGrant returns what a broker with the given right may dispatch to a searcher, if
// earlier owners leave it the given share of the limits. Without a lease the broker may
// dispatch to warm searchers only.
func NewGrant(right Right, share Share) Grant {
	switch right {
	case RightLeased:
		return Grant{Share: share}
	case RightByAll:
		return Grant{Share: share, WarmOnly: true}
	case RightByMajority:
		// A successor may already be using the reserve. A broker with only this right
		// therefore leaves the reserve alone, and may use nothing if the reserve is all
		// that earlier owners leave it.
		if share == ShareFull {
			return Grant{Share: ShareWithoutReserve, WarmOnly: true}
		}
	}
	return Grant{Share: ShareNone, WarmOnly: true}
}
