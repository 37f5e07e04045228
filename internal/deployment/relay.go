package deployment

import (
	"fmt"
	"net/netip"

	"github.com/wisteriawharf/wisteriawharf/internal/relay"
)

// startRelays starts the relays of all instances, if the deployment has any.
func (d *Deployment) startRelays() error {
	if !d.config.Relays {
		return nil
	}
	for _, i := range d.Instances {
		for _, port := range []int{entryPeerPort, brokerPeerPort} {
			r, err := relay.NewUDPAt(fmt.Sprintf("%s:%d", i.IP, port), fmt.Sprintf("%s:%d", i.IP, port+behindRelay))
			if err != nil {
				return err
			}
			i.Peers = append(i.Peers, r)
		}
		r, err := relay.NewTCP(d.platformAddress)
		if err != nil {
			return err
		}
		i.Platform = r
	}
	return nil
}

// Cut separates an instance from all others and from the platform; its entry
// and its broker still reach each other, callers and searchers. With false it is
// joined again. The deployment needs relays.
func (d *Deployment) Cut(name string, cut bool) {
	for _, i := range d.Instances {
		alone := i.Name == name
		if alone {
			i.Platform.Freeze(cut)
		}
		for _, r := range i.Peers {
			if !cut {
				r.Allow(nil)
				continue
			}
			own := d.Instance(name).IP
			r.Allow(func(client netip.Addr) bool { return (client.String() == own) == alone })
		}
	}
}

// SilencePeers makes all present connections between processes silent.
func (d *Deployment) SilencePeers() {
	for _, i := range d.Instances {
		for _, r := range i.Peers {
			r.SilenceExisting()
		}
	}
}

func (i *Instance) closeRelays() {
	for _, r := range i.Peers {
		_ = r.Close()
	}
	if i.Platform != nil {
		_ = i.Platform.Close()
	}
}
