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
	Name           string `json:"n"`
	StartUnixMs    int64  `json:"s"`
	Ready          bool   `json:"r"`
	StoreReachable bool   `json:"f"`
	// HasListings says that the instance holds listings of all kinds.
	HasListings bool `json:"l"`
	// NewestChange holds the revision of the newest change that the instance knows, by
	// kind.
	NewestChange map[string]int64 `json:"v"`
	// SearcherReports holds reports about searchers that failed or were slow.
	SearcherReports []searcherReport `json:"h,omitempty"`
}

// searcherReport is the encoded form of a balance.Report.
type searcherReport struct {
	Searcher  string `json:"i"`
	Answered  int    `json:"a,omitempty"`
	Failed    int    `json:"f,omitempty"`
	LatencyMs int64  `json:"l,omitempty"`
}

// maxReports limits the reports in a heartbeat, so that it fits into one packet.
const maxReports = 24

// encodedReports returns the reports of this instance in the encoded form of a heartbeat.
func (x *Exchange) encodedReports() []searcherReport {
	var all []searcherReport
	for _, r := range x.config.Reports(maxReports) {
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

// heartbeat returns the heartbeat of this instance, without reports.
func (x *Exchange) heartbeat() heartbeat {
	h := heartbeat{
		Name: x.config.Self.Name, StartUnixMs: x.config.Self.StartUnixMs,
		Ready: x.config.Ready(), StoreReachable: x.config.StoreReachable(), HasListings: x.hasListings(), NewestChange: make(map[string]int64, len(x.config.Mirrors)),
	}
	for kind, m := range x.config.Mirrors {
		h.NewestChange[kind] = m.NewestChange()
	}
	return h
}

// SendHeartbeats sends a heartbeat to each instance that fleet.Instances.HeartbeatTargets
// returns. Reports about searchers go only to instances of the same failure domain, because
// those reach the searchers over a similar network path. A heartbeat that can't be sent is
// only logged, and an instance whose address is not an IP address and a port gets none.
func (x *Exchange) SendHeartbeats() {
	h := x.heartbeat()
	withoutReports := x.encode(h)
	h.SearcherReports = x.encodedReports()
	withReports := x.encode(h)
	x.mu.Lock()
	x.lastSent = time.Now()
	x.mu.Unlock()
	for _, i := range x.config.Instances.HeartbeatTargets(x.config.IsLeader()) {
		to, err := netip.ParseAddrPort(i.InternalAddress)
		if err != nil {
			continue // an instance whose address is not an IP address and a port gets no heartbeats
		}
		packet := withoutReports
		if i.FailureDomain == x.config.Self.FailureDomain {
			packet = withReports
		}
		if _, err := x.socket.WriteToUDPAddrPort(packet, netip.AddrPortFrom(to.Addr(), uint16(x.heartbeatPort))); err != nil {
			x.config.Log.Debug("heartbeat could not be sent", "to", i.Name, "error", err.Error())
		}
	}
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
		status := fleet.HeartbeatStatus{Ready: h.Ready, StoreReachable: h.StoreReachable}
		sender, ok := x.config.Instances.RecordHeartbeat(h.Name, h.StartUnixMs, x.config.Clock.Boottime(), status)
		if !ok {
			x.fetchFromUnknownSender(h, from.Addr().String())
			continue
		}
		if !h.StoreReachable {
			x.config.OnStoreOutage()
		}
		x.config.OnReports(h.decodedReports())
		x.catchUp(h, sender)
	}
}

// fetchFromUnknownSender fetches the entries of the instances from the sender of a heartbeat
// that matches no known instance, if the sender knows newer entries. It connects to the port of
// this instance's internal address, because all instances use the same one.
func (x *Exchange) fetchFromUnknownSender(h heartbeat, ip string) {
	kind := x.config.InstanceKind
	m := x.config.Mirrors[kind]
	_, port, err := net.SplitHostPort(x.config.Self.InternalAddress)
	if err != nil || m == nil || m.Revision() == 0 || h.NewestChange[kind] <= m.NewestChange() {
		return
	}
	go x.fetch(context.Background(), kind, net.JoinHostPort(ip, port))
}
