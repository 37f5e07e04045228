// Package cost learns what requests cost the searchers of one service, how fast each searcher
// works and how much work it has left, and chooses a searcher by the time in which it is
// expected to be done. It does no I/O. Times are readings of the boot clock, and random numbers
// are passed in. The types are not safe for concurrent use.
package cost

import (
	"container/list"
	"math"
	"math/bits"
	"time"
)

const (
	// maxKinds is the number of kinds of requests that a model keeps. The routes count as kinds too.
	maxKinds = 512
	// halfLife is the time in which an observation loses half its weight. An instance gets a reply of each
	// searcher of a large service only about every two seconds, so a shorter one leaves too few observations.
	halfLife = 20 * time.Second
	// maxWeight bounds the weight of past observations of a kind, so that its cost follows a
	// change within some tens of requests however many there are.
	maxWeight = 64
	// priorWeight is the weight of the value of the route for a kind, and of that of the service
	// for a route, in observations. A new kind starts from there.
	priorWeight = 3

	// The model decides while the most expensive kind costs at least minKindRatio times the cheapest,
	// among those with enough observations, or while a searcher's speed differs from that of the
	// service by minSpeedRatio.
	minKindRatio  = 2
	minSpeedRatio = 1.5
	// minSpeedDifference is the least difference that a speed must make to the time of a usual
	// request. The network between failure domains takes up to 3.5 ms, which is no
	// difference in speed.
	minSpeedDifference = 4 * time.Millisecond
	// minWeight is the weight from which the cost of a kind is compared with that of others, assumedSpread the
	// standard deviation of the costs of a kind relative to their mean.
	minWeight     = 6
	assumedSpread = 0.5
	// compareEvery is the time between two comparisons of the kinds.
	compareEvery = time.Second
	// activeFor is how long the model decides after a difference was last seen. It keeps the choice
	// from alternating between two rules while a difference is near its limit.
	activeFor = 10 * time.Second
)

// SizeClass is a class of sizes of request bodies. Each covers a factor of four.
type SizeClass uint8

// routeClass marks the value of a whole route. No body has that class.
const routeClass SizeClass = 255

// SizeClassOf returns the class of a body of n bytes. Bodies below 256 bytes are in class 0.
func SizeClassOf(n int) SizeClass { return SizeClass((bits.Len(uint(max(n, 0))>>8) + 1) / 2) }

// Kind identifies requests that are expected to cost a service alike.
type Kind struct {
	Route string
	// Account is the name of the client account, empty if there is none.
	Account string
	Size    SizeClass
}

// mean is a weighted mean in which old values lose weight.
type mean struct {
	sum, weight float64
	updatedAt   time.Duration
}

// add adds a value with a weight of 1. limit bounds the weight of all values together.
func (m *mean) add(now time.Duration, value, limit float64) { m.addWeighted(now, value, 1, limit) }

func (m *mean) addWeighted(now time.Duration, value, weight, limit float64) {
	keep := decay(now - m.updatedAt)
	if m.weight*keep > limit-weight {
		keep = (limit - weight) / m.weight
	}
	m.sum = m.sum*keep + value*weight
	m.weight = m.weight*keep + weight
	m.updatedAt = now
}

// scale reduces the weight of all values.
func (m *mean) scale(keep float64) { m.sum, m.weight = m.sum*keep, m.weight*keep }

// value returns the mean now, where prior counts as a value of the given weight.
func (m *mean) value(now time.Duration, prior, weight float64) float64 {
	keep := decay(now - m.updatedAt)
	return (m.sum*keep + prior*weight) / (m.weight*keep + weight)
}

func (m *mean) currentWeight(now time.Duration) float64 { return m.weight * decay(now-m.updatedAt) }

// decay returns the share of its weight that a value keeps for a time.
func decay(since time.Duration) float64 {
	return math.Exp2(-float64(max(since, 0)) / float64(halfLife))
}

// entry is the cost of one kind in nanoseconds at a searcher of the service's usual speed.
type entry struct {
	kind Kind
	mean mean
}

