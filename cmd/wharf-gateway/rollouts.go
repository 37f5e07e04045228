package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/rollout"
)

const (
	// rolloutInterval is the time between two reports of an instance while they change, and
	// between two decisions of a leader.
	rolloutInterval = 250 * time.Millisecond
	// rolloutRefresh is the time after which an instance reports also without a change, so that
	// the leader answers and a lost message does not last.
	rolloutRefresh = 1 * time.Second
	// deferredWrite is how much later than the one before it each further leader writes the
	// same decision: usually the first write has arrived by then.
	deferredWrite = 300 * time.Millisecond
	// badRepeats is how often the news of a bad version is sent, since messages may be lost.
	badRepeats = 4
)

// rollouts moves services to other versions: it tells the dispatcher which orders there are, reports
// what this instance counts, and decides if this instance is a leader.
type rollouts struct {
	s       *service
	bounds  rollout.Bounds
	metrics *rolloutMetrics

	// mu protects the fields below. The mirrors' methods must not be called with it, since a
	// mirror is locked while it calls changed.
	mu   sync.Mutex
	book *rollout.Book
	sums map[rollout.Key]*orderSums
	// invalid holds the orders that can't be carried out, by name of the object.
	invalid map[string]invalidOrder
	// waiting holds the names of orders that were logged as waiting for another one.
	waiting map[string]bool
	// peers holds when leaders of other failure domains were heard last, by address.
	peers map[netip.Addr]peerLeader
	// pending holds since when this instance wants to write a decision, by object; writing the
	// objects that are being written.
	pending map[string]time.Duration
	writing map[string]bool
	// bad holds the news of bad versions that are to be sent.
	bad map[rollout.Key]*badNews
	// reported holds the last reports that were sent, reportedAt when any was sent.
	reported   map[rollout.Key]string
	reportedAt time.Duration
	// standbyAt is when the sums were last sent also to instances that would be the next leaders.
	// Only tick uses it.
	standbyAt time.Duration
}

type orderSums struct {
	sums     *rollout.Sums
	evidence rollout.Evidence
}

type peerLeader struct {
	name, domain string
	at           time.Duration
	// writes says that it reaches the store.
	writes bool
}

type invalidOrder struct {
	order  rollout.Order
	reason string
}

type badNews struct {
	reason string
	left   int
}

func newRollouts(s *service) *rollouts {
	return &rollouts{
		s: s, bounds: rollout.Bounds{Share: s.settings.Bounds.CanaryShare, Slack: s.settings.Bounds.CanarySlack}, metrics: newRolloutMetrics(s.registry),
		book: rollout.NewBook(), sums: make(map[rollout.Key]*orderSums), invalid: make(map[string]invalidOrder), waiting: make(map[string]bool),
		peers: make(map[netip.Addr]peerLeader), pending: make(map[string]time.Duration), writing: make(map[string]bool),
		bad: make(map[rollout.Key]*badNews), reported: make(map[rollout.Key]string),
	}
}

// changed applies a change of an order's object. It is called while the mirror is locked.
func (r *rollouts) changed(e platform.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, now := e.Object.Name, r.s.clock.Boottime()
	services := []string{r.book.ServiceOf(name)}
	delete(r.invalid, name)
	order, err := platform.DecodeRollout(e.Object)
	switch {
	case e.Deleted:
		r.book.Remove(name, now)
		r.s.log.Info("order of a roll-out is gone", "order", name, "service", services[0])
	case err != nil:
		r.book.Remove(name, now)
		r.s.log.Error("invalid order of a roll-out, traffic stays as it is", "order", name, "error", err.Error())
		if order.TargetVersion != "" {
			r.invalid[name] = invalidOrder{order: order, reason: "invalid order: " + err.Error()}
		}
	default:
		r.book.Put(name, order, now, r.s.clock.Now())
		services = append(services, order.Service)
		r.s.log.Info("roll-out", "order", name, "service", order.Service, "target_version", order.TargetVersion, "state", string(order.Status.State),
			"phase", string(order.Status.Phase), "share", order.Status.Share, "reason", order.Status.Reason, "revision", e.Object.Revision)
	}
	for _, service := range services {
		r.publish(service)
	}
	r.logWaiting()
}

// publish tells the dispatcher of the orders of a service. The caller holds the lock.
func (r *rollouts) publish(service string) {
	if service == "" {
		return
	}
	v := r.book.View(service)
	r.s.dispatch.SetRollout(service, v)
	share := 0.0
	switch {
	case v.Active && v.Phase == rollout.Promote:
		share = 1
	case v.Active:
		share = r.bounds.Share
	}
	r.metrics.share.WithLabelValues(service).Set(share)
}

// logWaiting logs the orders that wait until another one of their service has ended.
func (r *rollouts) logWaiting() {
	names := r.book.Waiting()
	for _, name := range names {
		if !r.waiting[name] {
			r.s.log.Warn("order of a roll-out is ignored until another one of the service has ended", "order", name, "service", r.book.ServiceOf(name))
		}
	}
	clear(r.waiting)
	for _, name := range names {
		r.waiting[name] = true
	}
}

