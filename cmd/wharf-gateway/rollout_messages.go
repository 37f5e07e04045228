package main

import (
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/wisteriawharf/wisteriawharf/datagram"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/rollout"
)

// Kinds of messages about roll-outs.
const (
	// countsMessage holds the counts of an instance, for the leader of its failure domain.
	countsMessage = "counts"
	// sumsMessage holds the sums of a failure domain, for the leaders of the others.
	sumsMessage = "sums"
	// contactMessage is the answer of a leader to counts.
	contactMessage = "contact"
	// badMessage says that new versions are bad.
	badMessage = "bad"
)

// rolloutMessage is a message between instances about roll-outs.
type rolloutMessage struct {
	Kind   string `json:"k"`
	Sender string `json:"n"`
	// Start is when the sender started, as a Unix time in milliseconds. Its counts begin at zero with each
	// start.
	Start  int64  `json:"s,omitempty"`
	Domain string `json:"d,omitempty"`
	// AskedAt is the time on the sender's boot clock, in microseconds, at which counts were sent. The
	// answer repeats it.
	AskedAt int64 `json:"q,omitempty"`
	// Writes says that the leader that sends sums reaches the store.
	Writes bool `json:"w,omitempty"`
	// Epoch and Revision are the place up to which the leader knows the orders.
	Epoch    int64             `json:"e,omitempty"`
	Revision int64             `json:"r,omitempty"`
	Orders   []json.RawMessage `json:"o,omitempty"`
}

// orderMessage is what a message says of one order.
type orderMessage struct {
	Service string `json:"s"`
	Created int64  `json:"c"`
	Target  string `json:"t"`
	// Counts holds the fields of rollout.Counts by route, in their order.
	Counts      map[uint32][6]int64 `json:"n,omitempty"`
	Unconfirmed int                 `json:"u,omitempty"`
	RunningOld  int                 `json:"o,omitempty"`
	// ElapsedMs is the age of the order, zero if the sender did not see it begin.
	ElapsedMs int64  `json:"a,omitempty"`
	Bad       string `json:"b,omitempty"`
}

func newOrderMessage(k rollout.Key) orderMessage {
	return orderMessage{Service: k.Service, Created: k.Created, Target: k.Target}
}

func (m orderMessage) key() rollout.Key {
	return rollout.Key{Service: m.Service, Created: m.Created, Target: m.Target}
}

func (m orderMessage) withReport(r rollout.Report) orderMessage {
	m.Counts = make(map[uint32][6]int64, len(r.Tally))
	for route, c := range r.Tally {
		m.Counts[route] = [6]int64{c.Requests, c.Sent, c.OldReplies, c.OldBad, c.NewReplies, c.NewBad}
	}
	m.Unconfirmed, m.RunningOld = r.Unconfirmed, r.RunningOld
	return m
}

func (m orderMessage) report() rollout.Report {
	r := rollout.Report{Tally: make(rollout.Tally, len(m.Counts)), Unconfirmed: m.Unconfirmed, RunningOld: m.RunningOld}
	for route, c := range m.Counts {
		r.Tally[route%rollout.MaxRoutes] = rollout.Counts{Requests: c[0], Sent: c[1], OldReplies: c[2], OldBad: c[3], NewReplies: c[4], NewBad: c[5]}
	}
	return r
}

// maxOrdersBytes is the size of the orders in one message. The rest of a datagram is for the other
// fields.
const maxOrdersBytes = datagram.MaxBytes - 300

// send sends a message about orders to instances, in several datagrams if it is large. Without
// orders it sends one.
func (r *rollouts) send(to []netip.Addr, m rolloutMessage, orders []orderMessage) {
	m.Sender, m.Start, m.Domain = r.s.self.Name, r.s.self.StartUnixMs, r.s.self.FailureDomain
	size := 0
	flush := func() {
		for _, address := range to {
			r.s.datagrams.Send(address, datagram.Rollout, m)
		}
		m.Orders, size = nil, 0
	}
	for _, o := range orders {
		text, err := json.Marshal(o)
		if err != nil || len(text) > maxOrdersBytes {
			r.s.log.Error("counts of a roll-out can't be sent", "service", o.Service, "bytes", len(text), "error", err)
			continue
		}
		if size+len(text)+1 > maxOrdersBytes {
			flush()
		}
		m.Orders = append(m.Orders, text)
		size += len(text) + 1
	}
	if len(m.Orders) > 0 || len(orders) == 0 {
		flush()
	}
}

// addressesOf returns the IP addresses of instances other than this one.
func (r *rollouts) addressesOf(instances []fleet.Instance) []netip.Addr {
	var all []netip.Addr
	for _, i := range instances {
		if i.Name == r.s.self.Name {
			continue
		}
		host, _, err := net.SplitHostPort(i.InternalAddress)
		if err != nil {
			continue // the entry is checked when it is decoded
		}
		if address, err := netip.ParseAddr(host); err == nil {
			all = append(all, address)
		}
	}
	return all
}

// receive handles a message of another instance.
func (r *rollouts) receive(from netip.Addr, content []byte) {
	var m rolloutMessage
	if err := json.Unmarshal(content, &m); err != nil {
		r.s.log.Warn("invalid message about roll-outs", "from", from.String(), "error", err.Error())
		return
	}
	now := r.s.clock.Boottime()
	orders := make([]orderMessage, 0, len(m.Orders))
	for _, text := range m.Orders {
		var o orderMessage
		if err := json.Unmarshal(text, &o); err != nil {
			r.s.log.Warn("invalid message about roll-outs", "from", from.String(), "error", err.Error())
			return
		}
		orders = append(orders, o)
	}
	switch m.Kind {
	case contactMessage:
		r.receiveContact(m, now)
	case countsMessage:
		r.receiveReports(m, orders, from, now)
		if r.knowsOrders() {
			p := r.position()
			r.send([]netip.Addr{from}, rolloutMessage{Kind: contactMessage, AskedAt: m.AskedAt, Epoch: p.Epoch, Revision: p.Revision}, nil)
		}
	case sumsMessage:
		r.receiveReports(m, orders, from, now)
	case badMessage:
		r.receiveBad(orders)
	}
}

// receiveContact records that the orders known here were up to date when the question was sent, unless the
// leader that answers knows later ones.
func (r *rollouts) receiveContact(m rolloutMessage, now time.Duration) {
	asked := time.Duration(m.AskedAt) * time.Microsecond
	if asked > now || r.position().Before(mirror.Position{Epoch: m.Epoch, Revision: m.Revision}) {
		return
	}
	r.s.dispatch.SetRolloutContact(asked)
}
