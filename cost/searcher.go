package cost

import "time"

const (
	// maxSpeedWeight bounds the weight of past observations of a searcher's slowness, in observations, so that
	// it follows slow changes. Sudden ones are noticed sooner by changeFactor.
	maxSpeedWeight = 24
	// minSpeedWeight is the weight from which a slowness counts as known.
	minSpeedWeight = 9
	// jitter is the usual error of a latency, from the network and from this process. Requests of which it
	// is a large part count less for the slowness.
	jitter = 2 * time.Millisecond
	// If changeCount requests in succession take more than changeFactor times the expected time, or less than
	// 1/changeFactor of it, the speed of the searcher has probably changed. From then on, each such request
	// reduces the weight of earlier observations to changeKeeps of it, if the confidence in its expected cost
	// is at least minChangeConfidence. A single request may have waited behind an expensive one of another
	// instance.
	changeFactor        = 4
	changeCount         = 2
	changeKeeps         = 0.5
	minChangeConfidence = 0.5
	// slownessPrior is the weight of the service's usual speed in a searcher's slowness, in observations.
	// It keeps few observations from counting for much, and makes a searcher that is not used for long
	// be tried again.
	slownessPrior = 1
	// minLeft is the share of the expected time of the outstanding requests that is assumed to be
	// left however long they have run: one that is not answered still takes a slot.
	minLeft = 0.25
	// minOwnShare is the least share of a latency that counts as time of the request itself, where
	// requests of this instance were ahead of it.
	minOwnShare = 0.25
)

// Searcher holds what is known of one searcher: its slowness and the outstanding requests of this
// instance. The zero value is ready for use.
type Searcher struct {
	// slowness is the time of requests relative to their expected cost: 2 means twice as long. It
	// includes lasting waits behind requests of other instances.
	slowness   mean
	unexpected succession
	// outstanding is the number of requests of this instance without a reply, work the sum of
	// their expected costs, startedAt the sum of the times at which they were sent.
	outstanding int
	work        time.Duration
	startedAt   time.Duration
	// distance is the shortest time in which a connection was opened: that of a round trip through
	// the network. It is zero if none was opened.
	distance time.Duration
}

// succession counts requests in succession that took much longer than expected, or much shorter.
type succession struct{ longer, shorter int }

// add adds a request that took ratio times as long as expected.
func (u *succession) add(ratio float64) {
	longer, shorter := u.longer+1, u.shorter+1
	*u = succession{}
	switch {
	case ratio > changeFactor:
		u.longer = longer
	case ratio < 1.0/changeFactor:
		u.shorter = shorter
	}
}

func (u *succession) changed() bool { return u.longer >= changeCount || u.shorter >= changeCount }

// ObserveDial records the time in which a connection to the searcher was opened.
func (s *Searcher) ObserveDial(took time.Duration) {
	if s.distance == 0 || took < s.distance {
		s.distance = took
	}
}

// Request is a request that was given to a searcher.
type Request struct {
	Kind Kind
	// Cost is its expected cost, Ahead the work for each slot that this instance had at the
	// searcher before. At is when the searcher was chosen.
	Cost     time.Duration
	Ahead    time.Duration
	At       time.Duration
	expected expectation
}

// Slowness returns the expected time of a request at the searcher relative to its cost.
func (s *Searcher) Slowness(now time.Duration) float64 {
	if s.slowness.weight == 0 {
		return 1
	}
	return s.slowness.value(now, 1, slownessPrior)
}

// Start adds a request to the outstanding ones of a searcher. slots is the number of requests that the
// searcher runs at once.
func (m *Model) Start(now time.Duration, s *Searcher, k Kind, slots int) Request {
	r := Request{Kind: k, Ahead: s.left(now, 1) / time.Duration(max(slots, 1)), At: now}
	r.expected = m.expected(now, k)
	r.Cost = r.expected.cost
	s.outstanding++
	s.work += r.Cost
	s.startedAt += now
	return r
}

// End removes a request from the outstanding ones.
func (s *Searcher) End(r Request) {
	s.outstanding--
	s.work -= r.Cost
	s.startedAt -= r.At
}

// left returns the time that the outstanding requests are expected to take still, one after
// the other.
func (s *Searcher) left(now time.Duration, slowness float64) time.Duration {
	if s.outstanding == 0 {
		return 0
	}
	work := time.Duration(slowness * float64(s.work))
	elapsed := time.Duration(s.outstanding)*now - s.startedAt
	return max(work-elapsed, time.Duration(minLeft*float64(work)))
}

// Estimate is what a request is expected to cost at the time of a choice.
type Estimate struct {
	// Cost is as Model.Expected returns it.
	Cost  time.Duration
	now   time.Duration
	ratio float64
}

// Estimate returns what a request is expected to cost.
func (m *Model) Estimate(now time.Duration, k Kind) Estimate {
	return Estimate{Cost: m.Expected(now, k), now: now, ratio: m.ratio(now)}
}

