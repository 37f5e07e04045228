package gateway

import "time"

// answerMargin is the time within the target latency that is spent outside the gateway:
// the target counts from when the caller starts its request, perhaps before it has
// a connection, and ends when the answer has come back.
const answerMargin = 22 * time.Millisecond

// latencyBudget returns the time, counted from the arrival of the request, within which
// the answer must leave the gateway to meet the target latency. It is at least half of the
// target latency.
func (c *call) latencyBudget() time.Duration {
	target := c.route.TargetLatency
	return max(target-answerMargin, target/2)
}
