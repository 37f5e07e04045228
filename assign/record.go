package assign

import (
	"cmp"
	"reflect"
	"slices"
	"strings"

	"github.com/wisteriawharf/wisteriawharf/control"
)

const (
	// maxConfirmers is how many confirmers a record has, if that many brokers
	// exist.
	maxConfirmers = 5
	// maxMemberConfirmers is how many of them are members. It is less than a
	// majority, so that the loss of all members leaves a majority that can prove
	// that none of them holds a right.
	maxMemberConfirmers = 2
)

// BrokerHeartbeat is the last heartbeat that a coordinator received from a broker.
type BrokerHeartbeat struct {
	ID      string
	Address string
	// SentNs is the broker's own boot time when it sent the heartbeat.
	SentNs int64
	// KnownEpoch is the newest epoch that the broker knows.
	KnownEpoch uint64
	// Domain is the broker's failure domain if that is not the record's.
	Domain string
}

// RecordUpdate is what one write does to a record.
type RecordUpdate struct {
	// Writer writes the record and is its coordinator from then on, unless it
	// leaves. One that is no member hands the role to a member it heard from.
	Writer string
	// Heartbeats are brokers with heartbeats since the last write. Those that are no
	// members join, unless they are still departed. A broker of another domain
	// joins only while no broker of the record's domain is a member.
	Heartbeats []BrokerHeartbeat
	// Lost are members that were suspected for long enough to be removed. They
	// stay while Self is departed, because the record would be left with members
	// that nobody can renew, or with none.
	Lost []string
	// Left are members that hold no searcher any more and dispatch nothing.
	Left []string
	// Acked is the newest epoch that each confirmer acknowledged.
	Acked map[string]uint64
	// Fenced are departed members that can hold no dispatch right any more.
	Fenced []string
	// OtherDomainBrokers are brokers of other failure domains.
	OtherDomainBrokers []string
	// Addresses are the peer addresses of Others.
	Addresses map[string]string
}

// NextRecord returns the record that follows previous by one write. The zero Record
// precedes the first one.
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

// writerStaysDeparted reports whether the writer is a departed member that this write does
// not let join again.
func writerStaysDeparted(previous control.Record, update RecordUpdate) bool {
	return !slices.Contains(update.Fenced, update.Writer) &&
		slices.ContainsFunc(previous.Departed, func(d control.Departed) bool { return d.ID == update.Writer })
}

// chooseCoordinator returns the writer if it is a member or heard from none.
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

// possibleConfirmerSets returns the sets of confirmers of all epochs that a member may
// hold as its newest.
func possibleConfirmerSets(r control.Record) [][]string {
	sets := slices.Clone(r.Former)
	if !slices.ContainsFunc(sets, func(s []string) bool { return slices.Equal(s, r.Confirmers) }) {
		sets = append(sets, r.Confirmers)
	}
	return sets
}

// removeMembers takes lost and leaving members out. A lost one may hold rights that
// the confirmers of any epoch it knows can extend, so those have to acknowledge.
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

// updateDeparted notes acknowledgements and drops departed members that hold no right.
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

// renewAndJoin grants leases from the times in the heartbeats.
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

// chooseConfirmers returns memberConfirmers members, then brokers of other
// domains, then further members, until there are confirmerCount. Each group is
// taken in rendezvous order, so that few changes of the brokers change it.
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

// addresses returns the known addresses of all processes that may have to
// acknowledge.
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

// preferredMember returns the member that coordinates after the coordinator left,
// one of the record's own domain if there is any.
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
