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
	// heartbeatInterval is the time between two heartbeats to each instance.
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
	// Searchers holds reports about searchers that failed or were slow.
	Searchers []searcherReport `json:"h,omitempty"`
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

// reports returns the reports of this instance for a heartbeat.
func (x *Exchange) reports() []searcherReport {
	var all []searcherReport
	for _, r := range x.config.Reports(maxReports) {
		all = append(all, searcherReport{Searcher: r.Searcher, Answered: r.Answered, Failed: r.Failed, LatencyMs: r.MeanLatency.Milliseconds()})
	}
	return all
}

// reports returns the reports that the heartbeat carries.
func (h *heartbeat) reports() []balance.Report {
	var all []balance.Report
	for _, r := range h.Searchers {
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
// those reach the searchers over a similar network path.
func (x *Exchange) SendHeartbeats() {
	h := x.heartbeat()
	far := x.encode(h)
	h.Searchers = x.reports()
	near := x.encode(h)
	x.mu.Lock()
	x.lastSent = time.Now()
	x.mu.Unlock()
	for _, i := range x.config.Instances.HeartbeatTargets(x.config.IsLeader()) {
		to, err := netip.ParseAddrPort(i.InternalAddress)
		if err != nil {
			continue // an instance whose address is not an IP address and a port gets no heartbeats
		}
		text := far
		if i.FailureDomain == x.config.Self.FailureDomain {
			text = near
		}
		if _, err := x.socket.WriteToUDPAddrPort(text, netip.AddrPortFrom(to.Addr(), uint16(x.port))); err != nil {
			x.config.Log.Debug("heartbeat could not be sent", "to", i.Name, "error", err.Error())
		}
	}
}

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
			x.pullFromUnknownSender(h, from.Addr().String())
			continue
		}
		if !h.StoreReachable {
			x.config.OnStoreOutage()
		}
		x.config.OnReports(h.reports())
		x.catchUp(h, sender)
	}
}

// pullFromUnknownSender fetches the entries of the instances from the sender of a heartbeat
// that matches no known instance, if the sender knows newer entries. The port is that of this
// instance, because all instances use the same one.
func (x *Exchange) pullFromUnknownSender(h heartbeat, ip string) {
	kind := x.config.InstanceKind
	m := x.config.Mirrors[kind]
	_, port, err := net.SplitHostPort(x.config.Self.InternalAddress)
	if err != nil || m == nil || m.Revision() == 0 || h.NewestChange[kind] <= m.NewestChange() {
		return
	}
	go x.pull(context.Background(), kind, net.JoinHostPort(ip, port))
}
