package member

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
)

// renewal is the newest renewal seen of a domain's record and when it was seen.
type renewal struct {
	count uint64
	at    time.Duration
}

// membershipIn returns the membership in a domain's record; nil if this process
// never took part in it.
func (m *Member) membershipIn(domain string) *membership {
	if domain == m.home.domain {
		return m.home
	}
	m.adoptionsMu.Lock()
	defer m.adoptionsMu.Unlock()
	return m.adoptions[domain]
}

// memberships returns all memberships.
func (m *Member) memberships() []*membership {
	m.adoptionsMu.Lock()
	defer m.adoptionsMu.Unlock()
	return append([]*membership{m.home}, slices.Collect(maps.Values(m.adoptions))...)
}

// begin returns the membership in another domain's record, and starts its
// duties the first time.
func (m *Member) begin(domain string) *membership {
	if seat := m.membershipIn(domain); seat != nil {
		return seat
	}
	seat := newMembership(m, domain)
	seat.observeRecord()
	m.adoptionsMu.Lock()
	m.adoptions[domain] = seat
	m.adoptionsMu.Unlock()
	m.follow(seat)
	return seat
}

// adopt takes part in the records of domains that this domain adopts. The
// coordinator begins an adoption; the other brokers follow it by heartbeats.
func (m *Member) adopt(ctx context.Context) {
	view := m.config.State.View()
	m.followRenewals(view)
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	if leaving {
		return
	}
	leads := m.home.isCoordinating() && m.right() == assign.RightLeased
	for _, domain := range slices.Sorted(maps.Keys(m.renewals)) {
		record := view.Records[domain]
		switch {
		case record != nil && m.home.adopts(record):
			m.begin(domain)
		case leads && m.isAdopter(view, domain):
			m.begin(domain).take(ctx)
		}
	}
}

// adopts reports whether the brokers of this membership's domain adopted record.
func (m *membership) adopts(record *control.Record) bool {
	return record.Adopted() &&
		slices.ContainsFunc(record.Members, func(o control.Member) bool { return o.Domain == m.config.Self.FailureDomain })
}

// followRenewals notes when the records of other domains were last renewed. A
// domain with searchers but no record is followed from when it was first seen,
// so that a deployment that starts does not move searchers. No time counts while
// the platform is not reachable, because nobody can renew then.
func (m *Member) followRenewals(view *control.View) {
	now := m.config.Clock.Boottime()
	reachable := m.contact.reachable() && m.contact.open(now)
	seen := func(domain string, count uint64) {
		known, ok := m.renewals[domain]
		if domain != m.home.domain && (!ok || !reachable || known.count != count) {
			m.renewals[domain] = renewal{count, now}
		}
	}
	if view.Settings != nil {
		for _, placement := range view.Settings.Searchers {
			if view.Records[placement.FailureDomain] == nil {
				seen(placement.FailureDomain, 0)
			}
		}
	}
	for domain, record := range view.Records {
		seen(domain, record.Renewal)
	}
}

// lost reports whether a domain's record was not renewed for a lease and the
// time to a removal.
func (m *Member) lost(domain string) bool {
	return m.config.Clock.Boottime() >= m.renewals[domain].at+m.config.Timing.Lease+m.config.Timing.Removal
}

// isAdopter reports whether the domain is lost and this process's domain is the
// first in rendezvous order that is not. Domains that operators took out of
// service come last, because they may be about to stop; the searchers of a lost
// one get no work, so they need no owner.
func (m *Member) isAdopter(view *control.View, domain string) bool {
	out := func(name string) bool { return view.Out(control.OrderDomain, name) }
	if !m.lost(domain) || out(domain) {
		return false
	}
	alive := []string{m.home.domain}
	for name, record := range view.Records {
		if name != m.home.domain && len(record.Members) > 0 && !record.Adopted() && !m.lost(name) {
			alive = append(alive, name)
		}
	}
	ranked := assign.Rank(alive, domain)
	first := max(0, slices.IndexFunc(ranked, func(name string) bool { return !out(name) }))
	return ranked[first] == m.home.domain
}

// take joins the record of a lost domain and removes its members. What they may
// still use is for their fences to decide, so a member that is alive but was
// not seen loses nothing that a successor gets too early.
func (m *membership) take(ctx context.Context) {
	known, _ := m.record()
	err := m.readRecord(ctx)
	if known == nil && errors.Is(err, objectstore.ErrNotFound) {
		m.bootstrap(ctx)
		return
	}
	record, version := m.record()
	if err != nil || known == nil || record.Renewal != known.Renewal {
		return
	}
	change := m.change(record)
	for _, member := range record.Members {
		change.Lost = append(change.Lost, member.ID)
	}
	err = m.write(ctx, *record, version, change)
	m.metrics.writes.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		m.config.Log.Warn("lost domain not adopted", "domain", m.domain, "error", err)
		_ = m.readRecord(ctx)
		return
	}
	m.config.Log.Warn("lost domain adopted", "domain", m.domain, "lost", change.Lost)
}

// takesPart reports whether this process sends heartbeats to the record's
// coordinator: in another domain only as a member or to become one, and after it
// has drained until the record names it no more.
func (m *membership) takesPart(record *control.Record) bool {
	if !m.adopted() {
		return true
	}
	_, member := record.Member(m.config.Self.ID)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || m.leaving {
		return member && m.gone
	}
	return member || m.adopts(record)
}

// returnHome leaves the record of another domain once a broker of that domain
// has joined it and has accepted every searcher.
func (m *membership) returnHome(ctx context.Context) {
	record, _ := m.record()
	if record == nil {
		return
	}
	_, member := record.Member(m.config.Self.ID)
	m.mu.Lock()
	handed := m.settled == settlement{record.Epoch, m.config.State.View().Revision}
	ready := member && !m.leaving && (m.gone || handed && !record.Adopted())
	gone := m.gone
	m.mu.Unlock()
	if !ready {
		return
	}
	if !gone {
		m.handAllOver(ctx)
	}
	if left, err := m.leaveRecord(ctx); left {
		m.config.Log.Info("left the adopted record", "domain", m.domain)
	} else {
		m.config.Log.Debug("adopted record not left", "domain", m.domain, "error", err)
	}
}

// mayAdoptAgain forgets an adoption that ended. The caller holds the lock.
func (m *membership) mayAdoptAgain(record *control.Record) {
	if _, member := record.Member(m.config.Self.ID); member || !m.adopted() || m.leaving {
		return
	}
	m.gone, m.left, m.settled = false, false, settlement{}
	clear(m.given)
	clear(m.used)
	clear(m.handed)
}
