package assign

import (
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/control"
)

// TakeoverTracker decides when a member may start to use the searchers that it owns
// according to the newest record, and which share of their limits. This depends on which
// brokers may have owned the searchers before. All times are times since boot by the
// member's own clock.
type TakeoverTracker struct {
	id     string
	timing LeaseTiming
	record *control.Record
	// firstRecord is the first record observed since the member last joined. All brokers
	// that may have owned searchers before that are among the record's members and
	// departed members.
	firstRecord *control.Record
	// joined is the epoch that added the member.
	joined uint64
	// fencingStates holds the state of each departed member, by identifier.
	fencingStates map[string]*fencingState
	// released holds, by member and searcher, the newest epoch that the member knew when
	// it released the searcher.
	released map[string]map[string]uint64
	// ownerships caches, by searcher, what does not depend on the time, because Share is
	// called before each dispatch.
	ownerships map[string]ownership
}

// ownership says whether the member owns a searcher, and which brokers may still use it.
type ownership struct {
	owned        bool
	predecessors []string
}

// fencingState tracks the acknowledgements from which follows what a departed member may
// still use.
type fencingState struct {
	entry control.Departed
	// firstSeen is the time at which the member was first observed as departed.
	firstSeen time.Duration
	// ackedAt holds when each acknowledgement of the removal was first observed, by the
	// identifier of the confirmer or departed member that gave it.
	ackedAt map[string]time.Duration
}

// NewTakeoverTracker returns the tracker of a member that knows no record yet.
func NewTakeoverTracker(id string, timing LeaseTiming) *TakeoverTracker {
	return &TakeoverTracker{
		id:            id,
		timing:        timing,
		fencingStates: make(map[string]*fencingState),
		released:      make(map[string]map[string]uint64),
		ownerships:    make(map[string]ownership),
	}
}

// Observe processes a version of the record, of which the member learned at the time now.
// The platform must have stored that version, but it need not be the newest. A version older
// than the known one is ignored. The tracker keeps the pointer, so the record must not be
// changed afterwards.
func (t *TakeoverTracker) Observe(record *control.Record, now time.Duration) {
	if t.record != nil && (record.Epoch < t.record.Epoch ||
		record.Epoch == t.record.Epoch && record.Renewal < t.record.Renewal) {
		return
	}
	t.record = record
	clear(t.ownerships)
	if m, ok := record.Member(t.id); !ok {
		t.firstRecord, t.joined = nil, 0
	} else if t.firstRecord == nil || m.Joined != t.joined {
		t.firstRecord, t.joined = record, m.Joined
	}
	t.observeDeparted(now)
	t.dropStaleReleases()
}

// Epoch returns the epoch of the newest record observed; zero if there is none.
func (t *TakeoverTracker) Epoch() uint64 {
	if t.record == nil {
		return 0
	}
	return t.record.Epoch
}

func (t *TakeoverTracker) observeDeparted(now time.Duration) {
	states := make(map[string]*fencingState, len(t.record.Departed))
	for _, d := range t.record.Departed {
		f := t.fencingStates[d.ID]
		if f == nil || f.entry.Epoch != d.Epoch {
			f = &fencingState{firstSeen: now, ackedAt: make(map[string]time.Duration)}
		}
		f.entry = d
		for _, id := range d.Acked {
			if _, ok := f.ackedAt[id]; !ok {
				f.ackedAt[id] = now
			}
		}
		states[d.ID] = f
	}
	t.fencingStates = states
}

// dropStaleReleases drops the releases by brokers that are neither members nor departed
// members of the record. Such a broker holds no searcher.
func (t *TakeoverTracker) dropStaleReleases() {
	for id := range t.released {
		if _, ok := t.record.Member(id); !ok && t.fencingStates[id] == nil {
			delete(t.released, id)
		}
	}
}

// ObserveRelease processes the release of searcher by member. epoch is the newest epoch that
// member knew when it released the searcher.
func (t *TakeoverTracker) ObserveRelease(member string, epoch uint64, searcher string) {
	bySearcher := t.released[member]
	if bySearcher == nil {
		bySearcher = make(map[string]uint64)
		t.released[member] = bySearcher
	}
	delete(t.ownerships, searcher)
	bySearcher[searcher] = max(bySearcher[searcher], epoch)
}

// Share returns the share of the searcher's limits that earlier owners leave to the member
// at the given time. It is ShareNone if the member does not own the searcher.
func (t *TakeoverTracker) Share(searcher string, now time.Duration) Share {
	if t.firstRecord == nil {
		return ShareNone
	}
	current, ok := t.ownerships[searcher]
	if !ok {
		owner, _ := Owner(t.record.Members, searcher)
		current = ownership{owned: owner.ID == t.id, predecessors: t.predecessors(searcher)}
		t.ownerships[searcher] = current
	}
	if !current.owned {
		return ShareNone
	}
	reserveOnlyCount := 0
	for _, id := range current.predecessors {
		f := t.fencingStates[id]
		if f == nil {
			return ShareNone
		}
		switch f.successorShare(t.timing, now) {
		case ShareNone:
			return ShareNone
		case ShareReserve:
			reserveOnlyCount++
		}
	}
	switch reserveOnlyCount {
	case 0:
		return ShareFull
	case 1:
		return ShareReserve
	default:
		// One predecessor may use all but the reserve, and another one the reserve.
		return ShareNone
	}
}

