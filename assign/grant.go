package assign

import "github.com/wisteriawharf/wisteriawharf/settings"

// Share says how much of a searcher's limits a broker may use.
type Share uint8

// An owner that holds only RightByMajority may still use ShareWithoutReserve while its
// successor uses ShareReserve. Together they use at most ShareFull.
const (
	ShareNone Share = iota
	// ShareReserve is only the reserve, the amount of the limit that is set aside for a
	// successor. It equals the searcher's cold allowance.
	ShareReserve
	// ShareWithoutReserve is the whole limit except for the reserve.
	ShareWithoutReserve
	// ShareFull is the whole limit.
	ShareFull
)

// Grant is what a broker may dispatch to one searcher at one moment.
type Grant struct {
	Share Share
	// WarmOnly forbids any dispatch to a searcher that is cold.
	WarmOnly bool
}

// Slots returns how many requests may run at once under the grant. The cold-start ramp,
// which may lower the number further, is not applied.
func (g Grant) Slots(limits settings.Limits) int {
	return g.ApplyTo(limits.Slots, limits.Cold.Allowance)
}

// Connections returns how many connections may be open under the grant. Each slot in use
// needs one connection, so the reserve has as many connections as slots.
func (g Grant) Connections(limits settings.Limits) int {
	return g.ApplyTo(limits.Connections, limits.Cold.Allowance)
}

// ApplyTo returns how much of limit the grant allows, where reserve is the amount that is
// set aside for a successor. A reserve larger than limit counts as limit.
func (g Grant) ApplyTo(limit, reserve int) int {
	reserve = min(reserve, limit)
	switch g.Share {
	case ShareFull:
		return limit
	case ShareWithoutReserve:
		return limit - reserve
	case ShareReserve:
		return reserve
	default:
		return 0
	}
}
