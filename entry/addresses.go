package entry

import (
	"sort"

	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/control"
)

// Leave removes this entry from its own address answers. Other entries learn
// of it through their rosters.
func (e *Entry) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Addresses returns the entries that callers may use: those that are live, in
// failure domains that are in service. While no roster lists an entry, it
// returns the own address.
func (e *Entry) Addresses() caller.Addresses {
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	view := e.config.State.View()
	listed := false
	found := make(map[string]bool)
	for _, roster := range view.Rosters {
		for _, i := range roster.Instances {
			if i.Role != control.RoleEntry || i.CallerAddress == "" {
				continue
			}
			listed = true
			if i.State != control.Live || view.Out(control.OrderDomain, i.FailureDomain) || leaving && i.ID == e.config.ID {
				continue
			}
			found[i.CallerAddress] = true
		}
	}
	if !listed && !leaving && e.config.CallerAddress != "" {
		found[e.config.CallerAddress] = true
	}
	addresses := make([]string, 0, len(found))
	for a := range found {
		addresses = append(addresses, a)
	}
	sort.Strings(addresses)
	return caller.Addresses{Addresses: addresses, LifetimeSeconds: e.config.AddressLifetime.Seconds()}
}
