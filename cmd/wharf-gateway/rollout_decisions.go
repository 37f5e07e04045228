package main

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/rollout"
)

// decide takes the steps that are due and writes them.
func (r *rollouts) decide(ctx context.Context, now time.Duration, current []rollout.Current) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := make(map[string]bool)
	for _, c := range current {
		status, changes := r.next(now, c)
		if !changes {
			continue
		}
		wanted[c.Name] = true
		r.write(ctx, now, c.Name, status, status.State == rollout.RolledBack)
	}
	for name, i := range r.invalid {
		status := rollout.Status{State: rollout.RolledBack, TargetVersion: i.order.TargetVersion, Reason: i.reason}
		wanted[name] = true
		r.write(ctx, now, name, status, false)
	}
	for name := range r.pending {
		if !wanted[name] {
			delete(r.pending, name)
		}
	}
}

// next returns the status that follows for an order, and whether it is to be written. The caller
// holds the lock.
func (r *rollouts) next(now time.Duration, c rollout.Current) (rollout.Status, bool) {
	if c.Rewrite {
		return c.Order.Status, true
	}
	key := c.Order.Key()
	situation := rollout.Situation{Order: c.Order, Elapsed: now - c.Start, PromotedFor: c.PromotedFor, Verdict: rollout.Verdict{Bad: c.Bad != "", Reason: c.Bad}}
	counts, _ := r.s.dispatch.RolloutCounts(c.Order.Service)
	situation.NewSlots, situation.OldSlots = counts.NewSlots, counts.OldSlots
	situation.KnownService = counts.HasSearchers
	if config := r.s.gateway.RoutingConfig(); config != nil {
		_, configured := config.Services[c.Order.Service]
		situation.KnownService = situation.KnownService || configured
	}
	if held := r.sums[key]; held != nil {
		all := held.sums.All(now)
		situation.Sums, situation.Unconfirmed, situation.RunningOld = all.Tally, all.Unconfirmed, all.RunningOld
		if !situation.Verdict.Bad {
			situation.Verdict = held.evidence.Judge(all.Tally)
		}
		r.metrics.observe(c.Order.Service, all.Tally.Total())
		if situation.Verdict.Bad && c.Bad == "" {
			r.markBad(key, situation.Verdict.Reason, "found here")
		}
	}
	status, changes := r.bounds.Decide(situation)
	if changes && status.StartUnixMs == 0 {
		status.StartUnixMs = r.s.clock.Now().Add(c.Start - now).UnixMilli()
	}
	return status, changes
}

// markBad records that a version is bad, so that it gets no request from here on, and schedules the
// notice for other instances. The caller holds the lock.
func (r *rollouts) markBad(k rollout.Key, reason, source string) {
	if !r.book.MarkBad(k, reason, r.s.clock.Boottime()) {
		return
	}
	r.s.log.Warn("new version is bad", "service", k.Service, "target", k.Target, "reason", reason, "source", source)
	r.metrics.decisions.WithLabelValues("bad").Inc()
	r.bad[k] = &badNotice{reason: reason, left: badRepeats}
	r.publish(k.Service)
}

// receiveBad records that versions are bad, as another instance has found.
func (r *rollouts) receiveBad(orders []orderMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range orders {
		if o.Bad != "" {
			r.markBad(o.key(), o.Bad, "another instance")
		}
	}
}

// sendBad sends the notices of bad versions. Leaders send them to the leaders of other failure domains
// and to all instances of their own.
func (r *rollouts) sendBad(to []netip.Addr, leader bool) {
	var orders []orderMessage
	r.mu.Lock()
	for key, notice := range r.bad {
		m := newOrderMessage(key)
		m.Bad = notice.reason
		orders = append(orders, m)
		if notice.left--; notice.left <= 0 {
			delete(r.bad, key)
		}
	}
	r.mu.Unlock()
	if leader && len(orders) > 0 {
		r.send(to, rolloutMessage{Kind: badMessage}, orders)
	}
}

// write writes a status unless a write of the object is in progress. Unless atOnce is true, it first leaves
// each leader that ranks before this one for the object the time deferredWrite. The caller holds the lock.
func (r *rollouts) write(ctx context.Context, now time.Duration, name string, status rollout.Status, atOnce bool) {
	since, ok := r.pending[name]
	if !ok {
		since = now
		r.pending[name] = now
	}
	if r.s.outage.Failing() || r.writing[name] || !atOnce && now-since < time.Duration(r.rank(name))*deferredWrite {
		return
	}
	r.writing[name] = true
	go func() {
		err := r.putStatus(ctx, name, status)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.writing, name)
		if err == nil {
			delete(r.invalid, name)
		}
	}()
}

// rank returns how many other leaders write the status of an object before this one does.
func (r *rollouts) rank(name string) int {
	weight := func(leader string) uint64 { return xxhash.Sum64String(leader + "\x00" + name) }
	rank := 0
	for _, p := range r.peers {
		if p.writes && weight(p.name) > weight(r.s.self.Name) {
			rank++
		}
	}
	return rank
}

// putStatus writes the status of an order if the object is as it is known here.
func (r *rollouts) putStatus(ctx context.Context, name string, status rollout.Status) error {
	m := r.s.mirrors[platform.KindRollouts]
	object, ok := m.Confirmed(name)
	if !ok {
		return errors.Errorf("order %q is not known from the store", name)
	}
	if order, _ := platform.DecodeRollout(object); order.Status == status || order.TargetVersion != status.TargetVersion {
		return nil
	}
	err := r.s.store.PutStatus(ctx, platform.KindRollouts, name, object.Revision, platform.EncodeRolloutStatus(status))
	decision := strings.TrimSpace(string(status.State) + " " + string(status.Phase))
	attributes := []any{"order", name, "target", status.TargetVersion, "decision", decision, "reason", status.Reason, "revision", object.Revision}
	switch {
	case err == nil:
		r.metrics.decisions.WithLabelValues(decision).Inc()
		r.s.log.Info("roll-out decided", attributes...)
	case errors.Is(err, platform.ErrConflict):
		// Another leader was first, or an earlier write took effect whose answer was lost. The
		// mirror brings the status.
		r.s.log.Info("roll-out was decided elsewhere", attributes...)
	default:
		r.s.log.Warn("decision on a roll-out was not written", append(attributes, "error", err.Error())...)
	}
	return err
}
