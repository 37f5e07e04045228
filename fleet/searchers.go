// Package fleet keeps the sets of searchers and of instances that this instance knows. Both
// are filled from entries of the platform's store. Heartbeats then tell which of the
// instances are alive and ready. The package does no I/O. All times are readings of the boot
// clock unless they are said to be Unix times.
package fleet

import (
	"sync"
	"time"
)

// Searcher is a searcher as its entry in the store describes it.
type Searcher struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the searcher runs at once.
	Slots int
	// Draining says that the searcher is about to stop and takes no new requests.
	Draining bool
	// ColdFor is how long the searcher stays cold from the time when the entry was
	// written.
	ColdFor time.Duration
	// StartUnixMs is the start of the searcher as a Unix time in milliseconds, zero if
	// the entry does not state it. It tells incarnations apart, but does not order them.
	StartUnixMs int64
	// Version is the version of the searcher's software, empty if the entry does not state it.
	Version string
}

// entry is a known searcher with the state of its entry in the store.
type entry struct {
	searcher Searcher
	// revision is the store's revision of the entry.
	revision int64
	// missing says that the entry is no longer in the store, perhaps only because it
	// expired during an outage of the store. missingSince is when this was noticed, or the
	// end of a later outage.
	missing      bool
	missingSince time.Duration
}

// Searchers is the set of known searchers. It is safe for concurrent use.
type Searchers struct {
	mu      sync.Mutex
	entries map[string]*entry
	// graceUntil is the end of the time after a failure of the store in which entries
	// that disappear are kept as missing.
	graceUntil time.Duration
}

// MissingGracePeriod is how long a missing entry is kept while the store answers, and how long
// after a failure of the store an entry that disappears counts as missing. Entries that expired
// during an outage are written again within this time after it.
const MissingGracePeriod = 2200 * time.Millisecond

// NewSearchers returns an empty set.
func NewSearchers() *Searchers { return &Searchers{entries: make(map[string]*entry)} }

// RecordStoreFailure records that a call of the store failed, here or at another instance.
// An entry that disappears within MissingGracePeriod from now is kept as missing.
func (set *Searchers) RecordStoreFailure(now time.Duration) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.graceUntil = now + MissingGracePeriod
}

// ForgetRevisions forgets the revisions of all entries, because the store has come back from a
// copy and gives revisions out again.
func (set *Searchers) ForgetRevisions() {
	set.mu.Lock()
	defer set.mu.Unlock()
	for _, e := range set.entries {
		e.revision = 0
	}
}

// Put adds or replaces an entry and reports whether it did. A replaced entry is no longer
// missing. Put ignores an entry that has an older revision than the known one. Only the revisions
// order the entries: after a restart on a host whose time of day was set back, the start is an earlier one.
func (set *Searchers) Put(s Searcher, revision int64) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	e := set.entries[s.ID]
	if e == nil {
		set.entries[s.ID] = &entry{searcher: s, revision: revision}
		return true
	}
	if revision < e.revision {
		return false
	}
	*e = entry{searcher: s, revision: revision}
	return true
}

// RemoveOutcome is the result of Remove.
type RemoveOutcome int

// Outcomes of Remove.
const (
	// IgnoredAsOlder: the known entry is newer than the removal and stays.
	IgnoredAsOlder RemoveOutcome = iota
	// MarkedMissing: the entry may have expired during an outage of the store. It is kept
	// until it is put again or Expire removes it.
	MarkedMissing
	// Removed: the searcher is no longer in the set.
	Removed
)

// Remove handles an entry that was deleted from the store at the given revision, or that
// can't be decoded. It ignores a removal that is older than the known entry. A revision of
// zero means that the removal is never older. Within the grace period after a failure of the
// store the entry is kept as missing. A searcher that is draining is always removed at once,
// since its entry would not be written again.
func (set *Searchers) Remove(id string, revision int64, now time.Duration) RemoveOutcome {
	set.mu.Lock()
	defer set.mu.Unlock()
	e := set.entries[id]
	if e == nil {
		return Removed
	}
	if revision != 0 && revision < e.revision {
		return IgnoredAsOlder
	}
	if now < set.graceUntil && !e.searcher.Draining {
		if !e.missing {
			e.missing, e.missingSince = true, now
		}
		return MarkedMissing
	}
	delete(set.entries, id)
	return Removed
}

// HoldMissing restarts the time for which missing entries are kept. It is to be called while the
// store is known not to answer, since no searcher can write its entry again then.
func (set *Searchers) HoldMissing(now time.Duration) {
	set.mu.Lock()
	defer set.mu.Unlock()
	for _, e := range set.entries {
		if e.missing {
			e.missingSince = now
		}
	}
}

// Expire removes the entries that have been missing for at least MissingGracePeriod, and
// returns their IDs.
func (set *Searchers) Expire(now time.Duration) []string {
	set.mu.Lock()
	defer set.mu.Unlock()
	var expired []string
	for id, e := range set.entries {
		if e.missing && now-e.missingSince >= MissingGracePeriod {
			delete(set.entries, id)
			expired = append(expired, id)
		}
	}
	return expired
}

// Len returns the number of searchers, including those whose entries are missing.
func (set *Searchers) Len() int {
	set.mu.Lock()
	defer set.mu.Unlock()
	return len(set.entries)
}
