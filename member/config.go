// Package member is the membership runtime of a process: heartbeats, leases,
// the record and roster of its failure domain, and the exchange of control
// state with other processes.
package member

import (
	"context"
	"log/slog"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// Holder is the broker's side of a handover. It is nil in an entry.
type Holder interface {
	// Drain stops new dispatches to the searcher, waits until its work has ended
	// or ctx has, and returns its cold-start state.
	Drain(ctx context.Context, searcher string) peer.ReleasedSearcher
	// Take receives a searcher that its former owner released.
	Take(released peer.ReleasedSearcher)
}

// Config describes a Member.
type Config struct {
	// Self is the process as other processes see it. ID is the incarnation.
	Self control.Instance
	// Seeds are peer addresses of processes to contact first.
	Seeds []string
	// State receives all control state.
	State *control.State
	// Store is the platform.
	Store platform.Store
	// Holder takes part in handovers; nil for an entry.
	Holder   Holder
	Clock    clock.Clock
	Log      *slog.Logger
	Registry prometheus.Registerer
}

// Validate returns an error that names the first setting that is missing.
func (c Config) Validate() error {
	switch {
	case c.Self.ID == "":
		return errors.New("id is missing")
	case c.Self.FailureDomain == "":
		return errors.New("failure domain is missing")
	case c.Self.Role != control.RoleEntry && c.Self.Role != control.RoleBroker:
		return errors.Errorf("role %q is neither entry nor broker", c.Self.Role)
	case c.State == nil:
		return errors.New("state is missing")
	case c.Store == nil:
		return errors.New("store is missing")
	case c.Clock == nil:
		return errors.New("clock is missing")
	case c.Log == nil:
		return errors.New("log is missing")
	case c.Registry == nil:
		return errors.New("registry is missing")
	}
	return nil
}
