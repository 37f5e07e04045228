package member

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/peer"
)

// probers is how many other processes test one that fell silent.
const probers = 2

// sendHeartbeat reports to the coordinator, or to itself if it is that.
func (m *membership) sendHeartbeat(ctx context.Context) {
	beat := m.heartbeat()
	record, _ := m.record()
	if record == nil || !m.takesPart(record) {
		return
	}
	if record.Coordinator == m.config.Self.ID {
		m.takeHeartbeat(beat)
		return
	}
	// A coordinator that was removed and has not joined again is no member.
	address, ok := m.addressOf(record.Coordinator)
	if !ok {
		return
	}
	var reply peer.HeartbeatReply
	if err := m.call(ctx, address, peer.KindHeartbeat, &beat, &reply); err != nil {
		m.config.Log.Debug("heartbeat failed", "coordinator", record.Coordinator, "error", err)
		return
	}
	if !reply.Coordinator {
		return
	}
	if beat.Drained && reply.Left {
		m.mu.Lock()
		m.left = true
		m.mu.Unlock()
	}
	if reply.GrantedNs <= 0 {
		return
	}
	granted := time.Duration(reply.GrantedNs)
	m.mu.Lock()
	if granted > m.rights.LeaseStart() {
		m.renewed = m.config.Clock.Boottime()
	}
	m.rights.ObserveRenewal(reply.Epoch, granted)
	m.mu.Unlock()
}

func (m *membership) heartbeat() peer.Heartbeat {
	now := m.config.Clock.Boottime()
	self := m.config.Self
	m.mu.Lock()
	defer m.mu.Unlock()
	return peer.Heartbeat{
		ID: self.ID, Role: string(self.Role), Domain: self.FailureDomain, Record: m.domain,
		PeerAddress: self.PeerAddress, CallerAddress: self.CallerAddress, OperatorAddress: self.OperatorAddress,
		Leaving: m.leaving, Drained: m.gone, BoottimeNs: int64(now), Epoch: m.takeover.Epoch(),
	}
}

// takeHeartbeat notes a heartbeat and reports whether this process coordinates.
func (m *membership) takeHeartbeat(beat peer.Heartbeat) bool {
	now := m.config.Clock.Boottime()
	m.mu.Lock()
	if !m.coordinating {
		m.mu.Unlock()
		return false
	}
	former, known := m.heard[beat.ID]
	before := former.instance(m.detector.Suspected(beat.ID))
	m.heard[beat.ID] = heartbeat{Heartbeat: beat, at: now}
	m.acked[beat.ID] = max(m.acked[beat.ID], beat.Epoch)
	m.detector.RecordHeartbeat(beat.ID, now)
	if after := m.heard[beat.ID].instance(false); !known || after != before {
		m.due.noteChange(after.State != before.State)
	}
	due := m.isRosterDue(m.config.State.View(), now)
	m.mu.Unlock()
	if due {
		m.publishRoster()
	}
	return true
}

func (m *Member) serveHeartbeat(_ context.Context, s *peer.Stream) error {
	var beat peer.Heartbeat
	if err := s.Receive(&beat); err != nil {
		return err
	}
	reply := m.answerHeartbeat(beat)
	return s.Send(&reply)
}

func (m *Member) answerHeartbeat(beat peer.Heartbeat) peer.HeartbeatReply {
	seat := m.membershipIn(beat.Record)
	if seat == nil {
		return peer.HeartbeatReply{}
	}
	reply := peer.HeartbeatReply{Coordinator: seat.takeHeartbeat(beat)}
	if record, _ := seat.record(); record != nil {
		reply.Epoch = record.Epoch
		member, ok := record.Member(beat.ID)
		reply.Left = !ok
		reply.GrantedNs = member.GrantedNs
	}
	return reply
}

