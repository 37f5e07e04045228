package entry

import (
	"context"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/route"
	"github.com/wisteriawharf/wisteriawharf/settings"
	"github.com/wisteriawharf/wisteriawharf/snapshot"
)

// table is what the entry knows of brokers and searchers. It is safe for
// concurrent use.
type table struct {
	mu      sync.Mutex
	random  *rand.Rand
	brokers map[string]*broker
	// holders are the brokers that report a searcher.
	holders map[string][]*broker
	// version rises with every change that can alter a plan.
	version uint64
	changed chan struct{}
	// view returns the newest view; basis is what was taken of it last.
	view     func() *control.View
	basis    basis
	plans    map[*settings.Service]*plan
	builders map[string]*builder
}

// broker is one broker with the searchers it reports. Its session ends when its
// status stream is lost or silent.
type broker struct {
	member    control.Member
	session   context.Context
	end       context.CancelFunc
	searchers map[string]*searcher
}

// searcher is the last report about one searcher. sent counts the parts that
// this entry has outstanding since report number reports.
type searcher struct {
	state    peer.SearcherState
	reported time.Duration
	reports  uint64
	sent     int
}

// replica is one searcher's copy of an index, with its present owner.
type replica struct {
	id       string
	index    string
	domain   string
	broker   *broker
	searcher *searcher
}

func newTable(random *rand.Rand, view func() *control.View) *table {
	return &table{
		random:   random,
		brokers:  make(map[string]*broker),
		holders:  make(map[string][]*broker),
		changed:  make(chan struct{}),
		view:     view,
		plans:    make(map[*settings.Service]*plan),
		builders: make(map[string]*builder),
	}
}

// alter marks a change of the named searchers that can alter the plans of their
// services. The caller holds the lock.
func (t *table) alter(searchers ...string) {
	for _, p := range t.plans {
		p.stale = p.stale || slices.ContainsFunc(searchers, func(id string) bool { return p.searchers[id] })
	}
	t.version++
	close(t.changed)
	t.changed = make(chan struct{})
}

// changes returns a channel that is closed by the next change.
func (t *table) changes() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// report takes the status of a broker. A searcher that is no longer listed is
// no longer owned by it.
func (t *table) report(member control.Member, status *peer.Status, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.brokers[member.ID]
	known := b != nil
	if !known {
		b = &broker{member: member, searchers: make(map[string]*searcher)}
		b.session, b.end = context.WithCancel(context.Background())
		t.brokers[member.ID] = b
	}
	listed := make(map[string]bool, len(status.Searchers))
	var altered []string
	for _, state := range status.Searchers {
		listed[state.Searcher] = true
		if b.searchers[state.Searcher] == nil {
			t.holders[state.Searcher] = append(t.holders[state.Searcher], b)
		}
		if b.update(state, now) {
			altered = append(altered, state.Searcher)
		}
	}
	for id := range b.searchers {
		if !listed[id] {
			delete(b.searchers, id)
			t.unhold(b, id)
			altered = append(altered, id)
		}
	}
	if !known || len(altered) > 0 {
		t.alter(altered...)
	}
}

// unhold notes that a broker reports a searcher no longer. The caller holds the
// lock.
func (t *table) unhold(b *broker, searcher string) {
	rest := slices.DeleteFunc(t.holders[searcher], func(other *broker) bool { return other == b })
	if len(rest) == 0 {
		delete(t.holders, searcher)
		return
	}
	t.holders[searcher] = rest
}

// update takes the state of one searcher and reports whether it can alter a
// plan.
func (b *broker) update(state peer.SearcherState, now time.Duration) bool {
	s := b.searchers[state.Searcher]
	if s == nil {
		b.searchers[state.Searcher] = &searcher{state: state, reported: now}
		return true
	}
	altered := state.Draining != s.state.Draining || state.Usable != s.state.Usable ||
		!slices.EqualFunc(state.Snapshots, s.state.Snapshots, sameSnapshot)
	s.state, s.reported, s.sent = state, now, 0
	s.reports++
	return altered
}

func sameSnapshot(a, b peer.HeldSnapshot) bool {
	return a.Index == b.Index && a.ID == b.ID && a.Number == b.Number &&
		a.ShardsTotal == b.ShardsTotal && slices.Equal(a.Shards, b.Shards)
}

