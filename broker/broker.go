// Package broker owns searchers: it holds their connections, slots, queues and
// cold-start state, and serves the parts and bookings that entries and claim
// owners send.
package broker

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	// reconcileInterval bounds how long a missed change of control state stays
	// unnoticed.
	reconcileInterval = time.Second
	// takenLifetime is how long the state of a searcher that was released to
	// this broker is kept for it. Later it says nothing about how warm it is.
	takenLifetime = 10 * time.Second
)

// Ownership says what may be dispatched to a searcher at this moment. Grant is
// called before every dispatch and must not block.
type Ownership interface {
	Grant(searcher string) assign.Grant
}

// Config describes a Broker.
type Config struct {
	// ID is the incarnation under which domain records list this broker.
	ID        string
	State     *control.State
	Ownership Ownership
	Clock     clock.Clock
	Log       *slog.Logger
	Registry  prometheus.Registerer
}

// Validate returns an error that names the first setting that is missing.
func (c Config) Validate() error {
	switch {
	case c.ID == "":
		return errors.New("id is missing")
	case c.State == nil:
		return errors.New("state is missing")
	case c.Ownership == nil:
		return errors.New("ownership is missing")
	case c.Clock == nil:
		return errors.New("clock is missing")
	case c.Log == nil:
		return errors.New("log is missing")
	case c.Registry == nil:
		return errors.New("registry is missing")
	}
	return nil
}

// taken is the state of a searcher as its former owner released it.
type taken struct {
	released peer.ReleasedSearcher
	at       time.Duration
}

// Broker owns the searchers that the control state assigns to it.
type Broker struct {
	config  Config
	metrics *metrics
	changes *broadcast
	// ended receives after an owner has ended, so that it is forgotten.
	ended chan struct{}

	running sync.WaitGroup

	mu       sync.Mutex
	owners   map[string]*owner
	owned    *owned
	taken    map[string]taken
	stopping bool
}

// New returns a broker that owns nothing until Run.
func New(config Config) (*Broker, error) {
	if err := config.Validate(); err != nil {
		return nil, errors.Annotate(err, "broker")
	}
	b := &Broker{
		config:  config,
		changes: newBroadcast(),
		ended:   make(chan struct{}, 1),
		owners:  make(map[string]*owner),
		owned:   newOwned(config.ID),
		taken:   make(map[string]taken),
	}
	b.metrics = newMetrics(b)
	if err := b.metrics.register(config.Registry); err != nil {
		return nil, errors.Annotate(err, "metrics")
	}
	return b, nil
}

// Run owns searchers until ctx ends. Work that is running then is given up.
func (b *Broker) Run(ctx context.Context) error {
	changed := b.config.State.Subscribe()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	defer b.running.Wait()
	b.running.Go(func() { b.compareSiblings(ctx) })
	for {
		b.reconcile(ctx, b.config.State.View())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-b.ended:
		case <-ticker.C:
		}
	}
}

// reconcile makes the owners agree with the control state.
func (b *Broker) reconcile(ctx context.Context, view *control.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if view.Settings == nil || b.stopping || ctx.Err() != nil {
		return
	}
	owned := b.owned.update(view)
	for _, p := range owned {
		b.hold(ctx, view, p)
	}
	for id, o := range b.owners {
		if p, ok := owned[id]; ok && p.Address == o.address {
			continue
		}
		o.retire()
		if o.ended() {
			delete(b.owners, id)
		}
	}
}

// hold creates or updates the owner of a searcher. The caller holds the lock.
func (b *Broker) hold(ctx context.Context, view *control.View, p settings.Placement) {
	o := b.owners[p.ID]
	switch {
	case o == nil || o.ended():
		o = b.start(ctx, p)
		if o == nil {
			return
		}
	case o.address != p.Address:
		// The old one ends its work first, so that the limits of a searcher that
		// moved are not exceeded.
		return
	}
	if t, ok := b.taken[p.ID]; ok {
		delete(b.taken, p.ID)
		if b.config.Clock.Boottime()-t.at <= takenLifetime {
			o.inherit(t.released)
		}
	}
	o.configure(p, blockedBy(view, p))
}