// Completion returns the time in which a searcher is expected to be done with the request, and the slowness of the
// searcher. slots is the number of requests that it runs at once.
func (e Estimate) Completion(s *Searcher, slots int) (time.Duration, float64) {
	slowness := s.Slowness(e.now)
	wait := e.ratio * float64(s.left(e.now, slowness)) / float64(max(slots, 1))
	return s.distance + time.Duration(slowness*float64(e.Cost)+wait), slowness
}

// Left returns the time that the outstanding requests of this instance are expected to take still, one after
// the other.
func (s *Searcher) Left(now time.Duration) time.Duration { return s.left(now, s.Slowness(now)) }

// LeftOf returns the time that one outstanding request is expected to take still, if it runs.
func (s *Searcher) LeftOf(now time.Duration, r Request) time.Duration {
	expected := s.Alone(now, r.Cost)
	return max(expected-(now-r.At), time.Duration(minLeft*float64(expected)))
}

// Alone returns the time that a request with the given expected cost takes if it need not wait.
func (s *Searcher) Alone(now, expected time.Duration) time.Duration {
	return s.distance + time.Duration(s.Slowness(now)*float64(expected))
}

// ObserveReply records the latency of a request from the choice of the searcher to its reply.
func (m *Model) ObserveReply(now time.Duration, s *Searcher, r Request, latency time.Duration) {
	slowness := s.Slowness(now)
	latency = s.withoutDistance(latency)
	own := max(latency-time.Duration(slowness*m.ratio(now)*float64(r.Ahead)), time.Duration(minOwnShare*float64(latency)))
	if r.Ahead > 0 && r.Cost > 0 {
		m.observeWait(now, r.Ahead, time.Duration(float64(latency)/slowness)-r.Cost)
	}
	m.observe(now, r.Kind, time.Duration(float64(own)/slowness))
	m.observeSlowness(now, s, r.expected.observed, own, r.expected.confidence)
}

// withoutDistance returns a latency without the time of the network. At least half of it remains, since the
// distance may be longer than it was when the latency was observed.
func (s *Searcher) withoutDistance(latency time.Duration) time.Duration {
	return max(latency-s.distance, latency/2)
}

// ObserveGivenUp records that a request was given up after this time without a reply. It is ignored
// if that is less than the time that was expected.
func (m *Model) ObserveGivenUp(now time.Duration, s *Searcher, r Request, waited time.Duration) {
	expected := s.Slowness(now) * (float64(r.Cost) + m.ratio(now)*float64(r.Ahead))
	if r.Cost > 0 && float64(s.withoutDistance(waited)) > expected {
		m.ObserveReply(now, s, r, waited)
	}
}

// ObserveReport records that another instance had this many replies with a mean latency. usual is the usual
// latency of the service, zero if it is not known.
func (m *Model) ObserveReport(now time.Duration, s *Searcher, replies int, latency, usual time.Duration) {
	for range min(replies, maxSpeedWeight) {
		m.observeSlowness(now, s, s.withoutDistance(usual), s.withoutDistance(latency), 1)
	}
}

// observeSlowness records that a request took a time for an expected cost, with the confidence in that
// cost: a new kind may be expensive, which does not make the searcher slow.
func (m *Model) observeSlowness(now time.Duration, s *Searcher, expected, took time.Duration, confidence float64) {
	usual := m.ServiceCost(now)
	if expected <= 0 || usual <= 0 || confidence <= 0 {
		return
	}
	ratio, before := float64(took)/float64(expected), s.Slowness(now)
	if s.unexpected.add(ratio / before); confidence >= minChangeConfidence && s.unexpected.changed() {
		s.slowness.scale(changeKeeps)
	}
	s.slowness.addWeighted(now, ratio, confidence*float64(expected)/float64(expected+jitter), maxSpeedWeight)
	slowness := s.Slowness(now)
	difference := time.Duration((slowness - 1) * float64(usual))
	if s.slowness.currentWeight(now) >= minSpeedWeight && (slowness >= minSpeedRatio || slowness <= 1/minSpeedRatio) && max(difference, -difference) >= minSpeedDifference {
		m.activeUntil = now + activeFor
	}
}

const (
	// minRatio is the least and the initial ratio. A lower one, as learned under light load, would underrate
	// the wait when load rises; a higher one sends more requests to other failure domains.
	minRatio = 2
	// maxRatio bounds the ratio.
	maxRatio = 8
	// ratioPrior is the weight of minRatio, in observations with as much work ahead as a usual request
	// costs.
	ratioPrior = 1
)

// ratio returns by how much a request is expected to be delayed for each unit of work that this instance
// has at a searcher. It stands for the work of the other instances there, which is not known but delays
// replies too: they have the more work the more this instance has.
func (m *Model) ratio(now time.Duration) float64 {
	return min(max(m.delay.value(now, minRatio, ratioPrior), minRatio), maxRatio)
}

// observeWait records that a request that had work ahead of it waited. The wait is negative if the reply came
// sooner than expected. Observations weigh as in a regression through the origin.
func (m *Model) observeWait(now, ahead, wait time.Duration) {
	usual := m.ServiceCost(now)
	if usual <= 0 {
		return
	}
	share := min(float64(ahead)/float64(usual), 2)
	m.delay.addWeighted(now, float64(wait)/float64(ahead), share*share, maxWeight)
}
