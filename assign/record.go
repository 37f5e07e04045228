package assign

import (
	"cmp"
	"reflect"
	"slices"
	"strings"

	"github.com/wisteriawharf/wisteriawharf/control"
)

const (
	// maxConfirmers is the number of confirmers of a record, unless there are fewer
	// candidates.
	maxConfirmers = 5
	// maxMemberConfirmers is how many members are chosen as confirmers before brokers
	// of other domains. It is less than a majority. If all members are lost, a majority
	// of the confirmers is therefore left, and its acknowledgements prove that none of
	// the lost members holds a right.
	maxMemberConfirmers = 2
)

// BrokerHeartbeat is the last heartbeat that a coordinator received from a broker.
type BrokerHeartbeat struct {
	ID      string
	Address string
	// SentNs is when the broker sent the heartbeat, in nanoseconds since boot by the
	// broker's own clock. The lease that the heartbeat renews is valid from then on.
	SentNs int64
	// KnownEpoch is the newest epoch that the broker knows.
	KnownEpoch uint64
	// Domain is the broker's failure domain, or empty if that is the record's own
	// domain.
	Domain string
}

// RecordUpdate describes one write to a record.
type RecordUpdate struct {
	// Writer is the broker that writes the record. It becomes the coordinator unless it
	// leaves. If it is not a member but has heartbeats from members, one of those becomes
	// the coordinator instead.
	Writer string
	// Heartbeats are the recent heartbeats of brokers. They renew the leases of members.
	// A broker that is not a member joins, unless it is still a departed member. A broker
	// of another domain joins only while no broker of the record's domain is a member.
	Heartbeats []BrokerHeartbeat
	// Lost are members that have been suspected for long enough to be removed. They
	// become departed members. Writer itself is never removed as lost. If Writer is a
	// departed member that Fenced does not name, nobody is removed as lost. Such a writer
	// cannot join, so the record could be left without members, or with members whose
	// leases nobody can renew.
	Lost []string
	// Left are members to remove that hold no searcher any more and no longer dispatch.
	// They do not become departed members.
	Left []string
	// Acked is the newest epoch that each confirmer or departed member has acknowledged,
	// by identifier.
	Acked map[string]uint64
	// Fenced are departed members that can no longer hold a right to dispatch. They are
	// dropped from the record's departed members and may join again.
	Fenced []string
	// OtherDomainBrokers are brokers of other failure domains that may be confirmers.
	OtherDomainBrokers []string
	// Addresses are the peer addresses of OtherDomainBrokers, by identifier.
	Addresses map[string]string
}

// NextRecord returns the record that results from applying update to previous. The first
// record of a domain follows the zero Record. previous is not changed, but the result may
// share slices with it.
func NextRecord(domain string, previous control.Record, update RecordUpdate) control.Record {
	if writerStaysDeparted(previous, update) {
		update.Lost = nil
	}
	next := previous
	next.Renewal++
	next.Members = slices.Clone(previous.Members)
	next.Departed = cloneDeparted(previous.Departed)
	changed := removeMembers(&next, previous, update)
	updateDeparted(&next, update)
	changed = renewAndJoin(&next, previous, update) || changed
	if !slices.Contains(update.Left, update.Writer) {
		next.Coordinator = chooseCoordinator(next.Members, update)
	} else if previous.Coordinator == update.Writer {
		next.Coordinator = preferredMember(next.Members)
	}
	confirmers := chooseConfirmers(domain, next, update.OtherDomainBrokers)
	if changed || !slices.Equal(confirmers, previous.Confirmers) {
		next.Epoch++
		next.Former = nil
		if previous.Epoch > 0 {
			next.Former = possibleConfirmerSets(previous)
		}
		next.Confirmers = confirmers
	} else if allKnowEpoch(next.Members, next.Epoch) {
		next.Former = nil
	}
	next.Addresses = addresses(next, previous, update)
	if next.Epoch != previous.Epoch || next.Coordinator != previous.Coordinator ||
		!reflect.DeepEqual(next.Departed, previous.Departed) || !reflect.DeepEqual(next.Former, previous.Former) {
		next.Change++
	}
	return next
}

// writerStaysDeparted reports whether the writer is a departed member that this update does
// not fence, so that it cannot join again yet.
func writerStaysDeparted(previous control.Record, update RecordUpdate) bool {
	return !slices.Contains(update.Fenced, update.Writer) &&
		slices.ContainsFunc(previous.Departed, func(d control.Departed) bool { return d.ID == update.Writer })
}

// chooseCoordinator returns the writer if it is a member or has no heartbeat from any
// member, and one of the members with heartbeats otherwise.
func chooseCoordinator(members []control.Member, update RecordUpdate) string {
	heard := slices.DeleteFunc(slices.Clone(members), func(m control.Member) bool {
		return !slices.ContainsFunc(update.Heartbeats, func(h BrokerHeartbeat) bool { return h.ID == m.ID })
	})
	if len(heard) == 0 || slices.ContainsFunc(members, func(m control.Member) bool { return m.ID == update.Writer }) {
		return update.Writer
	}
	return preferredMember(heard)
}

func cloneDeparted(departed []control.Departed) []control.Departed {
	cloned := slices.Clone(departed)
	for i := range cloned {
		cloned[i].Acked = slices.Clone(cloned[i].Acked)
	}
	return cloned
}

