package deployment

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/wisteriawharf/wisteriawharf/internal/relay"
)

// Distance delays traffic in each direction, by relays before the instances.
type Distance struct {
	// Domains is the delay between processes of different failure domains.
	Domains time.Duration
	// Callers is the delay between callers and entries.
	Callers time.Duration
}

// relays are the relays before the instances, by the address they forward to.
type relays struct {
	peers   map[string]*relay.UDP
	callers map[string]*relay.TCP
	// apart counts flows between processes of different failure domains.
	apart atomic.Int64
}

// placeRelays opens a relay before each address of each instance.
func (d *Deployment) placeRelays() error {
	if d.config.Distance == (Distance{}) {
		return nil
	}
	d.relays = &relays{peers: make(map[string]*relay.UDP), callers: make(map[string]*relay.TCP)}
	domains := make(map[string]string)
	for _, i := range d.Instances {
		domains[i.IP] = i.Domain
	}
	for _, i := range d.Instances {
		distance := func(client netip.AddrPort) time.Duration {
			if domains[client.Addr().Unmap().String()] == i.Domain {
				return 0
			}
			d.relays.apart.Add(1)
			return d.config.Distance.Domains
		}
		for _, port := range []int{entryPeerPort, brokerPeerPort} {
			address := fmt.Sprintf("%s:%d", i.IP, port)
			r, err := relay.NewDistantUDP(address, distance)
			if err != nil {
				return err
			}
			d.relays.peers[address] = r
		}
		r, err := relay.NewTCP(i.EntryAddress())
		if err != nil {
			return err
		}
		r.SetDelay(d.config.Distance.Callers)
		d.relays.callers[i.EntryAddress()] = r
	}
	return nil
}

// reached returns the address at which others reach what listens on address.
func (d *Deployment) reached(address string) string {
	if d.relays == nil {
		return address
	}
	if r := d.relays.peers[address]; r != nil {
		return r.Address()
	}
	if r := d.relays.callers[address]; r != nil {
		return r.Address()
	}
	return address
}

// FlowsApart returns the number of flows between processes of different failure
// domains that were delayed.
func (d *Deployment) FlowsApart() int64 {
	if d.relays == nil {
		return 0
	}
	return d.relays.apart.Load()
}

func (d *Deployment) closeRelays() {
	if d.relays == nil {
		return
	}
	for _, r := range d.relays.peers {
		_ = r.Close()
	}
	for _, r := range d.relays.callers {
		_ = r.Close()
	}
}
