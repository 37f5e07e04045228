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
	maxHeartbeatBytes = 4 << 10
)

// heartbeat is what an instance says of itself.
type heartbeat struct {
	Name    string `json:"n"`
	Started int64  `json:"s"`
	Ready   bool   `json:"r"`
	Follows bool   `json:"f"`
	// Filled says that it holds listings of all kinds.
	Filled bool `json:"l"`
	// Newest holds the revision of the newest change that it knows, by kind.
	Newest map[string]int64 `json:"v"`
	// Searchers holds what it has seen of searchers that failed or were slow.
	Searchers []searcherReport `json:"h,omitempty"`
}

// searcherReport is a balance.Report on the wire.
type searcherReport struct {
	Searcher  string `json:"i"`
	Answered  int    `json:"a,omitempty"`
	Failed    int    `json:"f,omitempty"`
	LatencyMs int64  `json:"l,omitempty"`
}

// maxReports keeps a heartbeat with reports within one packet.
const maxReports = 24

func (x *Exchange) reports() []searcherReport {
	var all []searcherReport
	for _, r := range x.config.Reports(maxReports) {
		all = append(all, searcherReport{Searcher: r.Searcher, Answered: r.Answered, Failed: r.Failed, LatencyMs: r.MeanLatency.Milliseconds()})
	}
	return all
}

func (h *heartbeat) reports() []balance.Report {
	var all []balance.Report
	for _, r := range h.Searchers {
		all = append(all, balance.Report{
			Searcher: r.Searcher, Answered: r.Answered, Failed: r.Failed, MeanLatency: time.Duration(r.LatencyMs) * time.Millisecond,
		})
	}
	return all
}

func (x *Exchange) heartbeat() heartbeat {
	h := heartbeat{
		Name: x.config.Self.Name, Started: x.config.Self.StartUnixMs,
		Ready: x.config.Ready(), Follows: x.config.StoreReachable(), Filled: x.filled(), Newest: make(map[string]int64, len(x.config.Mirrors)),
	}
	for kind, m := range x.config.Mirrors {
		h.Newest[kind] = m.NewestChange()
	}
	return h
}

// SendHeartbeats sends a heartbeat to the other instances that are to get one. Reports of
// searchers go only to those of the same failure domain, whose way to them is alike.
func (x *Exchange) SendHeartbeats() {
	h := x.heartbeat()
	far := x.encode(h)
	h.Searchers = x.reports()
	near := x.encode(h)
	x.mu.Lock()
	x.told = time.Now()
	x.mu.Unlock()
	for _, i := range x.config.Instances.HeartbeatTargets(x.config.IsLeader()) {
		to, err := netip.ParseAddrPort(i.InternalAddress)
		if err != nil {
			continue // the entry was checked when it was taken; others are not reached by heartbeats
		}
		text := far
		if i.FailureDomain == x.config.Self.FailureDomain {
			text = near
		}
		if _, err := x.socket.WriteToUDPAddrPort(text, netip.AddrPortFrom(to.Addr(), uint16(x.port))); err != nil {
			x.config.Log.Debug("heartbeat was not sent", "to", i.Name, "error", err.Error())
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

// receive takes the heartbeats of other instances until the socket is closed.
func (x *Exchange) receive() {
	buffer := make([]byte, maxHeartbeatBytes)
	for {
		n, from, err := x.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			x.config.Log.Debug("heartbeat was not received", "error", err.Error())
			continue
		}
		var h heartbeat
		if err := json.Unmarshal(buffer[:n], &h); err != nil {
			x.config.Log.Warn("heartbeat can't be read", "from", from.String(), "error", err.Error())
			continue
		}
		says := fleet.HeartbeatStatus{Ready: h.Ready, StoreReachable: h.Follows}
		known, ok := x.config.Instances.RecordHeartbeat(h.Name, h.Started, x.config.Clock.Boottime(), says)
		if !ok {
			x.learnOf(h, from.Addr().String())
			continue
		}
		if !h.Follows {
			x.config.OnStoreOutage()
		}
		x.config.OnReports(h.reports())
		x.catchUp(h, known)
	}
}

// learnOf fetches the entries of instances from one that is not known here, if it knows
// newer ones. Instances serve each other at the same port.
func (x *Exchange) learnOf(h heartbeat, ip string) {
	kind := x.config.InstanceKind
	m := x.config.Mirrors[kind]
	_, port, err := net.SplitHostPort(x.config.Self.InternalAddress)
	if err != nil || m == nil || m.Revision() == 0 || h.Newest[kind] <= m.NewestChange() {
		return
	}
	go x.pull(context.Background(), kind, net.JoinHostPort(ip, port))
}
