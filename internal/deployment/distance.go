package deployment

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/wisteriawharf/wisteriawharf/internal/relay"
)

// Distance delays traffic in each direction. It needs the deployment's relays.
type Distance struct {
	// Domains is the delay between processes of different failure domains.
	Domains time.Duration
	// Callers is the delay between callers and entries.
	Callers time.Duration
}

// distant is what delays the traffic of a deployment.
type distant struct {
	callers []*relay.TCP
	// apart counts flows between processes of different failure domains.
	apart atomic.Int64
}

// startDistance delays the relays between processes and starts those before the
// entries' caller addresses.
func (d *Deployment) startDistance() error {
	if !d.config.Relays {
		return nil
	}
	domains := make(map[string]string)
	for _, i := range d.Instances {
		domains[i.IP] = i.Domain
	}
	for _, i := range d.Instances {
		for _, r := range i.Peers {
			r.SetDistance(func(client netip.Addr) time.Duration {
				if d.config.Distance.Domains == 0 || domains[client.String()] == i.Domain {
					return 0
				}
				d.distant.apart.Add(1)
				return d.config.Distance.Domains
			})
		}
		r, err := relay.NewTCPAt(i.EntryAddress(), i.callerListen())
		if err != nil {
			return err
		}
		r.SetDelay(d.config.Distance.Callers)
		d.distant.callers = append(d.distant.callers, r)
	}
	return nil
}

// callerListen is where an entry behind a relay listens for callers.
func (i *Instance) callerListen() string { return fmt.Sprintf("%s:%d", i.IP, callerPort+behindRelay) }

// FlowsApart returns the number of flows between processes of different failure
// domains that were delayed.
func (d *Deployment) FlowsApart() int64 { return d.distant.apart.Load() }

func (d *Deployment) closeDistance() {
	for _, r := range d.distant.callers {
		_ = r.Close()
	}
}