// renew writes the record, as coordinator or in place of one that fell silent.
func (m *membership) renew(ctx context.Context) {
	record, version := m.record()
	if record == nil && !m.adopted() {
		m.bootstrap(ctx)
		return
	}
	if record == nil || !m.mayWrite(record) || !m.contact.open(m.config.Clock.Boottime()) {
		return
	}
	if record.Coordinator != m.config.Self.ID && m.platformReturned(ctx) {
		return
	}
	err := m.write(ctx, *record, version, m.change(record))
	m.metrics.writes.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		m.config.Log.Warn("record not written", "domain", m.domain, "error", err)
		m.readRecord(ctx)
	}
}

// platformReturned reads the record if the platform did not answer last time.
// When it answers again, the coordinator gets half a lease to renew before
// others replace it, so that not all members write at once after an outage.
func (m *membership) platformReturned(ctx context.Context) bool {
	if m.contact.reachable() {
		return false
	}
	err := m.readRecord(ctx)
	if answered(err) {
		m.mu.Lock()
		m.renewed = m.config.Clock.Boottime()
		m.mu.Unlock()
	}
	return true
}

// mayWrite reports whether this process coordinates the domain, or may replace
// a coordinator that has not renewed for half a lease.
func (m *membership) mayWrite(record *control.Record) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || record.Coordinator == m.config.Self.ID {
		return !m.gone
	}
	if _, member := record.Member(m.config.Self.ID); m.adopted() && !member {
		return false
	}
	return m.config.Clock.Boottime() >= m.renewed+m.config.Timing.Lease/2
}

// bootstrap reads the record and creates it if the domain has none.
func (m *membership) bootstrap(ctx context.Context) {
	err := m.readRecord(ctx)
	if !errors.Is(err, objectstore.ErrNotFound) {
		return
	}
	record := assign.NextRecord(m.domain, control.Record{}, m.change(&control.Record{}))
	value, err := json.Marshal(record)
	if err != nil {
		m.config.Log.Error("record not encoded", "error", err)
		return
	}
	version, err := m.create(ctx, prefixDomains+m.domain, value)
	m.metrics.writes.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		m.config.Log.Warn("record not created", "domain", m.domain, "error", err)
		_ = m.readRecord(ctx)
		return
	}
	m.offerRecord(m.domain, version, record.Epoch, value)
}

// change collects what the next write does. A process that is not yet the
// coordinator has heard from nobody, so it renews itself only.
func (m *membership) change(record *control.Record) assign.RecordUpdate {
	self := m.config.Self
	beat := m.heartbeat()
	addresses := m.otherBrokers()
	view := m.config.State.View()
	now := m.config.Clock.Boottime()
	m.mu.Lock()
	defer m.mu.Unlock()
	c := assign.RecordUpdate{
		Writer:             self.ID,
		Acked:              map[string]uint64{self.ID: beat.Epoch},
		OtherDomainBrokers: slices.Sorted(maps.Keys(addresses)),
		Addresses:          addresses,
		Heartbeats:         []assign.BrokerHeartbeat{{ID: self.ID, Address: self.PeerAddress, SentNs: beat.BoottimeNs, KnownEpoch: beat.Epoch, Domain: m.foreign(self.FailureDomain)}},
	}
	if record.Coordinator != self.ID || !m.coordinating {
		return c
	}
	c.Fenced = m.takeover.Fenced(now)
	c.Lost = m.detector.Lost(now)
	for id, epoch := range m.acked {
		c.Acked[id] = max(c.Acked[id], epoch)
	}
	for _, id := range record.Awaited() {
		if view.Out(control.OrderProcess, id) {
			c.Acked[id] = record.Epoch
		}
	}
	for id, h := range m.heard {
		_, member := record.Member(id)
		if h.Drained {
			// It may not get through itself: it writes only over the version that it
			// knows.
			if member && id != self.ID {
				c.Left = append(c.Left, id)
			}
			continue
		}
		fresh := now < h.at+m.config.Timing.Removal
		if id != self.ID && control.Role(h.Role) == control.RoleBroker && fresh && (member || !h.Leaving) {
			c.Heartbeats = append(c.Heartbeats, assign.BrokerHeartbeat{
				ID: id, Address: h.PeerAddress, SentNs: h.BoottimeNs, KnownEpoch: h.Epoch, Domain: m.foreign(h.Domain),
			})
		}
	}
	return c
}