// Model holds what is known of the requests to one service. The zero value is ready for use.
type Model struct {
	service mean
	// delay is the wait of requests for each unit of work ahead of them.
	delay mean
	// kinds holds the elements of recent, whose values are of type *entry, the last used first.
	kinds  map[Kind]*list.Element
	recent list.List
	// activeUntil is the end of the time in which the model decides, comparedAt when the kinds were last
	// compared.
	activeUntil time.Duration
	comparedAt  time.Duration
}

// Active reports whether the kinds or the speeds of the service differ enough for a choice
// by expected cost.
func (m *Model) Active(now time.Duration) bool { return now < m.activeUntil }

// ServiceCost returns the mean cost of the requests of the service, zero if none is known.
func (m *Model) ServiceCost(now time.Duration) time.Duration {
	if m.service.weight == 0 {
		return 0
	}
	return time.Duration(m.service.value(now, 0, 0))
}

// Expected returns the expected cost of a request: its time at a searcher of the service's usual
// speed that has no other work. It is zero if nothing is known of the service.
func (m *Model) Expected(now time.Duration, k Kind) time.Duration {
	return m.expected(now, k).cost
}

// expectation is the expected cost of a request.
type expectation struct {
	cost time.Duration
	// observed is the mean cost of the kind, or that of its route if little is known of the kind. Unlike
	// cost it does not start from the value of the service. confidence, from 0 to 1, is that in it.
	observed   time.Duration
	confidence float64
}

func (m *Model) expected(now time.Duration, k Kind) expectation {
	cost, observed, confidence := float64(m.ServiceCost(now)), 0.0, 0.0
	if cost == 0 {
		return expectation{}
	}
	for _, key := range [...]Kind{k.ofRoute(), k} {
		if e, ok := m.kinds[key]; ok {
			m.recent.MoveToFront(e)
			mean := &e.Value.(*entry).mean
			cost = mean.value(now, cost, priorWeight)
			weight := mean.currentWeight(now)
			confidence /= 2 // the kinds of a route may differ
			if c := weight / (weight + priorWeight); c >= confidence {
				observed, confidence = mean.value(now, 0, 0), c
			}
		}
	}
	return expectation{time.Duration(cost), time.Duration(observed), confidence}
}

func (k Kind) ofRoute() Kind { return Kind{Route: k.Route, Size: routeClass} }

// observe adds the cost of one request.
func (m *Model) observe(now time.Duration, k Kind, cost time.Duration) {
	m.service.add(now, float64(cost), maxWeight)
	m.entry(k.ofRoute()).mean.add(now, float64(cost), maxWeight)
	m.entry(k).mean.add(now, float64(cost), maxWeight)
	if now-m.comparedAt >= compareEvery {
		m.comparedAt = now
		m.compareKinds(now)
	}
}

// entry returns the entry of a kind. A new one takes the place of the least recently used one if
// there are maxKinds.
func (m *Model) entry(k Kind) *entry {
	if e, ok := m.kinds[k]; ok {
		m.recent.MoveToFront(e)
		return e.Value.(*entry)
	}
	if m.kinds == nil {
		m.kinds = make(map[Kind]*list.Element)
	}
	if len(m.kinds) >= maxKinds {
		last := m.recent.Back()
		delete(m.kinds, m.recent.Remove(last).(*entry).kind)
	}
	e := &entry{kind: k}
	m.kinds[k] = m.recent.PushFront(e)
	return e
}

// compareKinds extends the time in which the model decides if the kinds, or the routes, differ enough. A mean
// counts with its standard error against a difference, so that the chance differences of many kinds with few
// observations do not suffice.
func (m *Model) compareKinds(now time.Duration) {
	lowest, highest := 0.0, 0.0
	for e := m.recent.Front(); e != nil; e = e.Next() {
		mean := &e.Value.(*entry).mean
		weight := mean.currentWeight(now)
		if weight < minWeight {
			continue
		}
		cost, uncertainty := mean.value(now, 0, 0), assumedSpread/math.Sqrt(weight)
		if upper := cost * (1 + uncertainty); lowest == 0 || upper < lowest {
			lowest = upper
		}
		highest = max(highest, cost*(1-uncertainty))
	}
	if highest >= minKindRatio*lowest && lowest > 0 {
		m.activeUntil = now + activeFor
	}
}
