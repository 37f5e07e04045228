// Package control holds the control state that every process keeps: settings,
// domain records, rosters and orders, with the rules by which newer state
// replaces older state.
package control

import (
	"slices"
	"time"
)

// Record is the platform's record of one failure domain. It is changed only by
// conditional updates of the platform's object.
type Record struct {
	// Epoch rises with each change of the members.
	Epoch uint64 `json:"epoch"`
	// Coordinator is the member that renews the leases of all.
	Coordinator string     `json:"coordinator"`
	Members     []Member   `json:"members"`
	Departed    []Departed `json:"departed,omitempty"`
	// Confirmers are the processes that may confirm the epoch to a member whose
	// lease has expired.
	Confirmers []string `json:"confirmers"`
	// Former are the sets of confirmers of earlier epochs that some member may
	// still hold as its newest, and whose confirmations may therefore still count.
	Former [][]string `json:"former,omitempty"`
	// Addresses are the peer addresses of the confirmers of all epochs and of the
	// departed members. A later process at the same address shows that the one
	// named here has ended, although nobody is left that knew it.
	Addresses map[string]string `json:"addresses,omitempty"`
	// Renewal rises with each renewal, so that a renewal is a change.
	Renewal uint64 `json:"renewal"`
	// Change rises with each write that does more than renew leases. Renewals
	// alone need not reach other processes.
	Change uint64 `json:"change"`
}

// Member is one broker incarnation of a failure domain.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// GrantedNs is the member's own boot time from which its lease counts.
	GrantedNs int64 `json:"granted_ns"`
	// Joined is the epoch that added the member. It tells which members may
	// have owned a searcher before this one.
	Joined uint64 `json:"joined"`
	// Known is the newest epoch that the member has reported to know.
	Known uint64 `json:"known"`
	// Domain is the failure domain of a member that adopted the record's
	// searchers; empty for a broker of the record's own domain.
	Domain string `json:"domain,omitempty"`
}

// Adopter reports whether the member is a broker of another failure domain.
func (m Member) Adopter() bool { return m.Domain != "" }

// Departed is a member that was removed without having released its
// searchers. It stays in the record until it can hold no dispatch right.
type Departed struct {
	ID string `json:"id"`
	// Epoch is the one that removed the member, Joined the one that added it.
	Epoch  uint64 `json:"epoch"`
	Joined uint64 `json:"joined"`
	// Domain is as in Member.
	Domain string `json:"domain,omitempty"`
	// Confirmers are the sets of confirmers of all epochs that the member may
	// know. It may hold a right as long as any one of the sets can give it one.
	Confirmers [][]string `json:"confirmers"`
	Acked      []string   `json:"acked,omitempty"`
}

// Asked returns all processes that may confirm an epoch to the member, and the
// member itself, sorted.
func (d *Departed) Asked() []string {
	ids := []string{d.ID}
	for _, set := range d.Confirmers {
		ids = append(ids, set...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// Awaited returns the identifiers of the processes that have not acknowledged
// the removal of a departed member, sorted.
func (r *Record) Awaited() []string {
	var ids []string
	for _, d := range r.Departed {
		for _, id := range d.Asked() {
			if !slices.Contains(d.Acked, id) {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// Home returns the members that are brokers of the record's own domain. Over all
// records each broker is named once, also if it adopted searchers.
func (r *Record) Home() []Member {
	return slices.DeleteFunc(slices.Clone(r.Members), Member.Adopter)
}

// Adopted reports whether only brokers of other failure domains are members.
func (r *Record) Adopted() bool {
	return len(r.Members) > 0 && len(r.Home()) == 0
}

// Member returns the member with the given identifier.
func (r *Record) Member(id string) (Member, bool) {
	for _, m := range r.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// InstanceState is how a process takes part in its failure domain.
type InstanceState string

// A starting instance does not serve yet. A suspected one did not answer
// heartbeats or indirect probes. Rosters list no instance as starting.
const (
	Starting  InstanceState = "starting"
	Live      InstanceState = "live"
	Leaving   InstanceState = "leaving"
	Suspected InstanceState = "suspected"
)

// Roster lists the processes of one failure domain as its coordinator sees
// them.
type Roster struct {
	Coordinator string     `json:"coordinator"`
	Instances   []Instance `json:"instances"`
}

// Role is the daemon that an instance runs.
type Role string

// Roles of daemons.
const (
	RoleEntry  Role = "entry"
	RoleBroker Role = "broker"
)

// Instance is one process of a roster.
type Instance struct {
	ID              string        `json:"id"`
	Role            Role          `json:"role"`
	FailureDomain   string        `json:"failure_domain"`
	CallerAddress   string        `json:"caller_address,omitempty"`
	PeerAddress     string        `json:"peer_address"`
	OperatorAddress string        `json:"operator_address,omitempty"`
	State           InstanceState `json:"state"`
}

// OrderKind is what an order is about.
type OrderKind string

// Orders take a failure domain or one upstream out of service or back. One about
// a process states that it has ended, which nothing takes back.
const (
	OrderDomain   OrderKind = "domain"
	OrderUpstream OrderKind = "upstream"
	OrderProcess  OrderKind = "process"
)

// Order is an operator's order. It is recorded on the platform, or, while that
// is not reachable, held by the instances until it is recorded.
type Order struct {
	Kind     OrderKind `json:"kind"`
	Name     string    `json:"name"`
	Out      bool      `json:"out"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	Time     time.Time `json:"time"`
	ChangeID string    `json:"change_id"`
	// Supersedes names the direct orders that were known where this one was
	// given directly.
	Supersedes []string `json:"supersedes,omitempty"`
}

// RecordedOrder is the platform's object of one failure domain or upstream:
// the order in force and those before it, newest first.
type RecordedOrder struct {
	Sequence uint64  `json:"sequence"`
	Order    Order   `json:"order"`
	History  []Order `json:"history,omitempty"`
}

// Holds reports whether the order with the given change identifier is in force
// or in the history.
func (r *RecordedOrder) Holds(changeID string) bool {
	if r.Order.ChangeID == changeID {
		return true
	}
	for _, o := range r.History {
		if o.ChangeID == changeID {
			return true
		}
	}
	return false
}
