package main

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/rollout"
)

// peerAddresses returns the addresses of the leaders of other failure domains that were heard lately,
// and of the candidates of the domains without one.
func (r *rollouts) peerAddresses(now time.Duration, candidates []fleet.Instance) []netip.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []netip.Addr
	heard := make(map[string]bool)
	for address, p := range r.peers {
		if now-p.at > rollout.MaxContactAge {
			delete(r.peers, address)
			continue
		}
		heard[p.domain] = heard[p.domain] || now-p.at <= rolloutRefresh
		addresses = append(addresses, address)
	}
	for _, c := range candidates {
		if heard[c.FailureDomain] {
			continue
		}
		for _, address := range r.addressesOf([]fleet.Instance{c}) {
			if !slices.Contains(addresses, address) {
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}

// report records the counts of this instance and sends those that have changed to the leader of the
// failure domain, and to the instance that would be the next one. If the store refuses the whole failure
// domain, the leaders of others are asked for contact; they get the counts as the sums of the domain.
func (r *rollouts) report(now time.Duration, current []rollout.Current, to, others []netip.Addr) {
	var orders []orderMessage
	r.mu.Lock()
	refresh := now-r.reportedAt >= rolloutRefresh
	for _, c := range current {
		counts, ok := r.s.dispatch.RolloutCounts(c.Order.Service)
		if !ok || counts.Order != c.Order.Key() {
			continue
		}
		report := rollout.Report{Tally: counts.Tally, RunningOld: counts.RunningOld}
		if !counts.Promoted {
			report.Unconfirmed = 1
		}
		r.sumsOf(counts.Order).sums.Put(instanceStart(r.s.self.Name, r.s.self.StartUnixMs), report, now)
		if len(counts.Tally) == 0 {
			continue
		}
		message := newOrderMessage(counts.Order).withReport(report)
		text := fmt.Sprint(message)
		if refresh || c.PromotedFor > 0 || r.reported[counts.Order] != text {
			r.reported[counts.Order] = text
			orders = append(orders, message)
		}
	}
	if refresh {
		r.reportedAt = now
	}
	r.mu.Unlock()
	if len(to) == 0 && r.s.outage.Failing() {
		to, orders = others, nil
	}
	if refresh || len(orders) > 0 {
		r.send(to, rolloutMessage{Kind: countsMessage, AskedAt: now.Microseconds()}, orders)
	}
}

// instanceStart returns a name for one start of an instance.
func instanceStart(name string, start int64) string { return fmt.Sprint(name, " ", start) }

// sumsOf returns the sums of an order. The caller holds the lock.
func (r *rollouts) sumsOf(k rollout.Key) *orderSums {
	if r.sums[k] == nil {
		r.sums[k] = &orderSums{sums: rollout.NewSums()}
	}
	return r.sums[k]
}

// receiveReports records the reports of an instance of the own failure domain, or of the leader of
// another one. An instance that is no leader keeps them too: it may be the next one.
func (r *rollouts) receiveReports(m rolloutMessage, orders []orderMessage, from netip.Addr, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := m.Kind == sumsMessage
	if sums == (m.Domain == r.s.self.FailureDomain) {
		return
	}
	if sums {
		r.peers[from] = peerLeader{name: m.Sender, domain: m.Domain, at: now, writes: m.Writes}
	}
	for _, o := range orders {
		if !r.isCurrent(o.key()) {
			continue
		}
		held := r.sumsOf(o.key())
		if sums {
			held.sums.PutDomain(m.Domain, instanceStart(m.Sender, m.Start), o.report(), now)
		} else {
			held.sums.Put(instanceStart(m.Sender, m.Start), o.report(), now)
		}
		if o.ElapsedMs > 0 {
			r.book.AdoptStart(o.key(), now-time.Duration(o.ElapsedMs)*time.Millisecond)
		}
	}
}

// sendSums sends the sums of the own failure domain to the leaders of the others.
func (r *rollouts) sendSums(now time.Duration, current []rollout.Current, to []netip.Addr) {
	var orders []orderMessage
	r.mu.Lock()
	for _, c := range current {
		if held := r.sums[c.Order.Key()]; held != nil {
			message := newOrderMessage(c.Order.Key()).withReport(held.sums.Own(now))
			if c.Witnessed {
				message.ElapsedMs = (now - c.Start).Milliseconds()
			}
			orders = append(orders, message)
		}
	}
	r.mu.Unlock()
	if len(orders) > 0 {
		r.send(to, rolloutMessage{Kind: sumsMessage, Writes: !r.s.outage.Failing()}, orders)
	}
}
