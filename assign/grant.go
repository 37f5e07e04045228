package assign

import "github.com/wisteriawharf/wisteriawharf/settings"

// Share is the part of a searcher's limits that a broker may use.
type Share uint8

// The shares of an owner that lost contact (ShareLessReserve) and of its
// successor (ShareReserve) together are at most ShareFull.
const (
	ShareNone Share = iota
	// ShareReserve is the cold allowance.
	ShareReserve
	// ShareWithoutReserve is all slots but the cold allowance.
	ShareWithoutReserve
	// ShareFull is all slots.
	ShareFull
)

// Grant is what a broker may dispatch to one searcher at one moment.
type Grant struct {
	Share Share
	// WarmOnly forbids any dispatch to a searcher that is cold.
	WarmOnly bool
}

// Slots returns the number of requests that may run at once under the grant,
// before the cold-start ramp is applied.
func (g Grant) Slots(limits settings.Limits) int {
	return g.ApplyTo(limits.Slots, limits.Cold.Allowance)
}

// Connections returns the number of connections that may be open under the
// grant. A slot needs one connection, so the reserve is counted alike.
func (g Grant) Connections(limits settings.Limits) int {
	return g.ApplyTo(limits.Connections, limits.Cold.Allowance)
}

// ApplyTo returns the granted part of a limit of which reserve is set aside for a
// successor.
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
