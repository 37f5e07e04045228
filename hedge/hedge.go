// Package hedge decides when a part that is slow is sent to a second replica,
// within a budget of extra load. It does no I/O; time is that of the boot
// clock.
package hedge

import (
	"math"
	"time"
)

const (
	// The latency histogram has buckets of a constant ratio: 16 to the octave
	// is an error of at most 4.5 %.
	bucketsPerOctave = 16
	lowest           = 50 * time.Microsecond
	octaves          = 18
	bucketCount      = bucketsPerOctave * octaves

	// halfLife is the time in which old latencies lose half their weight. It is
	// long against a burst of slow answers and short against a settings change.
	halfLife = 10 * time.Second
	// decayEvery is how often the weights are reduced.
	decayEvery = time.Second
	// minSamples is the weight below which the quantile is not relied on.
	minSamples = 100

	// secondQuantile is the part latency after which a hedge is taken for slow
	// too. A second hedge is rare, so it may come earlier than the first: in the
	// model with 5 % stragglers and fan-out 48 the p99 is 79 ms at this quantile,
	// 92 ms at the median and 86 ms at the first hedge's delay.
	secondQuantile = 0.75

	// bucketTokens is how many hedges may be sent in a burst. Half of it stays in
	// reserve for stragglers that come close together.
	bucketTokens = 100
)

// Histogram is a streaming latency distribution that forgets slowly.
type Histogram struct {
	weights [bucketCount]float64
	total   float64
	decayed time.Duration
}

// Add takes one latency, observed at now. For a part that was cancelled, its
// time until then is added: the part was at least that slow, so the share of
// parts above any shorter delay stays right.
func (q *Histogram) Add(now, latency time.Duration) {
	if now-q.decayed >= decayEvery {
		q.decay(now)
	}
	q.weights[bucketOf(latency)]++
	q.total++
}

func (q *Histogram) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-q.decayed) / float64(halfLife))
	q.decayed = now
	q.total = 0
	for i := range q.weights {
		q.weights[i] *= factor
		q.total += q.weights[i]
	}
}

// Quantile returns the latency below which the share p of parts lies. It reports
// false while too few parts were seen.
func (q *Histogram) Quantile(p float64) (time.Duration, bool) {
	if q.total < minSamples {
		return 0, false
	}
	rest := q.total * (1 - p)
	for i := bucketCount - 1; i >= 0; i-- {
		rest -= q.weights[i]
		if rest < 0 {
			return upperBound(i), true
		}
	}
	return upperBound(0), true
}

func bucketOf(latency time.Duration) int {
	if latency <= lowest {
		return 0
	}
	i := int(math.Log2(float64(latency)/float64(lowest)) * bucketsPerOctave)
	return min(i, bucketCount-1)
}

func upperBound(bucket int) time.Duration {
	return time.Duration(float64(lowest) * math.Exp2(float64(bucket+1)/bucketsPerOctave))
}

// Budget is a token bucket of extra load: each part earns the budget's share of
// a token, and each hedge costs one.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a half-full bucket for the given share of extra load.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, tokens: bucketTokens / 2}
}

// SetShare changes the share, as a new settings revision may.
func (b *Budget) SetShare(share float64) { b.share = share }

// Earn counts parts that were sent first, not as hedges.
func (b *Budget) Earn(parts int) {
	b.tokens = min(b.tokens+b.share*float64(parts), bucketTokens)
}

// Take pays for one hedge and reports whether the bucket held enough.
func (b *Budget) Take() bool {
	if b.share <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns the price of a hedge that caused no extra load, because one of
// the two parts was withdrawn before it started.
func (b *Budget) Refund() { b.tokens = min(b.tokens+1, bucketTokens) }

// reserve is how full the bucket is as a multiple of its half, from 0 to 2.
func (b *Budget) reserve() float64 {
	return max(b.tokens/(bucketTokens/2), 0)
}

// Policy decides the hedges of one service.
type Policy struct {
	Latency Histogram
	Budget  *Budget
}

// NewPolicy returns a policy with the given share of extra load.
func NewPolicy(share float64) *Policy { return &Policy{Budget: NewBudget(share)} }

// Delay returns the time after which a part that was hedged so many times is
// hedged again. With budget b and a half-full bucket the first is the (1-b)
// quantile of part latency. It rises toward the slowest parts while the bucket is
// below half: hedges sent too early would leave none for the parts that are
// slowest. It falls to the (1-2b) quantile while the bucket fills up, as it does
// when hedges are refunded, so that the budget is used. It reports false while
// hedging is off or the latency is not learned.
func (p *Policy) Delay(hedges int) (time.Duration, bool) {
	if p.Budget.share <= 0 {
		return 0, false
	}
	if hedges > 0 {
		return p.Latency.Quantile(secondQuantile)
	}
	return p.Latency.Quantile(1 - p.Budget.share*p.Budget.reserve())
}

// Median returns the median part latency, and zero until it is learned.
func (p *Policy) Median() time.Duration {
	d, _ := p.Latency.Quantile(0.5)
	return d
}
