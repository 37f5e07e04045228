package exchange

import (
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

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
}

func (x *Exchange) heartbeat() heartbeat {
	h := heartbeat{
		Name: x.config.Self.Name, Started: x.config.Self.Started,
		Ready: x.config.Ready(), Follows: x.config.Follows(), Filled: x.filled(), Newest: make(map[string]int64, len(x.config.Mirrors)),
	}
	for kind, m := range x.config.Mirrors {
		h.Newest[kind] = m.Newest()
	}
	return h
}

// Send sends a heartbeat to the other instances that are to get one.
func (x *Exchange) Send() {
	text, err := json.Marshal(x.heartbeat())
	if err != nil {
		x.config.Log.Error("heartbeat", "error", err.Error())
		return
	}
	x.mu.Lock()
	x.told = time.Now()
	x.mu.Unlock()
	for _, i := range x.config.Instances.Targets(x.config.Leads()) {
		to, err := netip.ParseAddrPort(i.InternalAddress)
		if err != nil {
			continue // the entry was checked when it was taken; others are not reached by heartbeats
		}
		if _, err := x.socket.WriteToUDPAddrPort(text, netip.AddrPortFrom(to.Addr(), uint16(x.port))); err != nil {
			x.config.Log.Debug("heartbeat was not sent", "to", i.Name, "error", err.Error())
		}
	}
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
		says := fleet.Says{Ready: h.Ready, Follows: h.Follows}
		if from, ok := x.config.Instances.Heard(h.Name, h.Started, x.config.Clock.Boottime(), says); ok {
			if !h.Follows {
				x.config.Outage()
			}
			x.catchUp(h, from)
		}
	}
}
