package rollout

import (
	"fmt"
	"math"
)

const (
	// minBad is the least number of bad replies of the new version for a verdict.
	minBad = 5
	// badFactor is how many times more bad replies than the established version a bad version
	// has at least.
	badFactor = 3
	// nullFactor is the factor by which the versions may differ without either being bad, since
	// new searchers have empty caches. significance is the probability of the observed replies
	// under that, below which the version is bad. It is small since the test is made four
	// times a second on each route.
	nullFactor   = 1.3
	significance = 5e-4
	// minSuspicious, suspiciousFactor and suspicion are the same for a version that is suspected:
	// it is not promoted while it is, which costs a good version some time only.
	minSuspicious    = 3
	suspiciousFactor = 2
	suspicion        = 0.02
	// minOldReplies is the least number of replies of the established version for a verdict.
	minOldReplies = 5
	// recentWindows is the number of windows that are also judged apart from the earlier ones, so
	// that a long good time does not hide that a version has become bad. A window is the time
	// between two decisions, a quarter of a second: replies of both versions are compared within
	// it, so that a fault of the whole service counts for both alike.
	recentWindows = 12
	// stallShare is the portion of a window for which all searchers may pause. While the
	// established version gets no requests, such a pause can't be told from a fault of the new
	// one, so the replies of one pause are added to the expected bad ones.
	stallShare = 0.4
	// priorReplies is the weight, in replies, of the rate of bad replies since the order in the
	// estimated rate of one window.
	priorReplies = 5
)

// Verdict is the judgement of a new version.
type Verdict struct {
	Bad bool
	// Suspected says that the version may be bad.
	Suspected bool
	// Reason says what decided it.
	Reason string
}

// window is what the new version did within some time, and how many bad replies it would have had
// if it were like the established one.
type window struct {
	replies, bad, expected float64
}

func (w window) plus(o window) window {
	return window{w.replies + o.replies, w.bad + o.bad, w.expected + o.expected}
}

// isSuspicious reports whether the new version had more bad replies than expected, though not enough
// for a verdict.
func (w window) isSuspicious() bool {
	return w.bad >= minSuspicious && w.bad >= suspiciousFactor*w.expected && poissonTail(w.bad, nullFactor*w.expected) < suspicion
}

// isBad reports whether the new version had significantly more bad replies than expected.
func (w window) isBad() bool {
	return w.bad >= minBad && w.bad >= badFactor*w.expected && poissonTail(w.bad, nullFactor*w.expected) < significance
}

// Evidence judges the new version of an order by the sums of the counts of all instances. The zero
// value has seen nothing. It is not safe for concurrent use.
type Evidence struct {
	windows int
	routes  map[uint32]*routeEvidence
	// last holds the counts of all routes at the end of the last window, before those at the end
	// of the one before it.
	last, before Counts
}

// routeEvidence is the evidence on one route.
type routeEvidence struct {
	// last holds the counts at the end of the last window.
	last Counts
	// matched is the sum of all windows with replies of both versions, unmatched that of the
	// windows in which hardly a request went to the established version.
	matched, unmatched window
	// recent and alone are the latest of those windows.
	recent, alone [recentWindows]window
}

// Judge returns the judgement, given the sums now. The time since the last call is a window.
func (e *Evidence) Judge(sums Tally) Verdict {
	if e.routes == nil {
		e.routes = make(map[uint32]*routeEvidence)
	}
	total := sums.Total()
	since := total.minus(e.before)
	now := total.minus(e.last)
	alone := since.OldReplies*2 < since.NewReplies || now.OldReplies*2 < now.NewReplies
	e.last, e.before = total, e.last
	i := e.windows % recentWindows
	e.windows++
	var verdict Verdict
	var all routeEvidence
	for route, c := range sums {
		r := e.routes[route]
		if r == nil {
			r = &routeEvidence{}
			e.routes[route] = r
		}
		r.observe(i, compare(c.minus(r.last), c, total), alone)
		r.last = c
		all.add(r)
		if c.OldReplies >= minOldReplies {
			verdict.judge("one route", r)
		}
	}
	if total.OldReplies >= minOldReplies {
		verdict.judge("all routes", &all)
	}
	return verdict
}

// observe records a window at a place in the rings.
func (r *routeEvidence) observe(i int, w window, alone bool) {
	r.recent[i], r.alone[i] = window{}, window{}
	if alone {
		r.alone[i] = w
		r.unmatched = r.unmatched.plus(w)
		return
	}
	r.recent[i] = w
	r.matched = r.matched.plus(w)
}

func (r *routeEvidence) add(o *routeEvidence) {
	r.matched, r.unmatched = r.matched.plus(o.matched), r.unmatched.plus(o.unmatched)
	for i := range recentWindows {
		r.recent[i] = r.recent[i].plus(o.recent[i])
		r.alone[i] = r.alone[i].plus(o.alone[i])
	}
}

func sum(windows []window) window {
	var total window
	for _, w := range windows {
		total = total.plus(w)
	}
	return total
}

// compare returns a window with counts, given those since the order on the same route and on all
// routes.
func compare(since, route, total Counts) window {
	rate := (float64(total.OldBad) + 0.5) / (float64(total.OldReplies) + 2*priorReplies)
	rate = (float64(route.OldBad) + priorReplies*rate) / (float64(route.OldReplies) + priorReplies)
	rate = (float64(since.OldBad) + priorReplies*rate) / (float64(since.OldReplies) + priorReplies)
	return window{replies: float64(since.NewReplies), bad: float64(since.NewBad), expected: rate * float64(since.NewReplies)}
}

// judge adds the judgement of the replies on a route, or on all of them, which where names.
func (v *Verdict) judge(where string, r *routeEvidence) {
	stall := window{}
	for _, w := range r.alone {
		stall.expected = max(stall.expected, stallShare*w.replies)
	}
	for _, w := range [...]window{r.matched, sum(r.recent[:]), sum(r.alone[:]).plus(stall), r.matched.plus(r.unmatched).plus(stall)} {
		v.Suspected = v.Suspected || w.isSuspicious()
		if !v.Bad && w.isBad() {
			*v = Verdict{Bad: true, Suspected: true, Reason: fmt.Sprintf("%.0f of %.0f replies of the new version on %s were failures or slow, %.1f would be as many as before", w.bad, w.replies, where, w.expected)}
		}
	}
}

// poissonTail returns the probability that a Poisson variable with a mean is at least n.
func poissonTail(n, mean float64) float64 {
	if mean <= 0 {
		return 0
	}
	if mean >= n {
		return 1
	}
	// The terms fall from n on, since n is above the mean.
	logGamma, _ := math.Lgamma(n + 1)
	term := math.Exp(n*math.Log(mean) - mean - logGamma)
	sum := 0.0
	for k := n; term > significance*1e-6; k++ {
		sum += term
		term *= mean / (k + 1)
	}
	return sum
}
