package gateway

import "time"

// answerMargin is the part of a route's target that is spent outside the gateway:
// the target counts from when the caller begins to ask, which may be before it has
// a connection, and ends when the answer has come back.
const answerMargin = 22 * time.Millisecond

// latencyBudget returns the time from the arrival of the request within which its answer is
// to leave.
func (c *call) latencyBudget() time.Duration {
	target := c.route.TargetLatency
	return max(target-answerMargin, target/2)
}
