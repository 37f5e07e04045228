package balance

// averageWeight is the weight of a new value in a MovingAverage.
const averageWeight = 0.03

// MovingAverage is an exponentially weighted moving average that starts at zero.
type MovingAverage struct{ value float64 }

// Add updates the average with a value.
func (a *MovingAverage) Add(value float64) { a.value += averageWeight * (value - a.value) }

// busyShare is the share of a service's slots in use above which the service has no
// capacity for optional requests.
const busyShare = 0.7

// HasSpareCapacity reports whether a service has capacity for second attempts of requests
// that are slow but have not failed. On a busy service they would delay other requests by
// more than they gain. running is the average number of running requests of one instance;
// it is multiplied with the number of instances and compared with the slots of all
// searchers of the service.
func HasSpareCapacity(running MovingAverage, instances, slots int) bool {
	return running.value*float64(instances) <= busyShare*float64(slots)
}