// otherBrokers returns the addresses, by identifier, of the brokers of failure
// domains of which no broker is a member. Those of an adopting domain would be lost together with the adopters.
func (m *membership) otherBrokers() map[string]string {
	others := make(map[string]string)
	records := m.config.State.View().Records
	inside := map[string]bool{m.domain: true, m.config.Self.FailureDomain: true}
	if own := records[m.domain]; own != nil {
		for _, member := range own.Members {
			inside[member.Domain] = true
		}
	}
	for name, record := range records {
		if inside[name] {
			continue
		}
		for _, member := range record.Home() {
			others[member.ID] = member.Address
		}
	}
	return others
}

// write replaces the record if it still has the given version, and takes the
// new one into the state. Only a confirmed write counts.
func (m *membership) write(ctx context.Context, record control.Record, version uint64, c assign.RecordUpdate) error {
	next := assign.NextRecord(m.domain, record, c)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	written, err := m.update(ctx, prefixDomains+m.domain, version, value)
	if err != nil {
		return err
	}
	if next.Epoch != record.Epoch {
		m.config.Log.Info("epoch changed", "domain", m.domain, "epoch", next.Epoch, "members", len(next.Members), "departed", len(next.Departed))
	}
	m.offerRecord(m.domain, written, next.Epoch, value)
	m.forgetLost(next)
	return nil
}

// forgetLost drops lost processes that are no members (any more).
func (m *membership) forgetLost(record control.Record) {
	now := m.config.Clock.Boottime()
	m.mu.Lock()
	for _, id := range m.detector.Lost(now) {
		if _, ok := record.Member(id); !ok {
			m.detector.Untrack(id)
			delete(m.heard, id)
			m.due.noteChange(false)
		}
	}
	m.mu.Unlock()
	m.publishRoster()
}

// detectLost probes silent processes and puts suspicions into the roster.
func (m *membership) detectLost(ctx context.Context) {
	now := m.config.Clock.Boottime()
	record, _ := m.record()
	m.mu.Lock()
	if !m.coordinating || record == nil {
		m.mu.Unlock()
		return
	}
	for _, member := range record.Members {
		if member.ID != m.config.Self.ID {
			m.detector.Track(member.ID, now)
		}
	}
	due := m.detector.DueProbes(now)
	m.mu.Unlock()
	var probes sync.WaitGroup
	for _, id := range due {
		probes.Go(func() { m.probe(ctx, id) })
	}
	probes.Wait()
	m.publishRoster()
}

func (m *membership) probe(ctx context.Context, id string) {
	reached := false
	if id == m.config.Self.ID {
		reached = true
	} else if address, ok := m.addressOf(id); ok {
		reached = m.reachedByOthers(ctx, id, address)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.detector.RecordProbe(id, reached, m.config.Clock.Boottime()) {
		m.due.noteChange(true)
		m.metrics.suspected.Inc()
		m.config.Log.Warn("process is suspected", "id", id, "domain", m.domain)
	}
}

// reachedByOthers asks other processes of the domain to test an address.
func (m *membership) reachedByOthers(ctx context.Context, id, address string) bool {
	var others []string
	m.mu.Lock()
	for other, h := range m.heard {
		if other != id && other != m.config.Self.ID && !m.detector.Suspected(other) && len(others) < probers {
			others = append(others, h.PeerAddress)
		}
	}
	m.mu.Unlock()
	results := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			var reply peer.ProbeReply
			err := m.call(ctx, other, peer.KindProbe, &peer.Probe{Address: address}, &reply)
			results <- err == nil && reply.Reached
		}()
	}
	for range others {
		if <-results {
			return true
		}
	}
	return false
}

func (m *Member) serveProbe(ctx context.Context, s *peer.Stream) error {
	var probe peer.Probe
	if err := s.Receive(&probe); err != nil {
		return err
	}
	// The tester answers before the one who asked gives up.
	ctx, cancel := context.WithTimeout(ctx, m.config.Timing.Call/2)
	defer cancel()
	return s.Send(&peer.ProbeReply{Reached: m.node.Load().Reachable(ctx, probe.Address)})
}