// predecessors returns the identifiers of the members and departed members that may still
// use the searcher.
func (t *TakeoverTracker) predecessors(searcher string) []string {
	var found []string
	self, _ := t.record.Member(t.id)
	selfPrecedence := precedenceOf(t.id, self.Domain, searcher)
	for id, f := range t.fencingStates {
		// A departed member of higher precedence may have owned the searcher at any
		// time of its membership. A missing release has epoch 0. max keeps it from
		// counting as a release if Joined is 0 too.
		if id != t.id && !precedenceOf(id, f.entry.Domain, searcher).less(selfPrecedence) && t.released[id][searcher] < max(f.entry.Joined, 1) {
			found = append(found, id)
		}
	}
	for _, o := range formerOwners(t.firstRecord, self, searcher) {
		if t.released[o.ID][searcher] >= t.joined {
			continue
		}
		// A former owner that left or was fenced, and joined again later, has not owned
		// the searcher since it came back.
		m, isMember := t.record.Member(o.ID)
		f := t.fencingStates[o.ID]
		if isMember && m.Joined == o.Joined || f != nil && f.entry.Joined == o.Joined {
			found = append(found, o.ID)
		}
	}
	return found
}

// formerOwners returns the members and departed members of record that have a lower
// precedence than self and may have owned the searcher before self joined. A member is left
// out if another one of higher precedence has been a member for at least as long, because
// it then never was the owner.
func formerOwners(record *control.Record, self control.Member, searcher string) []control.Member {
	var found []control.Member
	selfPrecedence := precedenceOf(self.ID, self.Domain, searcher)
	lower := func(id, domain string) bool {
		return id != self.ID && precedenceOf(id, domain, searcher).less(selfPrecedence)
	}
	for _, m := range record.Members {
		if m.Joined < self.Joined && lower(m.ID, m.Domain) && !outranked(record, m, searcher) {
			found = append(found, m)
		}
	}
	for _, d := range record.Departed {
		if d.Joined < self.Joined && lower(d.ID, d.Domain) {
			found = append(found, control.Member{ID: d.ID, Joined: d.Joined})
		}
	}
	return found
}

// outranked reports whether record has a member that joined no later than m and has a higher
// precedence for the searcher.
func outranked(record *control.Record, m control.Member, searcher string) bool {
	own := precedenceOf(m.ID, m.Domain, searcher)
	return slices.ContainsFunc(record.Members, func(o control.Member) bool {
		return o.Joined <= m.Joined && own.less(precedenceOf(o.ID, o.Domain, searcher))
	})
}

// ReleaseTarget returns the owner of the searcher according to the record, and whether the
// member id has to release the searcher to it. The member has to if it may have owned the
// searcher before the owner joined, because the owner then waits for the release. If id is
// not a member, ReleaseTarget returns the zero Member and false.
func ReleaseTarget(record *control.Record, id, searcher string) (control.Member, bool) {
	self, ok := record.Member(id)
	if !ok {
		return control.Member{}, false
	}
	owner, _ := Owner(record.Members, searcher)
	return owner, self.Joined < owner.Joined && !outranked(record, self, searcher)
}

// successorShare returns the share of a searcher's limits that the departed member leaves to
// its successor at the given time.
func (f *fencingState) successorShare(timing LeaseTiming, now time.Duration) Share {
	delay := timing.TakeoverDelay()
	if now < f.firstSeen+delay {
		return ShareNone
	}
	// delayElapsed reports whether id acknowledged the removal at least delay ago.
	delayElapsed := func(id string) bool {
		at, ok := f.ackedAt[id]
		return ok && now >= at+delay
	}
	// A departed member that has acknowledged its own removal holds no right.
	if delayElapsed(f.entry.ID) {
		return ShareFull
	}
	share := ShareFull
	for _, set := range f.entry.Confirmers {
		// A confirmer that has acknowledged the removal confirms no older epoch. It
		// therefore counts neither towards a majority for the member nor towards a
		// confirmation by all.
		remaining := slices.DeleteFunc(slices.Clone(set), delayElapsed)
		others := len(remaining)
		if slices.Contains(remaining, f.entry.ID) {
			others--
		}
		switch {
		case others == 0 || len(remaining) < majority(len(set)):
		case len(remaining) < len(set):
			share = ShareReserve
		default:
			return ShareNone
		}
	}
	return share
}

// Fenced returns the identifiers of the departed members that can no longer hold a right to
// dispatch, sorted.
func (t *TakeoverTracker) Fenced(now time.Duration) []string {
	var fenced []string
	for id, f := range t.fencingStates {
		if f.successorShare(t.timing, now) == ShareFull {
			fenced = append(fenced, id)
		}
	}
	slices.Sort(fenced)
	return fenced
}
