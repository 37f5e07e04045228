package balance

// averageWeight is the weight of a new value in an Average.
const averageWeight = 0.03

// MovingAverage is a moving average of what is seen at each request.
type MovingAverage struct{ value float64 }

// Add takes a value.
func (a *MovingAverage) Add(value float64) { a.value += averageWeight * (value - a.value) }

// busyShare is the share of a service's slots above which it has no room for
// requests that could be done without.
const busyShare = 0.7

// HasSpareCapacity reports whether a service has room for second attempts of requests that are
// only slow: where it is busy, they would slow down the others by more than they
// gain. The average is of the requests that one of the instances has running.
func HasSpareCapacity(running MovingAverage, instances, slots int) bool {
	return running.value*float64(instances) <= busyShare*float64(slots)
}
