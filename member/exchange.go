package member

import (
	"context"
	"io"
	"slices"
	"sync"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
)

const (
	// pushPeers is how many peers hear of a change at once. Each passes it on,
	// so that few rounds reach all.
	pushPeers = 3
	// A process exchanges with a few others only, so that it keeps few
	// connections: half of them in its own failure domain, where most changes
	// begin, half elsewhere. Each process has others, and with eight of them
	// every process is a few exchanges away from any other.
	homePartners    = 4
	foreignPartners = 4
	// maxExchangeBytes keeps the items of one frame below the limit of frames.
	maxExchangeBytes = 768 << 10
)

// exchangeWithOne compares control state with one random partner.
func (m *Member) exchangeWithOne(ctx context.Context) {
	if peers := m.peers(); len(peers) > 0 {
		m.exchange(ctx, peers[0])
	}
}

// pushChange exchanges with a few peers after a change that others wait for. A
// renewal alone is none; it travels by the periodic exchange.
func (m *Member) pushChange(ctx context.Context) {
	sum := m.config.State.Digest()
	m.mu.Lock()
	same := sum == m.pushed
	m.pushed = sum
	m.mu.Unlock()
	if same {
		return
	}
	for i, address := range m.peers() {
		if i == pushPeers {
			return
		}
		go m.exchange(ctx, address)
	}
}

// exchange compares control state with one process. It reports whether that
// succeeded with a process that serves.
func (m *Member) exchange(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timing.Call)
	defer cancel()
	serving, err := m.exchangeFrames(ctx, address)
	m.metrics.exchanges.WithLabelValues(outcome(err)).Inc()
	if err != nil {
		m.config.Log.Debug("exchange failed", "peer", address, "error", err)
	}
	return serving && err == nil
}

func (m *Member) exchangeFrames(ctx context.Context, address string) (serving bool, err error) {
	s, err := m.node.Load().Open(ctx, address, peer.KindExchange)
	if err != nil {
		return false, err
	}
	defer s.Cancel()
	var reply peer.ExchangeReply
	if err := m.ask(s, &peer.Exchange{ID: m.config.Self.ID, Digest: m.config.State.Digest()}, &reply); err != nil {
		m.node.Load().Retest(address)
		return false, errors.Trace(err)
	}
	if !reply.Same {
		if err := m.compare(s); err != nil {
			return false, errors.Trace(err)
		}
	}
	if err := s.CloseSend(); err != nil {
		return false, errors.Trace(err)
	}
	// The end of the peer's side shows that a push was read.
	if err := s.Receive(&peer.ExchangeReply{}); err != io.EOF {
		return false, errors.Annotate(err, "end of exchange")
	}
	return reply.Serving, nil
}

// consult compares the state with others before this process serves, because a
// reading of the platform can be older than what is in force. One process that
// serves is enough: it did the same, and has had the changes since. If none of
// the known ones answers that it serves, the deployment is starting, and what
// the platform or another process gave has to do.
func (m *Member) consult(ctx context.Context) {
	if m.isConsulted() || m.config.State.View().Revision == 0 {
		return
	}
	var asked sync.WaitGroup
	for _, address := range m.peers() {
		asked.Go(func() {
			if m.exchange(ctx, address) {
				m.settle()
			}
		})
	}
	asked.Wait()
	if ctx.Err() != nil || len(m.config.State.MissingParts()) > 0 {
		return
	}
	m.settle()
	m.mu.Lock()
	m.consulted = true
	m.mu.Unlock()
	m.observe()
}

func (m *Member) isConsulted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.consulted
}

func (m *Member) ask(s *peer.Stream, request *peer.Exchange, reply *peer.ExchangeReply) error {
	if err := s.Send(request); err != nil {
		return err
	}
	return s.Receive(reply)
}