// run reports and decides until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tick(ctx)
		}
	}
}

// position returns the place up to which the orders are known here.
func (r *rollouts) position() mirror.Position {
	return r.s.mirrors[platform.KindRollouts].NewestPosition()
}

// knowsOrders reports whether this instance follows the orders in the store itself.
func (r *rollouts) knowsOrders() bool { return r.s.isLeader() && !r.s.outage.Failing() }

// tick sends the reports that are due and, at a leader, takes the decisions.
func (r *rollouts) tick(ctx context.Context) {
	now := r.s.clock.Boottime()
	leader := r.s.isLeader()
	if leader && !r.s.outage.Failing() && r.s.mirrors[platform.KindRollouts].Revision() > 0 {
		r.s.dispatch.SetRolloutContact(now)
	}
	r.mu.Lock()
	current := r.book.Current(now)
	for key := range r.sums {
		if !slices.ContainsFunc(current, func(c rollout.Current) bool { return c.Order.Key() == key }) {
			delete(r.sums, key)
			delete(r.reported, key)
		}
	}
	idle := len(current) == 0 && len(r.invalid) == 0 && len(r.bad) == 0
	r.mu.Unlock()
	if idle {
		return
	}
	own, others := r.s.instances.LeaderCandidates(r.s.awake())
	ownAddresses, otherAddresses := r.addressesOf(own), r.addressesOf(others)
	sumsTo := r.peerAddresses(now, others)
	for _, address := range sumsTo {
		if !slices.Contains(otherAddresses, address) {
			otherAddresses = append(otherAddresses, address)
		}
	}
	if now-r.standbyAt >= rolloutRefresh {
		r.standbyAt = now
		sumsTo = otherAddresses
	}
	r.report(now, current, ownAddresses, otherAddresses)
	if leader {
		r.sendSums(now, current, sumsTo)
		// Without the store the verdict still counts, and is sent to the others.
		r.decide(ctx, now, current)
	}
	r.sendBad(append(otherAddresses, r.addressesOf(r.s.instances.InDomain())...), leader)
}

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

// isCurrent reports whether an order is in force here. The caller holds the lock.
func (r *rollouts) isCurrent(k rollout.Key) bool {
	v := r.book.View(k.Service)
	return v.Active && v.Order == k
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
// news for others. The caller holds the lock.
func (r *rollouts) markBad(k rollout.Key, reason, source string) {
	if !r.book.MarkBad(k, reason, r.s.clock.Boottime()) {
		return
	}
	r.s.log.Warn("new version is bad", "service", k.Service, "target_version", k.Target, "reason", reason, "source", source)
	r.metrics.decisions.WithLabelValues("bad").Inc()
	r.bad[k] = &badNews{reason: reason, left: badRepeats}
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

// sendBad sends the news of bad versions. Leaders send it to the leaders of other failure domains
// and to all instances of their own.
func (r *rollouts) sendBad(to []netip.Addr, leader bool) {
	var orders []orderMessage
	r.mu.Lock()
	for key, news := range r.bad {
		m := newOrderMessage(key)
		m.Bad = news.reason
		orders = append(orders, m)
		if news.left--; news.left <= 0 {
			delete(r.bad, key)
		}
	}
	r.mu.Unlock()
	if leader && len(orders) > 0 {
		r.send(to, rolloutMessage{Kind: badMessage}, orders)
	}
}

// write writes a status unless a write of the object is under way, at once or after the leaders that
// go before this one in the order for the object. The caller holds the lock.
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
	attributes := []any{"order", name, "target_version", status.TargetVersion, "decision", decision, "reason", status.Reason, "revision", object.Revision}
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

// rolloutMetrics holds the metrics about roll-outs.
type rolloutMetrics struct {
	share     *prometheus.GaugeVec
	counts    *prometheus.GaugeVec
	decisions *prometheus.CounterVec
}

func newRolloutMetrics(registry prometheus.Registerer) *rolloutMetrics {
	m := &rolloutMetrics{
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "wharf_rollout_share",
			Help: "Largest share of the requests that the target of a running roll-out may get, by service.",
		}, []string{"service"}),
		counts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "wharf_rollout_counts",
			Help: "Requests and replies of all instances during the last roll-out of a service, as this leader knows them.",
		}, []string{"service", "count"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_rollout_decisions_total",
			Help: "Steps of roll-outs that this instance has written, and versions that it knows to be bad.",
		}, []string{"decision"}),
	}
	registry.MustRegister(m.share, m.counts, m.decisions)
	return m
}

func (m *rolloutMetrics) observe(service string, c rollout.Counts) {
	for name, value := range map[string]int64{
		"requests": c.Requests, "sent_to_new": c.Sent, "old_replies": c.OldReplies, "old_bad": c.OldBad, "new_replies": c.NewReplies, "new_bad": c.NewBad,
	} {
		m.counts.WithLabelValues(service, name).Set(float64(value))
	}
}
