package main

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

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
	// deferredWrite is the delay between the writes of the same decision by two leaders. Usually the
	// result of the first write is known by then, so that the second one is not needed.
	deferredWrite = 300 * time.Millisecond
	// badRepeats is how often a notice of a bad version is sent, since messages may be lost.
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
	// bad holds the notices of bad versions that are to be sent.
	bad map[rollout.Key]*badNotice
	// reported holds the last reports that were sent, reportedAt when any was sent.
	reported   map[rollout.Key]string
	reportedAt time.Duration
	// standbyAt is when the sums were last sent also to instances that would be the next leaders.
	// Only tick uses it.
	standbyAt time.Duration
}

// orderSums holds the reports on an order and the evidence for a verdict.
type orderSums struct {
	sums     *rollout.Sums
	evidence rollout.Evidence
}

// peerLeader is the leader of another failure domain, last heard at a time.
type peerLeader struct {
	name, domain string
	at           time.Duration
	// writes says that it reaches the store.
	writes bool
}

// invalidOrder is an order that is rolled back because it can't be carried out.
type invalidOrder struct {
	order  rollout.Order
	reason string
}

// badNotice tells other instances that a version is bad, and why.
type badNotice struct {
	reason string
	// left is how many more times the notice is to be sent.
	left int
}

func newRollouts(s *service) *rollouts {
	return &rollouts{
		s: s, bounds: rollout.Bounds{Share: s.settings.Bounds.CanaryShare, Slack: s.settings.Bounds.CanarySlack}, metrics: newRolloutMetrics(s.registry),
		book: rollout.NewBook(), sums: make(map[rollout.Key]*orderSums), invalid: make(map[string]invalidOrder), waiting: make(map[string]bool),
		peers: make(map[netip.Addr]peerLeader), pending: make(map[string]time.Duration), writing: make(map[string]bool),
		bad: make(map[rollout.Key]*badNotice), reported: make(map[rollout.Key]string),
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

// tick sends the reports that are due and, at a leader, takes the decisions.
func (r *rollouts) tick(ctx context.Context) {
	now := r.s.clock.Boottime()
	leader := r.s.isLeader()
	if leader && !r.s.outage.Failing() && r.s.mirrors[platform.KindRollouts].Revision() > 0 {
		r.s.dispatch.SetRolloutContact(now)
	}
	current, idle := r.currentOrders(now)
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
		// A verdict is also needed while the store can't be reached, since it is sent to the others.
		r.decide(ctx, now, current)
	}
	r.sendBad(append(otherAddresses, r.addressesOf(r.s.instances.InDomain())...), leader)
}

// currentOrders returns the orders to work on, and drops what is held for others. idle says that there is
// nothing to report, to decide or to send.
func (r *rollouts) currentOrders(now time.Duration) (current []rollout.Current, idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current = r.book.Current(now)
	for key := range r.sums {
		if !slices.ContainsFunc(current, func(c rollout.Current) bool { return c.Order.Key() == key }) {
			delete(r.sums, key)
			delete(r.reported, key)
		}
	}
	return current, len(current) == 0 && len(r.invalid) == 0 && len(r.bad) == 0
}