// possibleConfirmerSets returns the sets of confirmers of all epochs that some member may
// still know as the newest.
func possibleConfirmerSets(r control.Record) [][]string {
	sets := slices.Clone(r.Former)
	if !slices.ContainsFunc(sets, func(s []string) bool { return slices.Equal(s, r.Confirmers) }) {
		sets = append(sets, r.Confirmers)
	}
	return sets
}

// removeMembers removes the lost members, except for the writer, and the members that have
// left. It reports whether there were any. A lost member becomes a departed member, because
// it may still hold a right. The confirmers of any epoch that it may know can extend that
// right. They therefore have to acknowledge its removal.
func removeMembers(next *control.Record, previous control.Record, update RecordUpdate) bool {
	before := len(next.Members)
	for _, m := range previous.Members {
		if m.ID == update.Writer || !slices.Contains(update.Lost, m.ID) || slices.Contains(update.Left, m.ID) {
			continue
		}
		next.Departed = append(next.Departed, control.Departed{
			ID:         m.ID,
			Epoch:      previous.Epoch + 1,
			Joined:     m.Joined,
			Domain:     m.Domain,
			Confirmers: possibleConfirmerSets(previous),
		})
	}
	next.Members = slices.DeleteFunc(next.Members, func(m control.Member) bool {
		return slices.Contains(update.Left, m.ID) || m.ID != update.Writer && slices.Contains(update.Lost, m.ID)
	})
	return len(next.Members) != before
}

// updateDeparted adds new acknowledgements to the departed members and drops those that are
// fenced.
func updateDeparted(next *control.Record, update RecordUpdate) {
	for i := range next.Departed {
		d := &next.Departed[i]
		for _, id := range d.Asked() {
			if update.Acked[id] >= d.Epoch && !slices.Contains(d.Acked, id) {
				d.Acked = append(d.Acked, id)
			}
		}
	}
	next.Departed = slices.DeleteFunc(next.Departed, func(d control.Departed) bool {
		return slices.Contains(update.Fenced, d.ID)
	})
}

// renewAndJoin sets the start of each lease to the time in the member's heartbeat, and adds
// the brokers that may join. It reports whether any joined.
func renewAndJoin(next *control.Record, previous control.Record, update RecordUpdate) bool {
	joined := false
	for _, h := range update.Heartbeats {
		if slices.Contains(update.Left, h.ID) || h.ID != update.Writer && slices.Contains(update.Lost, h.ID) {
			continue
		}
		i := slices.IndexFunc(next.Members, func(m control.Member) bool { return m.ID == h.ID })
		if i >= 0 {
			m := &next.Members[i]
			m.GrantedNs = max(m.GrantedNs, h.SentNs)
			m.Known = max(m.Known, h.KnownEpoch)
			continue
		}
		if slices.ContainsFunc(next.Departed, func(d control.Departed) bool { return d.ID == h.ID }) {
			continue
		}
		if h.Domain != "" && len(next.Members) > 0 && !next.Adopted() {
			continue
		}
		next.Members = append(next.Members, control.Member{
			ID: h.ID, Address: h.Address, GrantedNs: h.SentNs, Joined: previous.Epoch + 1, Known: h.KnownEpoch, Domain: h.Domain,
		})
		joined = true
	}
	slices.SortFunc(next.Members, func(a, b control.Member) int { return strings.Compare(a.ID, b.ID) })
	return joined
}

// chooseConfirmers returns up to maxConfirmers confirmers, sorted. It takes up to
// maxMemberConfirmers members first, then brokers of other domains, then further members.
// Each group is taken in rendezvous order, so that most changes of the brokers leave the
// choice unchanged.
func chooseConfirmers(domain string, r control.Record, others []string) []string {
	var members []string
	for _, m := range r.Members {
		members = append(members, m.ID)
	}
	members = Rank(members, domain)
	leading := min(maxMemberConfirmers, len(members))
	candidates := append(slices.Clone(members[:leading]), Rank(others, domain)...)
	candidates = append(candidates, members[leading:]...)
	var chosen []string
	for _, id := range candidates {
		if len(chosen) < maxConfirmers && !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	slices.Sort(chosen)
	return chosen
}

// addresses returns the known peer addresses, by identifier, of all processes that may have
// to acknowledge the removal of a member.
func addresses(next, previous control.Record, update RecordUpdate) map[string]string {
	known := make(map[string]string)
	addKnown := func(ids ...string) {
		for _, id := range ids {
			address := cmp.Or(previous.Addresses[id], update.Addresses[id])
			for _, r := range []control.Record{previous, next} {
				if m, ok := r.Member(id); ok {
					address = m.Address
				}
			}
			if address != "" {
				known[id] = address
			}
		}
	}
	addKnown(next.Confirmers...)
	for _, set := range next.Former {
		addKnown(set...)
	}
	for _, d := range next.Departed {
		addKnown(d.Asked()...)
	}
	return known
}

func allKnowEpoch(members []control.Member, epoch uint64) bool {
	return !slices.ContainsFunc(members, func(m control.Member) bool { return m.Known < epoch })
}

// preferredMember returns the member that becomes coordinator if the writer does not: the
// first one of the record's own domain, or the first of all if there is none of the domain.
// It returns the empty string if there are no members.
func preferredMember(members []control.Member) string {
	for _, m := range members {
		if !m.Adopter() {
			return m.ID
		}
	}
	if len(members) == 0 {
		return ""
	}
	return members[0].ID
}
