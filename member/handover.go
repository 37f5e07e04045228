package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
)

// neverUsed is the allowance of a released searcher that the sender did not
// use, so that its cold-start state says nothing.
const neverUsed = -1

// handover is one searcher on its way to a new owner.
type handover struct {
	to       string
	searcher string
}

// settlement names a state of record and settings.
type settlement struct{ epoch, revision uint64 }

// releaseMoved releases searchers to members that joined later and own them now.
func (m *membership) releaseMoved(ctx context.Context) {
	record, _ := m.record()
	if record == nil || m.config.Holder == nil {
		return
	}
	m.mu.Lock()
	now := settlement{record.Epoch, m.config.State.View().Revision}
	settled := now == m.settled
	m.mu.Unlock()
	if settled {
		return
	}
	byOwner := make(map[string][]string)
	owners := make(map[string]control.Member)
	for _, searcher := range m.searchers() {
		owner, ok := assign.ReleaseTarget(record, m.config.Self.ID, searcher)
		if !ok || m.wasHanded(handover{owner.ID, searcher}, owner.Joined) {
			continue
		}
		owners[owner.ID] = owner
		byOwner[owner.ID] = append(byOwner[owner.ID], searcher)
	}
	if len(byOwner) == 0 {
		m.mu.Lock()
		m.settled = now
		m.mu.Unlock()
		return
	}
	var calls sync.WaitGroup
	for id, searchers := range byOwner {
		calls.Go(func() {
			drained := m.drain(ctx, searchers)
			if ctx.Err() == nil {
				m.release(ctx, owners[id], record.Epoch, drained)
			}
		})
	}
	calls.Wait()
}

// searchers returns the searchers of the failure domain, sorted.
func (m *membership) searchers() []string {
	view := m.config.State.View()
	if view.Settings == nil {
		return nil
	}
	var ids []string
	for id, placement := range view.Settings.Searchers {
		if placement.FailureDomain == m.domain {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (m *membership) wasHanded(h handover, joined uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	epoch, ok := m.handed[h]
	return ok && epoch == joined
}

// drain waits until no work of this process runs on the searchers.
func (m *membership) drain(ctx context.Context, searchers []string) []peer.ReleasedSearcher {
	drained := make([]peer.ReleasedSearcher, len(searchers))
	var waits sync.WaitGroup
	for i, searcher := range searchers {
		waits.Go(func() {
			drained[i] = m.config.Holder.Drain(ctx, searcher)
			drained[i].ID = searcher
			m.mu.Lock()
			defer m.mu.Unlock()
			if !m.used[searcher] {
				drained[i].Cold, drained[i].Allowance = true, neverUsed
			}
		})
	}
	waits.Wait()
	return drained
}

func (m *membership) release(ctx context.Context, to control.Member, epoch uint64, searchers []peer.ReleasedSearcher) {
	request := peer.Release{Domain: m.domain, Epoch: epoch, From: m.config.Self.ID, Searchers: searchers}
	var reply peer.ReleaseReply
	if err := m.call(ctx, to.Address, peer.KindRelease, &request, &reply); err != nil || !reply.Accepted {
		m.config.Log.Debug("release not accepted", "to", to.ID, "error", err)
		return
	}
	m.metrics.released.Add(float64(len(searchers)))
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range searchers {
		m.handed[handover{to.ID, s.ID}] = to.Joined
		delete(m.used, s.ID)
	}
}

// serveRelease takes searchers over. It accepts only when it knows the epoch at
// which they were released, so that the release is not forgotten.
func (m *Member) serveRelease(_ context.Context, s *peer.Stream) error {
	var request peer.Release
	if err := s.Receive(&request); err != nil {
		return err
	}
	seat := m.membershipIn(request.Domain)
	return s.Send(&peer.ReleaseReply{Accepted: seat != nil && seat.takeRelease(request)})
}

func (m *membership) takeRelease(request peer.Release) bool {
	if m.config.Holder == nil {
		return false
	}
	m.mu.Lock()
	if m.takeover.Epoch() < request.Epoch {
		m.mu.Unlock()
		return false
	}
	for _, searcher := range request.Searchers {
		m.takeover.ObserveRelease(request.From, request.Epoch, searcher.ID)
	}
	m.mu.Unlock()
	for _, searcher := range request.Searchers {
		if searcher.Allowance > neverUsed {
			m.config.Holder.Take(searcher)
		}
	}
	return true
}

// Leave hands all searchers over and leaves all records. The process stays in
// the roster as leaving, so that its peers stop using it. An error means that
// ctx ended first and that the record may still name the process.
func (m *Member) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.home.sendHeartbeat(ctx)
	if !m.isBroker() {
		return nil
	}
	var leaves errgroup.Group
	for _, seat := range m.memberships() {
		leaves.Go(func() error { return seat.leave(ctx) })
	}
	if err := leaves.Wait(); err != nil {
		return err
	}
	m.spreadNow(ctx)
	return nil
}

func (m *membership) leave(ctx context.Context) error {
	m.handAllOver(ctx)
	if ctx.Err() != nil {
		// Work may still run, so the record keeps naming this process and the
		// next owners wait until it is over.
		return errors.Annotate(ctx.Err(), "searchers not drained")
	}
	for {
		m.sendHeartbeat(ctx)
		left, err := m.leaveRecord(ctx)
		if left || m.hasLeft() {
			m.config.Log.Info("left the record", "id", m.config.Self.ID, "domain", m.domain)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "record still names this process, last attempt: %v", err)
		case <-time.After(m.config.Timing.Heartbeat / 2):
		}
	}
}

// hasLeft reports whether the coordinator has taken this process out of the record.
func (m *membership) hasLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left
}

// handAllOver drains each searcher and releases it to the member that owns it
// once this process has left.
func (m *membership) handAllOver(ctx context.Context) {
	all := m.searchers()
	var drained []peer.ReleasedSearcher
	if m.config.Holder != nil {
		drained = m.drain(ctx, all)
	}
	m.mu.Lock()
	for _, searcher := range all {
		m.given[searcher] = true
	}
	m.gone = true
	m.mu.Unlock()
	record, _ := m.record()
	if record == nil {
		return
	}
	remaining := slices.DeleteFunc(slices.Clone(record.Members), func(o control.Member) bool { return o.ID == m.config.Self.ID })
	byOwner := make(map[control.Member][]peer.ReleasedSearcher)
	for _, searcher := range drained {
		if owner, ok := assign.Owner(remaining, searcher.ID); ok {
			byOwner[owner] = append(byOwner[owner], searcher)
		}
	}
	for owner, searchers := range byOwner {
		m.release(ctx, owner, record.Epoch, searchers)
	}
}

// leaveRecord reports whether the newest known record does not name this
// process, after trying to write that.
func (m *membership) leaveRecord(ctx context.Context) (bool, error) {
	record, version := m.record()
	if record == nil {
		return true, nil
	}
	if _, ok := record.Member(m.config.Self.ID); !ok {
		return true, nil
	}
	change := m.change(record)
	change.Heartbeats = nil
	change.Left = []string{m.config.Self.ID}
	err := m.write(ctx, *record, version, change)
	m.metrics.writes.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		return false, errors.Annotatef(err, "read back: %v", m.readRecord(ctx))
	}
	return true, nil
}

// spreadNow sends the state to a few peers and waits for them.
func (m *Member) spreadNow(ctx context.Context) {
	var calls sync.WaitGroup
	for i, address := range m.peers() {
		if i < pushPeers {
			calls.Go(func() { m.exchange(ctx, address) })
		}
	}
	calls.Wait()
}
