package exchange

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/mirror"
)

const (
	// heartbeatInterval is the time between two regular calls of SendHeartbeats.
	heartbeatInterval = 500 * time.Millisecond
	// maxHeartbeatBytes bounds a heartbeat that is received. A longer one is cut and can't
	// be decoded.
	maxHeartbeatBytes = 4 << 10
)

// heartbeat is the state of an instance as it sends it to others.
type heartbeat struct {
	Name        string `json:"n"`
	StartUnixMs int64  `json:"s"`
	// Sequence counts the heartbeats of this start, so that one that comes late is told from the newest.
	Sequence       uint64 `json:"k,omitempty"`
	Ready          bool   `json:"r"`
	StoreReachable bool   `json:"f"`
	// LoadMillicores is the processor time that the instance uses, in thousandths of a core.
	LoadMillicores int `json:"c,omitempty"`
	// HasListings says that the instance holds listings of all kinds.
	HasListings bool `json:"l"`
	// NewestChange holds the revision of the newest change that the instance knows, by
	// kind. The kinds for which it does not know the store's Epoch yet are left out.
	NewestChange map[string]int64 `json:"v"`
	Epoch        int64            `json:"e,omitempty"`
	// SearcherReports holds reports about searchers that failed or were slow. ForwardReports
	// asks the receiver, a relay, to pass them on.
	SearcherReports []searcherReport `json:"h,omitempty"`
	ForwardReports  bool             `json:"w,omitempty"`
	// Subscribe asks the receiver for digests.
	Subscribe bool `json:"q,omitempty"`
	// Digest is an encoded digest, see encodeDigest. It is not empty if the sender is a
	// relay of the receiver.
	Digest []byte `json:"d,omitempty"`
}

// searcherReport is the encoded form of a balance.Report.
type searcherReport struct {
	Searcher  string `json:"i"`
	Answered  int    `json:"a,omitempty"`
	Failed    int    `json:"f,omitempty"`
	LatencyMs int64  `json:"l,omitempty"`
}

// maxReports limits the reports in a heartbeat, so that it fits into one packet.
// maxReportsBesideDigest does so for the heartbeat of a relay.
const (
	maxReports             = 24
	maxReportsBesideDigest = 8
)

// takeReports returns the reports of this instance, and those that it passes on, in the
// encoded form of a heartbeat.
func (x *Exchange) takeReports(isRelay bool) []searcherReport {
	limit := maxReports
	if isRelay {
		limit = maxReportsBesideDigest
	}
	x.mu.Lock()
	reports := x.forward.Take(limit)
	x.mu.Unlock()
	reports = append(reports, x.config.Reports(limit-len(reports))...)
	var all []searcherReport
	for _, r := range reports {
		all = append(all, searcherReport{Searcher: r.Searcher, Answered: r.Answered, Failed: r.Failed, LatencyMs: r.MeanLatency.Milliseconds()})
	}
	return all
}

// decodedReports returns the reports that the heartbeat carries, as a balance.Report each.
func (h *heartbeat) decodedReports() []balance.Report {
	var all []balance.Report
	for _, r := range h.SearcherReports {
		all = append(all, balance.Report{
			Searcher: r.Searcher, Answered: r.Answered, Failed: r.Failed, MeanLatency: time.Duration(r.LatencyMs) * time.Millisecond,
		})
	}
	return all
}

// heartbeat returns the heartbeat of this instance, without reports. What it states is at least as new as that
// of any heartbeat with a lower sequence.
func (x *Exchange) heartbeat() heartbeat {
	x.stating.Lock()
	defer x.stating.Unlock()
	x.sequence++
	h := heartbeat{
		Name: x.config.Self.Name, StartUnixMs: x.config.Self.StartUnixMs, Sequence: x.sequence,
		Ready: x.config.Ready(), StoreReachable: x.config.StoreReachable(), LoadMillicores: int(1000 * x.config.Instances.Load()),
		HasListings: x.hasListings(), NewestChange: make(map[string]int64, len(x.config.Mirrors)),
	}
	for kind, m := range x.config.Mirrors {
		newest := m.NewestPosition()
		if newest.Epoch > h.Epoch {
			h.Epoch = newest.Epoch
			clear(h.NewestChange)
		}
		if newest.Epoch == h.Epoch {
			h.NewestChange[kind] = newest.Revision
		}
	}
	return h
}

// newest returns the position of the newest change of a kind that the sender knows.
func (h *heartbeat) newest(kind string) mirror.Position {
	revision, ok := h.NewestChange[kind]
	if !ok {
		return mirror.Position{}
	}
	return mirror.Position{Epoch: h.Epoch, Revision: revision}
}

// SendHeartbeats sends a heartbeat to each instance that fleet.Instances.HeartbeatTargets
// returns. Reports about searchers go only to instances of the same failure domain, because
// those reach the searchers over a similar network path. A heartbeat that can't be sent is
// only logged, and an instance whose address is not an IP address and a port gets none.
func (x *Exchange) SendHeartbeats() {
	now := x.config.Clock.Boottime()
	packets := &packetEncoder{x: x, base: x.heartbeat(), reports: x.takeReports(x.config.Instances.IsRelay(now))}
	x.mu.Lock()
	x.lastSent = time.Now()
	x.mu.Unlock()
	for _, target := range x.config.Instances.HeartbeatTargets(now, x.config.IsLeader()) {
		to, err := netip.ParseAddrPort(target.InternalAddress)
		if err != nil {
			continue // an instance whose address is not an IP address and a port gets no heartbeats
		}
		packet := packets.encode(now, target)
		if _, err := x.socket.WriteToUDPAddrPort(packet, netip.AddrPortFrom(to.Addr(), uint16(x.heartbeatPort))); err != nil {
			x.config.Log.Debug("heartbeat could not be sent", "to", target.Name, "error", err.Error())
		}
	}
}

