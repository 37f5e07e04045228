// Package member is the membership runtime of a process: heartbeats, leases,
// the record and roster of its failure domain, and the exchange of control
// state with other processes.
package member

import (
	"context"
	"log/slog"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/settings"
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
	Store objectstore.Store
	// Holder takes part in handovers; nil for an entry.
	Holder   Holder
	Clock    clock.Clock
	Log      *slog.Logger
	Registry prometheus.Registerer
	// Timing is DefaultTiming if it is zero.
	Timing Timing
}

// Timing holds the intervals of the runtime. All processes of a deployment must
// use the same Lease and Work.
type Timing struct {
	// Lease is the lease duration D, Work the longest deadline of any work, W.
	Lease time.Duration
	Work  time.Duration
	// Heartbeat is the interval of heartbeats, Renewal that of record writes.
	Heartbeat time.Duration
	Renewal   time.Duration
	// Silence without a heartbeat leads to an indirect probe, Removal of
	// suspicion to removal from the record.
	Silence time.Duration
	Removal time.Duration
	// Exchange is the interval of exchanges with a random process.
	Exchange time.Duration
	// WatchCheck is how long a watch may be silent before it is checked.
	WatchCheck time.Duration
	// OutageSpread is the span over which contact is spread after an outage.
	OutageSpread time.Duration
	// Call bounds a call to a peer, PlatformCall one to the platform.
	Call         time.Duration
	PlatformCall time.Duration
}

// DefaultTiming returns the intervals of docs/design.md.
func DefaultTiming() Timing {
	return Timing{
		Lease:        6 * time.Second,
		Work:         settings.MaxDeadline,
		Heartbeat:    500 * time.Millisecond,
		Renewal:      2 * time.Second,
		Silence:      1500 * time.Millisecond,
		Removal:      3 * time.Second,
		Exchange:     300 * time.Millisecond,
		WatchCheck:   10 * time.Second,
		OutageSpread: 2 * time.Second,
		Call:         500 * time.Millisecond,
		PlatformCall: time.Second,
	}
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
