package main

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/datagram"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/quota"
	"github.com/wisteriawharf/wisteriawharf/quotaexchange"
)

// createQuotas creates the part of the instance that keeps the quotas of client accounts. The socket
// for datagrams must be open, and the gateway is created afterwards.
func (s *service) createQuotas() {
	counted := &countedSince{entered: s.entered}
	s.quotas = quotaexchange.New(quotaexchange.Config{
		Self: s.self.Name, StartUnixMs: s.self.StartUnixMs, Socket: s.datagrams, Peers: s.quotaPeers,
		Bounds:  quota.Bounds{Window: s.settings.Bounds.QuotaWindow, Overage: s.settings.Bounds.QuotaOverage, Slack: s.settings.Bounds.QuotaSlack},
		Counted: counted.atLeast, Stopping: s.stopping.Load, Limited: s.hasQuotas, Limit: s.quotaLimit,
		Share: func() (int, float64) {
			return int(s.budgetSharers.Load()), math.Float64frombits(s.position.Load())
		},
		Clock: s.clock, Log: s.log, Registry: s.registry,
	})
	s.datagrams.Handle(datagram.Quota, s.quotas.Handle)
}

// entered reports whether the store holds an entry of this instance, as far as it knows, and whether that
// is one of an earlier start. The other instances count either.
func (s *service) entered() (entered, earlier bool) {
	o, ok := s.mirrors[platform.KindInstances].Confirmed(s.self.Name)
	if !ok {
		return false, false
	}
	entry, err := platform.DecodeInstance(o)
	return true, err == nil && entry.StartUnixMs != s.self.StartUnixMs
}

// countedSince notes since when the other instances have counted this one, because the store holds its
// entry.
type countedSince struct {
	entered func() (entered, earlier bool)

	mu      sync.Mutex
	counted bool
	// since is when the entry was first seen. It is the start of the machine for one of an earlier
	// start of the instance, since the others have known that.
	since time.Duration
	seen  time.Duration
}

// missingEntryGrace is how long an instance counts as entered after its entry disappeared, for instance
// because the store came back from a copy. The others count it for 12 s (fleet.Instances.Known).
const missingEntryGrace = 8 * time.Second

// atLeast reports whether this instance has been counted for at least a time. It has to be called often.
func (c *countedSince) atLeast(now, atLeast time.Duration) bool {
	entered, earlier := c.entered()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case entered && !c.counted:
		c.counted, c.since, c.seen = true, now, now
		if earlier {
			c.since = 0
		}
	case entered:
		c.seen = now
	case c.counted && now-c.seen > missingEntryGrace:
		c.counted = false
	}
	return c.counted && now-c.since >= atLeast
}

// quotaPeers returns the known instances, and by how many the quotas are divided.
func (s *service) quotaPeers(now time.Duration) ([]quotaexchange.Peer, int) {
	instances, sharers := s.instances.Known(now)
	peers := make([]quotaexchange.Peer, 0, len(instances))
	for _, i := range instances {
		if address, ok := quotaPeerAddress(i); ok {
			peers = append(peers, quotaexchange.Peer{
				Member: quota.Member{Name: i.Name, FailureDomain: i.FailureDomain, Cores: i.Cores}, Address: address,
			})
		}
	}
	return peers, sharers
}

// quotaPeerAddress returns the address at which an instance gets datagrams.
func quotaPeerAddress(i fleet.Instance) (netip.Addr, bool) {
	address, err := netip.ParseAddrPort(i.InternalAddress)
	return address.Addr(), err == nil
}

// hasQuotas reports whether the configuration in force has a client account with a limit.
func (s *service) hasQuotas() bool {
	c := s.gateway.RoutingConfig()
	return c != nil && c.Accounts != nil && c.Accounts.Limited()
}

// quotaLimit returns the limit of a client account, which is zero if there is none.
func (s *service) quotaLimit(account string) quota.Limit {
	c := s.gateway.RoutingConfig()
	if c == nil || c.Accounts == nil {
		return quota.Limit{}
	}
	a := c.Accounts.Named(account)
	if a == nil {
		return quota.Limit{}
	}
	return quota.Limit{PerSecond: a.Quota.PerSecond, Burst: a.Quota.Burst, Version: c.Version}
}