// packetEncoder encodes the heartbeats that are sent at one time. Targets that get the same
// content share one encoded heartbeat.
type packetEncoder struct {
	x       *Exchange
	base    heartbeat
	reports []searcherReport
	digest  []byte
	encoded map[packetContent][]byte
}

// packetContent says what a heartbeat contains.
type packetContent struct{ subscribe, digest, reports, forward bool }

// encode returns the encoded heartbeat for a target.
func (p *packetEncoder) encode(now time.Duration, target fleet.HeartbeatTarget) []byte {
	content := packetContent{subscribe: target.Subscribe, digest: target.Digest}
	if len(p.reports) > 0 {
		content.reports, content.forward = target.Reports, target.Forward
	}
	if packet, ok := p.encoded[content]; ok {
		return packet
	}
	h := p.base
	h.Subscribe = content.subscribe
	if content.reports {
		h.SearcherReports = p.reports
		h.ForwardReports = content.forward
	}
	if content.digest {
		if p.digest == nil {
			p.digest = encodeDigest(p.x.config.Instances.Digest(now))
		}
		h.Digest = p.digest
	}
	if p.encoded == nil {
		p.encoded = make(map[packetContent][]byte)
	}
	p.encoded[content] = p.x.encode(h)
	return p.encoded[content]
}

// encode returns a heartbeat as JSON. It logs a failure and then returns nil.
func (x *Exchange) encode(h heartbeat) []byte {
	text, err := json.Marshal(h)
	if err != nil {
		x.config.Log.Error("heartbeat", "error", err.Error())
	}
	return text
}

// receive processes the heartbeats of other instances until the socket is closed.
func (x *Exchange) receive() {
	buffer := make([]byte, maxHeartbeatBytes)
	for {
		n, from, err := x.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			x.config.Log.Debug("heartbeat could not be received", "error", err.Error())
			continue
		}
		var h heartbeat
		if err := json.Unmarshal(buffer[:n], &h); err != nil {
			x.config.Log.Warn("heartbeat could not be decoded", "from", from.String(), "error", err.Error())
			continue
		}
		x.received(h, from)
	}
}

// received processes a heartbeat of another instance.
func (x *Exchange) received(h heartbeat, from netip.AddrPort) {
	now := x.config.Clock.Boottime()
	status := fleet.HeartbeatStatus{Sequence: h.Sequence, Ready: h.Ready, StoreReachable: h.StoreReachable, Load: float64(h.LoadMillicores) / 1000}
	sender, ok := x.config.Instances.RecordHeartbeat(h.Name, h.StartUnixMs, now, status)
	if !ok {
		x.fetchFromUnknownSender(h, from.Addr().String())
		return
	}
	if sender.Late {
		x.config.OnReports(h.decodedReports())
		return
	}
	if h.Subscribe {
		x.config.Instances.Subscribe(h.Name, now)
	}
	if !h.StoreReachable {
		x.config.OnStoreOutage()
	}
	if len(h.Digest) > 0 {
		x.applyDigest(h, now)
	}
	reports := h.decodedReports()
	x.config.OnReports(reports)
	if h.ForwardReports {
		x.mu.Lock()
		x.forward.Add(reports)
		x.mu.Unlock()
	}
	if x.config.Instances.IsRelay(now) && (sender.StatusChanged || h.ForwardReports && len(reports) > 0) {
		x.schedule(minForwardInterval)
	}
	x.catchUp(h, sender.Instance)
}

// minForwardInterval is the minimum time between the last heartbeats and those that a relay
// sends because of what it has received.
const minForwardInterval = 200 * time.Millisecond

// applyDigest records the digest of a relay.
func (x *Exchange) applyDigest(h heartbeat, now time.Duration) {
	entries, err := decodeDigest(h.Digest)
	if err != nil {
		x.config.Log.Warn("digest could not be decoded", "from", h.Name, "error", err.Error())
		return
	}
	x.config.Instances.ApplyDigest(h.Name, entries, now)
	for _, e := range entries {
		if !e.Status.StoreReachable {
			x.config.OnStoreOutage()
			return
		}
	}
}

// fetchFromUnknownSender fetches the entries of the instances from the sender of a heartbeat
// that matches no known instance, if the sender knows newer entries. It connects to the port of
// this instance's internal address, because all instances use the same one.
func (x *Exchange) fetchFromUnknownSender(h heartbeat, ip string) {
	kind := x.config.InstanceKind
	m := x.config.Mirrors[kind]
	_, port, err := net.SplitHostPort(x.config.Self.InternalAddress)
	if err != nil || m == nil || m.Revision() == 0 || !m.NewestPosition().Before(h.newest(kind)) {
		return
	}
	go x.fetch(context.Background(), kind, net.JoinHostPort(ip, port))
}
