// Package hedge decides when a slow part of a request is also sent to another replica,
// within a budget of extra load. It does no I/O. Times are those of the boot clock.
package hedge

import (
	"math"
	"time"
)

const (
	// The upper bounds of the histogram's buckets grow by a constant ratio. With 16
	// buckets per octave a quantile is off by at most 4.5 %.
	bucketsPerOctave = 16
	// minLatency is the lower end of the histogram, octaves the number of doublings that
	// it covers. Latencies outside of it count in the first or the last bucket.
	minLatency  = 50 * time.Microsecond
	octaves     = 18
	bucketCount = bucketsPerOctave * octaves

	// halfLife is the time in which a latency loses half its weight. It is long enough
	// for a burst of slow answers not to dominate, and short enough to follow a change of
	// settings.
	halfLife = 10 * time.Second
	// decayEvery is the shortest time between two reductions of the weights.
	decayEvery = time.Second
	// minSamples is the total weight below which quantiles are not reported.
	minSamples = 100

	// laterHedgeQuantile is the quantile of part latency after which the second and each
	// later hedge of a part is sent. A second hedge is rare, so it may be sent after a
	// shorter delay than the first: in the simulation with 5 % stragglers and a fan-out of
	// 48, the p99 is 79 ms at this quantile, 92 ms at the median and 86 ms at the first
	// hedge's delay.
	laterHedgeQuantile = 0.75

	// maxTokens is the capacity of the budget's bucket: the number of hedges that may be
	// sent in a burst. The delay of hedges is set so that about half of it is kept for
	// stragglers that come close together.
	maxTokens = 100
)

// Histogram is a latency histogram in which old samples lose weight over time. The zero
// value is empty and ready for use.
type Histogram struct {
	weights   [bucketCount]float64
	total     float64
	lastDecay time.Duration
}

// Add adds one latency that was observed at now. For a part that was cancelled, add the
// time until it was cancelled. The part was at least that slow, so it rightly counts as
// slower than any shorter delay.
func (h *Histogram) Add(now, latency time.Duration) {
	if now-h.lastDecay >= decayEvery {
		h.decay(now)
	}
	h.weights[bucketOf(latency)]++
	h.total++
}

// decay reduces the weights for the time since the last reduction.
func (h *Histogram) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-h.lastDecay) / float64(halfLife))
	h.lastDecay = now
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= factor
		h.total += h.weights[i]
	}
}

// Quantile returns the latency below which the share p, from 0 to 1, of the samples lies.
// It returns false if there are too few samples.
func (h *Histogram) Quantile(p float64) (time.Duration, bool) { return h.QuantileFrom(p, minSamples) }

// QuantileFrom is Quantile for a histogram whose total weight is at least the given number of samples.
func (h *Histogram) QuantileFrom(p, samples float64) (time.Duration, bool) {
	if h.total < samples {
		return 0, false
	}
	remaining := h.total * (1 - p)
	for i := bucketCount - 1; i >= 0; i-- {
		remaining -= h.weights[i]
		if remaining < 0 {
			return upperBound(i), true
		}
	}
	return upperBound(0), true
}

// bucketOf returns the index of the bucket that counts a latency.
func bucketOf(latency time.Duration) int {
	if latency <= minLatency {
		return 0
	}
	i := int(math.Log2(float64(latency)/float64(minLatency)) * bucketsPerOctave)
	return min(i, bucketCount-1)
}

// upperBound returns the upper end of a bucket's range of latencies.
func upperBound(bucket int) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(float64(bucket+1)/bucketsPerOctave))
}

// Budget is a token bucket that limits extra load. Each part adds a fraction of a token,
// and each hedge costs one token.
type Budget struct {
	// share is the number of tokens that each part adds: the allowed hedges per part.
	share  float64
	tokens float64
}

// NewBudget returns a half-full bucket for the given share of extra load, in hedges per
// part. With a share of 0, no hedges are sent.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, tokens: maxTokens / 2}
}

// SetShare changes the share of extra load, for example after a change of settings. It
// keeps the tokens.
func (b *Budget) SetShare(share float64) { b.share = share }

// Earn adds the tokens for the given number of parts. Hedges don't count as parts.
func (b *Budget) Earn(parts int) {
	b.tokens = min(b.tokens+b.share*float64(parts), maxTokens)
}

// Take takes the token for one hedge and reports whether the hedge may be sent. It returns
// false if there is no token or hedging is off.
func (b *Budget) Take() bool {
	if b.share <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund puts back the token of a hedge that caused no extra load, because the part or
// its hedge was withdrawn before it started.
func (b *Budget) Refund() { b.tokens = min(b.tokens+1, maxTokens) }

// fillLevel returns the fill level of the bucket: 0 if it is empty, 1 if it is half full
// and 2 if it is full.
func (b *Budget) fillLevel() float64 {
	return max(b.tokens/(maxTokens/2), 0)
}

// Policy decides when the parts of one service are hedged. It is not safe for concurrent
// use.
type Policy struct {
	// Latency holds the latencies of parts that were not sent as hedges.
	Latency Histogram
	Budget  *Budget
}

// NewPolicy returns a policy with the given share of extra load and no known latencies.
func NewPolicy(share float64) *Policy { return &Policy{Budget: NewBudget(share)} }

// Delay returns the time to wait for an answer before the next hedge of a part that was
// hedged the given number of times. The delay of the first hedge depends on the share b of
// extra load and on the bucket. If the bucket is half full, the delay is the (1-b)
// quantile of part latency. If it is less full, the delay rises toward the latency of the
// slowest parts, since hedges sent too early would leave none for those. If it is fuller,
// for example because hedges were refunded, the delay falls as far as the (1-2b) quantile,
// so that the budget is used. Delay returns false if hedging is off or too few latencies
// are known.
func (p *Policy) Delay(hedges int) (time.Duration, bool) {
	if p.Budget.share <= 0 {
		return 0, false
	}
	if hedges > 0 {
		return p.Latency.Quantile(laterHedgeQuantile)
	}
	return p.Latency.Quantile(1 - p.Budget.share*p.Budget.fillLevel())
}

// Median returns the median part latency. It is zero while too few latencies are known.
func (p *Policy) Median() time.Duration {
	d, _ := p.Latency.Quantile(0.5)
	return d
}
