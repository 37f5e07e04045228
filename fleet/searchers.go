// Package fleet keeps what is known of the searchers, of the failure domains
// that are out of service and of the instances of this system, from the lists
// and changes that the platform's store hands out. It does no I/O; time is that
// of the boot clock.
package fleet

import (
	"sync"
	"time"
)

// Searcher is one entry of the list of searchers.
type Searcher struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	// Draining says that the searcher leaves and takes no new requests.
	Draining bool
	// ColdFor is how much longer the searcher stays cold, counted from when the
	// entry was written.
	ColdFor time.Duration
	// Incarnation is the Unix millisecond of the searcher's start, zero if it is
	// not stated.
	Incarnation int64
}

// entry is a searcher that is in use.
type entry struct {
	searcher Searcher
	// revision is that of the store's object.
	revision int64
	// missing says that the entry is no longer listed, which may be the store's
	// fault, and missingSince since when.
	missing      bool
	missingSince time.Duration
}

// Searchers is the list of searchers. It is safe for concurrent use.
type Searchers struct {
	mu      sync.Mutex
	entries map[string]*entry
	// unreliableUntil ends the time after an outage of the store in which a
	// missing entry may come back.
	unreliableUntil time.Duration
}

// MissingGracePeriod is how long after an outage of the store an entry that lapsed
// meanwhile may take to come back.
const MissingGracePeriod = 2200 * time.Millisecond

// NewSearchers returns an empty list.
func NewSearchers() *Searchers { return &Searchers{entries: make(map[string]*entry)} }

// NoteStoreFailure notes that the store answers again after an outage: until
// ReturnTime has passed, entries that are missing are kept.
func (l *Searchers) NoteStoreFailure(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreliableUntil = now + MissingGracePeriod
}

// Put takes a new or changed entry and reports whether it was taken. An entry
// that is older than what is known, or of an earlier incarnation of the
// searcher, is not.
func (l *Searchers) Put(s Searcher, revision int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[s.ID]
	if e == nil {
		l.entries[s.ID] = &entry{searcher: s, revision: revision}
		return true
	}
	if revision < e.revision || s.Incarnation < e.searcher.Incarnation {
		return false
	}
	*e = entry{searcher: s, revision: revision}
	return true
}

// RemoveOutcome says what became of an entry that the store no longer has.
type RemoveOutcome int

// Outcomes of Remove.
const (
	// IgnoredAsOlder: the entry is newer than the removal.
	IgnoredAsOlder RemoveOutcome = iota
	// MarkedMissing: the entry may have lapsed through the store's fault, and is kept
	// until Expire.
	MarkedMissing
	// Removed: the searcher is no longer on the list.
	Removed
)

// Remove takes an entry off the list because the store says that it is gone or
// that it can't be read.
func (l *Searchers) Remove(id string, revision int64, now time.Duration) RemoveOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		return Removed
	}
	if revision != 0 && revision < e.revision {
		return IgnoredAsOlder
	}
	if now < l.unreliableUntil && !e.searcher.Draining {
		if !e.missing {
			e.missing, e.missingSince = true, now
		}
		return MarkedMissing
	}
	delete(l.entries, id)
	return Removed
}

// Expire removes the entries that have been missing for ReturnTime, and returns
// their IDs.
func (l *Searchers) Expire(now time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var expired []string
	for id, e := range l.entries {
		if e.missing && now-e.missingSince >= MissingGracePeriod {
			delete(l.entries, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// Len returns the number of searchers.
func (l *Searchers) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}