func (b *Broker) start(ctx context.Context, p settings.Placement) *owner {
	o, err := newOwner(b, p)
	if err != nil {
		b.config.Log.Error("searcher is not usable", "searcher", p.ID, "error", err)
		return nil
	}
	b.owners[p.ID] = o
	b.running.Go(func() { o.run(ctx) })
	b.config.Log.Info("owning searcher", "searcher", p.ID, "address", p.Address)
	return o
}

// blockedBy returns the order that keeps new work from a searcher, or nil.
func blockedBy(view *control.View, p settings.Placement) *result.Error {
	switch {
	case view.Out(control.OrderDomain, p.FailureDomain):
		return result.NotRun(result.DomainOut, "%s", p.FailureDomain)
	case view.Out(control.OrderUpstream, p.ID):
		return result.NotRun(result.UpstreamDraining, "by order")
	}
	return nil
}

// owner returns the owner of a searcher, or nil if this broker holds it not.
func (b *Broker) owner(searcher string) *owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.owners[searcher]
}

// all returns the owners, sorted by searcher.
func (b *Broker) all() []*owner {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]*owner, 0, len(b.owners))
	for _, o := range b.owners {
		all = append(all, o)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	return all
}

// submit hands a job to the owner of its searcher, or refuses it.
func (b *Broker) submit(j *job) {
	b.mu.Lock()
	o, stopping := b.owners[j.searcher], b.stopping
	b.mu.Unlock()
	j.owner = o
	switch {
	case stopping:
		b.refuse(j, result.NotRun(result.Stopping, ""))
	case o == nil || o.ended():
		b.refuse(j, result.NotRun(result.NotOwner, "%s", j.searcher))
	case !o.submit(j):
		b.refuse(j, result.NotRun(result.QueueFull, "%s", j.searcher))
	}
}

func (b *Broker) refuse(j *job, err *result.Error) {
	b.metrics.refused(err)
	j.finish(outcome{err: err})
}

// Drain stops new dispatches to the searcher, waits until its work has ended
// or ctx has, and returns its cold-start state. It implements member.Holder.
func (b *Broker) Drain(ctx context.Context, searcher string) peer.ReleasedSearcher {
	cold := peer.ReleasedSearcher{ID: searcher, Cold: true}
	o := b.owner(searcher)
	if o == nil {
		return cold
	}
	o.release()
	select {
	case <-o.idle:
		return o.released()
	case <-o.stopped:
	case <-ctx.Done():
		b.config.Log.Warn("searcher released with work running", "searcher", searcher)
	}
	return cold
}

// Take receives a searcher that its former owner released. It implements
// member.Holder.
func (b *Broker) Take(released peer.ReleasedSearcher) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o := b.owners[released.ID]; o != nil && !o.ended() {
		o.inherit(released)
		return
	}
	b.taken[released.ID] = taken{released: released, at: b.config.Clock.Boottime()}
}

// Stop refuses new work and waits until the work of all searchers has ended or
// ctx has.
func (b *Broker) Stop(ctx context.Context) {
	b.mu.Lock()
	b.stopping = true
	b.mu.Unlock()
	var draining sync.WaitGroup
	for _, o := range b.all() {
		draining.Go(func() { b.Drain(ctx, o.id) })
	}
	draining.Wait()
}

// SearcherStatus is what the operator port shows of one searcher.
type SearcherStatus struct {
	Searcher    string             `json:"searcher"`
	Service     string             `json:"service"`
	Address     string             `json:"address"`
	Queued      int                `json:"queued"`
	Running     int                `json:"running"`
	Abandoned   int                `json:"abandoned"`
	Slots       int                `json:"slots"`
	Allowance   int                `json:"allowance"`
	Connections int                `json:"connections"`
	QueueWait   time.Duration      `json:"queue_wait_ns"`
	State       peer.SearcherState `json:"state"`
}

// Status returns the state of every searcher that the broker holds, sorted.
func (b *Broker) Status() []SearcherStatus {
	var all []SearcherStatus
	for _, o := range b.all() {
		all = append(all, *o.status.Load())
	}
	return all
}
