package assign

import (
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/control"
)

// Takeover decides from which moment a member may use the searchers that it
// owns by the newest record, considering who may have owned them before. All
// times are the member's own boot time.
type Takeover struct {
	id     string
	terms  LeaseTiming
	record *control.Record
	// firstRecord is the first record seen of the present membership. Owners from
	// before the membership are among its members and departed members.
	firstRecord *control.Record
	joined      uint64
	fences      map[string]*fence
	// released holds the epoch at which a member released a searcher.
	released map[string]map[string]uint64
	// ownerships caches what does not depend on time, because Share is asked before
	// each dispatch.
	ownerships map[string]ownership
}

// ownership says whether the member owns a searcher and who may still use it.
type ownership struct {
	owned        bool
	predecessors []string
}

// fence follows one departed member.
type fence struct {
	entry     control.Departed
	firstSeen time.Duration
	ackedAt   map[string]time.Duration
}

// NewTakeover returns the takeover state of a member that knows no record.
func NewTakeover(id string, terms LeaseTiming) *Takeover {
	return &Takeover{
		id:         id,
		terms:      terms,
		fences:     make(map[string]*fence),
		released:   make(map[string]map[string]uint64),
		ownerships: make(map[string]ownership),
	}
}

// Observe takes a record that the platform holds or held. A record older than
// the known one is ignored.
func (t *Takeover) Observe(record *control.Record, now time.Duration) {
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
func (t *Takeover) Epoch() uint64 {
	if t.record == nil {
		return 0
	}
	return t.record.Epoch
}

func (t *Takeover) observeDeparted(now time.Duration) {
	fences := make(map[string]*fence, len(t.record.Departed))
	for _, d := range t.record.Departed {
		f := t.fences[d.ID]
		if f == nil || f.entry.Epoch != d.Epoch {
			f = &fence{firstSeen: now, ackedAt: make(map[string]time.Duration)}
		}
		f.entry = d
		for _, id := range d.Acked {
			if _, ok := f.ackedAt[id]; !ok {
				f.ackedAt[id] = now
			}
		}
		fences[d.ID] = f
	}
	t.fences = fences
}

// dropStaleReleases drops releases by members that the record no longer names; a
// member that is in neither list holds nothing.
func (t *Takeover) dropStaleReleases() {
	for id := range t.released {
		if _, ok := t.record.Member(id); !ok && t.fences[id] == nil {
			delete(t.released, id)
		}
	}
}

// ObserveRelease notes that a member released a searcher when it knew epoch.
func (t *Takeover) ObserveRelease(from string, epoch uint64, searcher string) {
	bySearcher := t.released[from]
	if bySearcher == nil {
		bySearcher = make(map[string]uint64)
		t.released[from] = bySearcher
	}
	delete(t.ownerships, searcher)
	bySearcher[searcher] = max(bySearcher[searcher], epoch)
}

// Share returns the part of the searcher's limits that earlier owners leave.
func (t *Takeover) Share(searcher string, now time.Duration) Share {
	if t.firstRecord == nil {
		return ShareNone
	}
	p, ok := t.ownerships[searcher]
	if !ok {
		owner, _ := Owner(t.record.Members, searcher)
		p = ownership{owned: owner.ID == t.id, predecessors: t.predecessors(searcher)}
		t.ownerships[searcher] = p
	}
	if !p.owned {
		return ShareNone
	}
	reserveOnly := 0
	for _, id := range p.predecessors {
		f := t.fences[id]
		if f == nil {
			return ShareNone
		}
		switch f.successorShare(t.terms, now) {
		case ShareNone:
			return ShareNone
		case ShareReserve:
			reserveOnly++
		}
	}
	switch reserveOnly {
	case 0:
		return ShareFull
	case 1:
		return ShareReserve
	default:
		// One may use all but the reserve and the other the reserve.
		return ShareNone
	}
}

// predecessors returns the members and departed members that may still use the
// searcher.
func (t *Takeover) predecessors(searcher string) []string {
	var found []string
	self, _ := t.record.Member(t.id)
	selfPrecedence := precedenceOf(t.id, self.Domain, searcher)
	for id, f := range t.fences {
		// A departed member of higher precedence owned the searcher at any time
		// of its membership.
		if id != t.id && !precedenceOf(id, f.entry.Domain, searcher).less(selfPrecedence) && t.released[id][searcher] < max(f.entry.Joined, 1) {
			found = append(found, id)
		}
	}
	for _, o := range formerOwners(t.firstRecord, self, searcher) {
		if t.released[o.ID][searcher] >= t.joined {
			continue
		}
		// One that left or was fenced, and joined again later, has never owned the
		// searcher since.
		m, isMember := t.record.Member(o.ID)
		f := t.fences[o.ID]
		if isMember && m.Joined == o.Joined || f != nil && f.entry.Joined == o.Joined {
			found = append(found, o.ID)
		}
	}
	return found
}

// formerOwners returns the members and departed members of record that may have
// owned the searcher before self joined and have a lower precedence. A member
// was never the owner if one of higher precedence has been there for as long.
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

func outranked(record *control.Record, m control.Member, searcher string) bool {
	own := precedenceOf(m.ID, m.Domain, searcher)
	return slices.ContainsFunc(record.Members, func(o control.Member) bool {
		return o.Joined <= m.Joined && own.less(precedenceOf(o.ID, o.Domain, searcher))
	})
}

// ReleaseTarget returns the member to which id has to release the searcher by the
// record: its owner, if that joined later than id and may wait for id.
func ReleaseTarget(record *control.Record, id, searcher string) (control.Member, bool) {
	self, ok := record.Member(id)
	if !ok {
		return control.Member{}, false
	}
	owner, _ := Owner(record.Members, searcher)
	return owner, self.Joined < owner.Joined && !outranked(record, self, searcher)
}

// successorShare returns what the departed member leaves to its successor.
func (f *fence) successorShare(terms LeaseTiming, now time.Duration) Share {
	delay := terms.TakeoverDelay()
	if now < f.firstSeen+delay {
		return ShareNone
	}
	delayElapsed := func(id string) bool {
		at, ok := f.ackedAt[id]
		return ok && now >= at+delay
	}
	// A departed member that knows of its removal holds no right.
	if delayElapsed(f.entry.ID) {
		return ShareFull
	}
	share := ShareFull
	for _, set := range f.entry.Confirmers {
		// A confirmer that acknowledged confirms no older epoch, so it does not
		// help the member to a majority, nor to a confirmation by all.
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

// Fenced returns the departed members that can hold no dispatch right any more.
func (t *Takeover) Fenced(now time.Duration) []string {
	var fenced []string
	for id, f := range t.fences {
		if f.successorShare(t.terms, now) == ShareFull {
			fenced = append(fenced, id)
		}
	}
	slices.Sort(fenced)
	return fenced
}
