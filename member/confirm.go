package member

import (
	"context"
	"sync"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
)

// confirm asks the confirmers once the lease has not been renewed for half its
// duration, so that confirmations are there when it ends.
func (m *membership) confirm(ctx context.Context) {
	record, _ := m.record()
	if record == nil {
		return
	}
	if _, ok := record.Member(m.config.Self.ID); !ok {
		return
	}
	now := m.config.Clock.Boottime()
	m.mu.Lock()
	granted := m.rights.LeaseStart()
	m.mu.Unlock()
	if granted == 0 || now < granted+m.config.Timing.Lease/2 {
		return
	}
	var asked sync.WaitGroup
	for _, id := range record.Confirmers {
		if id != m.config.Self.ID {
			asked.Go(func() { m.askConfirmer(ctx, id, record.Epoch) })
		}
	}
	asked.Wait()
}

func (m *membership) askConfirmer(ctx context.Context, id string, epoch uint64) {
	address, ok := m.addressOf(id)
	if !ok {
		return
	}
	now := m.config.Clock.Boottime()
	var reply peer.ConfirmReply
	question := peer.Confirm{Domain: m.domain, Epoch: epoch, ID: m.config.Self.ID}
	if err := m.call(ctx, address, peer.KindConfirm, &question, &reply); err != nil {
		return
	}
	// Another incarnation at the address may not know what the confirmer
	// acknowledged before it ended.
	if !reply.Confirmed || reply.ID != id || reply.Epoch != epoch {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rights.ObserveConfirmation(epoch, id, now)
}

// serveConfirm confirms an epoch only if it is exactly the one that this
// process knows and the platform does not answer it.
func (m *Member) serveConfirm(ctx context.Context, s *peer.Stream) error {
	var question peer.Confirm
	if err := s.Receive(&question); err != nil {
		return err
	}
	away := m.platformAway(ctx, question.Domain)
	reply := peer.ConfirmReply{ID: m.config.Self.ID}
	// The epoch is read after the platform was tried, so that an epoch learned
	// meanwhile is not overlooked.
	if record := m.config.State.View().Records[question.Domain]; record != nil {
		reply.Epoch = record.Epoch
		reply.Confirmed = away && record.Epoch == question.Epoch
	}
	return s.Send(&reply)
}

// platformAway tries the platform if its last answer is older than a heartbeat
// interval. Questions come only while a lease is not renewed, so this adds no
// load in normal operation.
func (m *Member) platformAway(ctx context.Context, domain string) bool {
	m.trying.Lock()
	defer m.trying.Unlock()
	if !m.contact.fresh(m.config.Clock.Boottime(), m.config.Timing.Heartbeat) {
		ctx, cancel := context.WithTimeout(ctx, m.config.Timing.Call/2)
		defer cancel()
		if object, err := m.get(ctx, prefixDomains+domain); err == nil {
			m.offerObject(object)
		}
	}
	return !m.contact.reachable()
}

// collectAcknowledgements makes the epoch known to the confirmers of departed
// members. The next renewal writes who acknowledged.
func (m *membership) collectAcknowledgements(ctx context.Context) {
	if !m.isCoordinating() {
		return
	}
	item, ok := m.config.State.Item(control.PrefixDomain + m.domain)
	record, _ := m.record()
	if !ok || record == nil {
		return
	}
	asked := make(map[string]bool)
	var calls sync.WaitGroup
	for _, d := range record.Departed {
		for _, id := range d.Asked() {
			m.mu.Lock()
			done := m.acked[id] >= d.Epoch
			m.mu.Unlock()
			if !done && !asked[id] && id != m.config.Self.ID {
				asked[id] = true
				calls.Go(func() { m.acknowledgeAt(ctx, id, record.Addresses[id], item) })
			}
		}
	}
	calls.Wait()
}

// acknowledgeAt asks the process with the identifier, or the one that has taken
// its address. The system lets one process listen at an address, so a later one
// shows that the former has ended and neither dispatches nor confirms.
func (m *membership) acknowledgeAt(ctx context.Context, id, recorded string, item control.Item) {
	address, ok := m.addressOf(id)
	if !ok {
		address = recorded
	}
	if address == "" {
		return
	}
	if address == m.config.Self.PeerAddress {
		m.acknowledged(id, item.Major)
		return
	}
	request := peer.Acknowledge{Domain: m.domain, Epoch: item.Major, Version: item.Minor, Record: item.Value}
	var reply peer.AcknowledgeReply
	if err := m.call(ctx, address, peer.KindAcknowledge, &request, &reply); err != nil {
		return
	}
	if reply.ID != id {
		m.config.Log.Info("process has ended, its address belongs to another", "id", id, "address", address, "successor", reply.ID)
		reply.Epoch = item.Major
	}
	m.acknowledged(id, reply.Epoch)
}

func (m *membership) acknowledged(id string, epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.acked[id] = max(m.acked[id], epoch)
}

// serveAcknowledge takes the record and brings the own rights up to it before
// it replies: the reply promises that no older epoch is used or confirmed.
func (m *Member) serveAcknowledge(_ context.Context, s *peer.Stream) error {
	var request peer.Acknowledge
	if err := s.Receive(&request); err != nil {
		return err
	}
	m.offer([]control.Item{{
		Name:  control.PrefixDomain + request.Domain,
		Major: request.Epoch, Minor: request.Version, Value: request.Record,
	}})
	m.observe()
	reply := peer.AcknowledgeReply{ID: m.config.Self.ID}
	if record := m.config.State.View().Records[request.Domain]; record != nil {
		reply.Epoch = record.Epoch
	}
	return s.Send(&reply)
}