// compare offers the whole summary, takes what is newer at the peer and sends
// what the peer wants.
func (m *Member) compare(s *peer.Stream) error {
	summary := m.config.State.Summary()
	m.noteSent("summary", summary)
	var reply peer.ExchangeReply
	if err := m.ask(s, &peer.Exchange{ID: m.config.Self.ID, Full: true, Summary: frameItems(summary)}, &reply); err != nil {
		return err
	}
	m.offer(stateItems(reply.Newer))
	items := bounded(m.config.State.Items(reply.Wanted))
	m.noteSent("items", items)
	push := peer.ExchangePush{Items: frameItems(items)}
	if slices.ContainsFunc(reply.Newer, isSettings) {
		push.Wanted = m.wantedParts()
	}
	for len(push.Items)+len(push.Parts)+len(push.Wanted) > 0 {
		if err := s.Send(&push); err != nil {
			return err
		}
		var answer peer.ExchangeParts
		if err := s.Receive(&answer); err != nil {
			return err
		}
		m.takeParts(answer.Parts)
		m.answeredParts(push.Wanted)
		push = peer.ExchangePush{Parts: m.partsFor(answer.Wanted)}
		if len(answer.Parts) > 0 {
			push.Wanted = m.wantedParts()
		}
	}
	return nil
}

func (m *Member) serveExchange(_ context.Context, s *peer.Stream) error {
	var request peer.Exchange
	if err := s.Receive(&request); err != nil {
		return err
	}
	if !request.Full {
		same := request.Digest == m.config.State.Digest()
		if err := s.Send(&peer.ExchangeReply{Same: same, Serving: m.isConsulted()}); err != nil || same {
			return err
		}
		if err := s.Receive(&request); err != nil {
			return err
		}
	}
	newer, wanted := m.config.State.Compare(stateItems(request.Summary))
	newer = bounded(newer)
	m.noteSent("items", newer)
	if err := s.Send(&peer.ExchangeReply{Newer: frameItems(newer), Wanted: wanted}); err != nil {
		return err
	}
	var asked []string
	for {
		var push peer.ExchangePush
		if err := s.Receive(&push); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		m.offer(stateItems(push.Items))
		m.takeParts(push.Parts)
		m.answeredParts(asked)
		answer := peer.ExchangeParts{Parts: m.partsFor(push.Wanted)}
		if len(push.Parts) > 0 || slices.ContainsFunc(push.Items, isSettings) {
			answer.Wanted = m.wantedParts()
		}
		asked = answer.Wanted
		if err := s.Send(&answer); err != nil {
			return err
		}
	}
}

// isSettings reports whether the sender of the item holds all parts of a newer
// revision. Others are not asked, because meanwhile this one would not be.
func isSettings(item peer.Item) bool { return item.Name == control.ItemSettings }

// itemBytes is what an item takes in a frame besides its name and value.
const itemBytes = 16

func (m *Member) noteSent(content string, items []control.Item) {
	size := 0
	for _, item := range items {
		size += itemBytes + len(item.Name) + len(item.Value)
	}
	m.metrics.exchanged.WithLabelValues(content).Add(float64(size))
}

// offer hands items to the state. One that does not parse is dropped, so that
// a faulty process cannot replace the last good state. Settings are parsed apart
// from the exchange, which passes them on meanwhile.
func (m *Member) offer(items []control.Item) {
	for _, item := range items {
		take := m.config.State.Offer
		if item.Name == control.ItemSettings {
			take = m.config.State.TakeSettings
			defer signal(m.wakeSettle)
		}
		if _, err := take(item); err != nil {
			m.config.Log.Warn("control state refused", "item", item.Name, "error", err)
		}
	}
}

// bounded returns as many items as fit into one frame; the rest follows with
// later exchanges.
func bounded(items []control.Item) []control.Item {
	size := 0
	for i, item := range items {
		size += len(item.Name) + len(item.Value)
		if size > maxExchangeBytes && i > 0 {
			return items[:i]
		}
	}
	return items
}

func frameItems(items []control.Item) []peer.Item {
	frames := make([]peer.Item, len(items))
	for i, item := range items {
		frames[i] = peer.Item(item)
	}
	return frames
}

func stateItems(frames []peer.Item) []control.Item {
	items := make([]control.Item, len(frames))
	for i, frame := range frames {
		items[i] = control.Item(frame)
	}
	return items
}