// reportPart takes the state that came with a part's reply. A state without
// snapshots leaves those that are known.
func (t *table) reportPart(r replica, state peer.SearcherState, now time.Duration) {
	if state.Searcher != r.id {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := r.broker.searchers[r.id]
	if s == nil {
		return
	}
	if state.Snapshots == nil {
		state.Snapshots = s.state.Snapshots
	}
	if r.broker.update(state, now) {
		t.alter(r.id)
	}
}

// lose ends the session of a broker. Parts that it has outstanding fail, and no
// replica is chosen there until it reports again.
func (t *table) lose(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.brokers[id]; b != nil {
		delete(t.brokers, id)
		b.end()
		for searcher := range b.searchers {
			t.unhold(b, searcher)
		}
		t.alter(slices.Collect(maps.Keys(b.searchers))...)
	}
}

// disown removes a searcher from a broker that refused a part as not its owner.
// The broker's next status lists it again if it is wrong.
func (t *table) disown(r replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.broker.searchers[r.id] != nil {
		delete(r.broker.searchers, r.id)
		t.unhold(r.broker, r.id)
		t.alter(r.id)
	}
}

// sent counts a part and returns the report since which it is outstanding.
func (t *table) sent(r replica) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.searcher.sent++
	return r.searcher.reports
}

// settled takes back a part that sent counted, unless a later report has
// included it.
func (t *table) settled(r replica, reports uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.searcher.reports == reports && r.searcher.sent > 0 {
		r.searcher.sent--
	}
}

// gather adds the replicas of a plan and returns what they hold. The caller
// holds the lock.
func (t *table) gather(p *plan, s *settings.Service, places []place, suspected map[string]bool) []snapshot.Report {
	names := make(map[string]bool, len(s.Indexes))
	for _, index := range s.Indexes {
		names[index.Name] = true
	}
	var held []snapshot.Report
	for _, place := range places {
		b, known := t.route(place, suspected)
		if b == nil {
			continue
		}
		u := place.searcher
		usable := place.candidate(known, suspected[b.member.ID]).Allowed()
		for _, h := range known.state.Snapshots {
			if !names[h.Index] {
				continue
			}
			p.replicas = append(p.replicas, replica{id: u.ID, index: h.Index, domain: u.FailureDomain, broker: b, searcher: known})
			held = append(held, snapshot.Report{
				Replica: len(p.replicas) - 1, ID: h.ID, Number: h.Number,
				ShardCount: h.ShardsTotal, Shards: h.Shards, Usable: usable,
			})
		}
	}
	return held
}

// route returns the broker that owns a searcher: the rendezvous owner if it
// reports the searcher, else any other broker that does, as during a handover.
// A suspected broker is returned only if there is no other.
func (t *table) route(p place, suspected map[string]bool) (*broker, *searcher) {
	u := p.searcher
	if b := t.brokers[p.owner]; b != nil && !suspected[p.owner] && b.searchers[u.ID] != nil {
		return b, b.searchers[u.ID]
	}
	var found *broker
	for _, b := range t.holders[u.ID] {
		id := b.member.ID
		if found == nil || suspected[found.member.ID] && !suspected[id] ||
			suspected[found.member.ID] == suspected[id] && id < found.member.ID {
			found = b
		}
	}
	if found == nil {
		return nil, nil
	}
	return found, found.searchers[u.ID]
}

func (p place) candidate(s *searcher, lost bool) route.Candidate {
	return route.Candidate{
		DomainOut:       p.domainOut,
		UpstreamOut:     p.searcherOut,
		BrokerSuspected: lost,
		Draining:        s.state.Draining,
		Usable:          s.state.Usable,
	}
}

// doubted returns a function that reports brokers that are suspected or whose
// status stream is lost.
func (t *table) doubted(view *control.View) func(id string) bool {
	suspected := view.Suspected()
	return func(id string) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		return suspected[id] || t.brokers[id] == nil
	}
}

// choice asks for a replica of one shard.
type choice struct {
	service *settings.Service
	// id, number and total name the pinned layout.
	id     string
	number uint64
	total  int
	shard  uint32
	// avoid reports the replicas that must not be chosen.
	avoid func(replica) bool
	// perPart is the time by which one part lengthens a queue.
	perPart time.Duration
	now     time.Duration
}

// choose returns a replica and the estimated wait there. It uses the present
// plan, so that what was lost or drained since the query began is passed over.
func (t *table) choose(c choice) (replica, time.Duration, bool) {
	p := t.plan(c.service)
	t.mu.Lock()
	defer t.mu.Unlock()
	var candidates []replica
	var loads []route.Load
	for _, l := range p.layouts {
		if l.ID != c.id || l.Number != c.number || len(l.Replicas) != c.total {
			continue
		}
		for _, i := range l.Replicas[c.shard] {
			if r := p.replicas[i]; !c.avoid(r) {
				candidates = append(candidates, r)
				loads = append(loads, r.searcher.load(c.perPart))
			}
		}
	}
	i := route.Choose(t.random, loads, c.now)
	if i < 0 {
		return replica{}, 0, false
	}
	return candidates[i], loads[i].Wait(c.now), true
}

func (s *searcher) load(perPart time.Duration) route.Load {
	return route.Load{
		QueueWait:   time.Duration(s.state.QueueWaitUs) * time.Microsecond,
		FreeSlots:   int(s.state.Free),
		ReportedAt:  s.reported,
		Known:       true,
		Outstanding: s.sent,
		WaitPerPart: perPart,
	}
}
