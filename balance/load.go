package balance

// averageWeight is the weight of a new value in a MovingAverage.
const averageWeight = 0.03

// MovingAverage is an exponentially weighted moving average that starts at zero.
type MovingAverage struct{ value float64 }

// Add updates the average with a value.
func (a *MovingAverage) Add(value float64) { a.value += averageWeight * (value - a.value) }

// busyShare is the share of a service's slots in use above which the service has no
// capacity for second attempts of slow requests.
const busyShare = 0.7

// HasSpareCapacity reports whether a service has capacity for second attempts of requests
// that are slow but have not failed. On a busy service they would delay other requests by
// more than they gain. running is the average number of requests that this instance has
// running at the service. The other instances are assumed to have as many. slots is the
// number of slots of all searchers of the service.
func HasSpareCapacity(running MovingAverage, instances, slots int) bool {
	return running.value*float64(instances) <= busyShare*float64(slots)
}
