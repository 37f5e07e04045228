package rollout

import "time"

// Census is the number of searchers of a version that are usable, and the earliest start of one as
// a Unix time in milliseconds.
type Census struct {
	Version   string
	Searchers int
	Earliest  int64
}

// peakRetention is how long the largest number of established searchers is remembered. If a service is
// replaced without an order, its searchers have to decline to half of that number within this time.
const peakRetention = 60 * time.Second

// settleTime is how long after the first searcher of a service the version is chosen anew with each
// change: an instance that starts learns of the searchers one by one, in no order.
const settleTime = 3 * time.Second

// Established finds the version of a service that gets its requests without an order. The zero
// value knows none. It is not safe for concurrent use.
type Established struct {
	version string
	known   bool
	// completed is the completed order that was last taken into account.
	completed Key
	// since is when the first searcher was seen, if any was.
	since time.Duration
	seen  bool
	// peak is the largest recent number of its searchers, reached last at peakAt.
	peak   int
	peakAt time.Duration
}

// Update returns the established version, given the usable searchers. That is the target of the
// last completed order, else the version of most searchers. It changes without an order only if
// all its searchers are gone, or half of them and another version has more: the service is then
// being replaced. barred reports whether a version is the target of an order that is not completed.
// Such a version is established only if no other is left.
func (e *Established) Update(now time.Duration, census []Census, completed Key, barred func(version string) bool) string {
	if completed != (Key{}) && completed != e.completed {
		e.completed = completed
		e.set(completed.Target)
	}
	if !e.seen && len(census) > 0 {
		e.seen, e.since = true, now
	}
	if e.seen && now-e.since < settleTime {
		e.settle(census, barred)
	}
	current := 0
	for _, c := range census {
		if c.Version == e.version && e.known {
			current = c.Searchers
		}
	}
	if current >= e.peak || now-e.peakAt > peakRetention {
		e.peak, e.peakAt = current, now
	}
	best, ok := most(census, barred)
	switch {
	case !ok: // keeps what it is while no searcher is known
	case !e.known || current == 0, !barred(best.Version) && 2*current <= e.peak && best.Searchers > current:
		if best.Version != e.version || !e.known {
			e.set(best.Version)
			e.peak, e.peakAt = best.Searchers, now
		}
	}
	return e.version
}

// settle chooses the version anew: the target of the completed order if it has searchers, else the
// one with the most.
func (e *Established) settle(census []Census, barred func(string) bool) {
	best, ok := most(census, barred)
	for _, c := range census {
		if e.completed != (Key{}) && c.Version == e.completed.Target {
			best, ok = c, true
		}
	}
	if ok && (best.Version != e.version || !e.known) {
		e.set(best.Version)
	}
}

func (e *Established) set(version string) {
	e.version, e.known = version, true
	e.peak, e.peakAt = 0, 0
}

// most returns the version with the most searchers, the one that started first among equals. A
// barred version is returned only if there is no other.
func most(census []Census, barred func(string) bool) (Census, bool) {
	var best Census
	found := false
	for _, c := range census {
		better := !found
		if found {
			isBarred, bestBarred := barred(c.Version), barred(best.Version)
			switch {
			case isBarred != bestBarred:
				better = bestBarred
			case c.Searchers != best.Searchers:
				better = c.Searchers > best.Searchers
			default:
				better = c.Earliest < best.Earliest
			}
		}
		if better {
			best, found = c, true
		}
	}
	return best, found
}
