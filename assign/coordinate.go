package assign

import (
	"slices"
	"strings"

	"github.com/wisteriawharf/wisteriawharf/control"
)

// confirmerCount is how many confirmers a record has, if the domain has fewer
// members and that many brokers exist.
const confirmerCount = 5

// Heard is the last heartbeat that a coordinator received from a broker.
type Heard struct {
	ID      string
	Address string
	// GrantedNs is the broker's own boot time when it sent the heartbeat.
	GrantedNs int64
	// Known is the newest epoch that the broker knows.
	Known uint64
}

// Change is what one write does to a record.
type Change struct {
	// Self writes the record and is its coordinator from then on, unless it
	// leaves.
	Self string
	// Heard are brokers of the domain with heartbeats since the last write.
	// Those that are no members join, unless they are still departed.
	Heard []Heard
	// Lost are members that were suspected for long enough to be removed.
	Lost []string
	// Left are members that hold no searcher any more and dispatch nothing.
	Left []string
	// Acked is the newest epoch that each confirmer acknowledged.
	Acked map[string]uint64
	// Fenced are departed members that can hold no dispatch right any more.
	Fenced []string
	// Others are brokers of other failure domains.
	Others []string
}

// Next returns the record that follows previous by one write. The zero Record
// precedes the first one.
func Next(domain string, previous control.Record, c Change) control.Record {
	next := previous
	next.Renewal++
	next.Members = slices.Clone(previous.Members)
	next.Departed = cloneDeparted(previous.Departed)
	changed := remove(&next, previous, c)
	prune(&next, c)
	changed = renewAndJoin(&next, previous, c) || changed
	if !slices.Contains(c.Left, c.Self) {
		next.Coordinator = c.Self
	} else if previous.Coordinator == c.Self {
		next.Coordinator = firstMember(next.Members)
	}
	confirmers := chooseConfirmers(domain, next, c.Others)
	if changed || !slices.Equal(confirmers, previous.Confirmers) {
		next.Epoch++
		next.Former = union(previous.Former, previous.Confirmers)
		next.Common = confirmers
		if previous.Epoch > 0 {
			next.Common = intersection(previous.Common, confirmers)
		}
		next.Confirmers = confirmers
	} else if allKnow(next.Members, next.Epoch) {
		next.Former, next.Common = nil, next.Confirmers
	}
	return next
}

func cloneDeparted(departed []control.Departed) []control.Departed {
	cloned := slices.Clone(departed)
	for i := range cloned {
		cloned[i].Acked = slices.Clone(cloned[i].Acked)
	}
	return cloned
}

// remove takes lost and leaving members out. A lost one may hold rights that
// any confirmer it still knows of can extend, so those have to acknowledge.
func remove(next *control.Record, previous control.Record, c Change) bool {
	before := len(next.Members)
	for _, m := range previous.Members {
		if m.ID == c.Self || !slices.Contains(c.Lost, m.ID) || slices.Contains(c.Left, m.ID) {
			continue
		}
		next.Departed = append(next.Departed, control.Departed{
			ID:         m.ID,
			Epoch:      previous.Epoch + 1,
			Joined:     m.Joined,
			Confirmers: without(union(previous.Confirmers, previous.Former), m.ID),
			Common:     without(previous.Common, m.ID),
		})
	}
	next.Members = slices.DeleteFunc(next.Members, func(m control.Member) bool {
		return slices.Contains(c.Left, m.ID) || m.ID != c.Self && slices.Contains(c.Lost, m.ID)
	})
	return len(next.Members) != before
}

// prune notes acknowledgements and drops departed members that hold no right.
func prune(next *control.Record, c Change) {
	for i := range next.Departed {
		d := &next.Departed[i]
		for _, id := range append(slices.Clone(d.Confirmers), d.ID) {
			if c.Acked[id] >= d.Epoch && !slices.Contains(d.Acked, id) {
				d.Acked = append(d.Acked, id)
			}
		}
	}
	next.Departed = slices.DeleteFunc(next.Departed, func(d control.Departed) bool {
		return slices.Contains(c.Fenced, d.ID)
	})
}

// renewAndJoin grants leases from the times in the heartbeats.
func renewAndJoin(next *control.Record, previous control.Record, c Change) bool {
	joined := false
	for _, h := range c.Heard {
		if slices.Contains(c.Left, h.ID) || h.ID != c.Self && slices.Contains(c.Lost, h.ID) {
			continue
		}
		i := slices.IndexFunc(next.Members, func(m control.Member) bool { return m.ID == h.ID })
		if i >= 0 {
			m := &next.Members[i]
			m.GrantedNs = max(m.GrantedNs, h.GrantedNs)
			m.Known = max(m.Known, h.Known)
			continue
		}
		if slices.ContainsFunc(next.Departed, func(d control.Departed) bool { return d.ID == h.ID }) {
			continue
		}
		next.Members = append(next.Members, control.Member{
			ID: h.ID, Address: h.Address, GrantedNs: h.GrantedNs, Joined: previous.Epoch + 1, Known: h.Known,
		})
		joined = true
	}
	slices.SortFunc(next.Members, func(a, b control.Member) int { return strings.Compare(a.ID, b.ID) })
	return joined
}

// chooseConfirmers returns the members, and brokers of other domains in
// rendezvous order up to confirmerCount.
func chooseConfirmers(domain string, r control.Record, others []string) []string {
	var chosen []string
	for _, m := range r.Members {
		chosen = append(chosen, m.ID)
	}
	for _, id := range Rank(others, domain) {
		if len(chosen) >= confirmerCount {
			break
		}
		chosen = append(chosen, id)
	}
	slices.Sort(chosen)
	return slices.Compact(chosen)
}

func allKnow(members []control.Member, epoch uint64) bool {
	return !slices.ContainsFunc(members, func(m control.Member) bool { return m.Known < epoch })
}

func firstMember(members []control.Member) string {
	if len(members) == 0 {
		return ""
	}
	return members[0].ID
}

func union(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}

func intersection(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(id string) bool { return !slices.Contains(b, id) })
}

func without(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
}
