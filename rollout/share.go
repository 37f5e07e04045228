package rollout

import "time"

// Bounds limit what a new version gets before its roll-out is completed, over all instances.
type Bounds struct {
	// Share and Slack are the promise: at most Slack plus Share times all requests of the service.
	Share, Slack float64
}

const (
	// usedShare and usedSlack are the portions of the bounds that the instances use by
	// themselves. The rest covers the rounding at each of them, and requests that are on their
	// way when a phase ends.
	usedShare = 0.8
	usedSlack = 0.4
	// rampSlack is the portion of the slack up to which the ramp goes on, by the sums that the
	// leaders know.
	rampSlack = 0.8
	// rampShare is the share of the requests that the new version gets in the ramp.
	rampShare = 0.3
	// MaxContactAge is how long after its last contact with the store or a leader an instance
	// sends requests to the new version.
	MaxContactAge = 2500 * time.Millisecond
)

// Use counts the first attempts of one instance at a service since it first saw the order.
type Use struct {
	Requests, Sent int64
	// rampRequests and rampSent are the counts at the start of the ramp. inRamp says that it
	// has started.
	inRamp                 bool
	rampRequests, rampSent int64
}

// Place is the part that an instance has in the bounds.
type Place struct {
	// Instances is by how many the slack is divided, Position the place among them in [0, 1).
	Instances int
	Position  float64
}

// Allows reports whether the next first attempt, which Requests counts already, may go to the new
// version in a phase. elapsed is the portion of the order's duration that is over. It is not asked
// in the phase Promote.
func (u *Use) Allows(b Bounds, phase Phase, elapsed float64, p Place) bool {
	slack := usedSlack * b.Slack / float64(max(p.Instances, 1)) * min(max(elapsed, 0)/promoteAt, 1)
	limit := int64(usedShare*b.Share*float64(u.Requests) + slack + p.Position)
	if phase == Ramp {
		if !u.inRamp {
			u.inRamp, u.rampRequests, u.rampSent = true, u.Requests-1, u.Sent
		}
		limit = max(limit, u.rampSent+int64(rampShare*float64(u.Requests-u.rampRequests)+p.Position))
	}
	return u.Sent < limit
}
