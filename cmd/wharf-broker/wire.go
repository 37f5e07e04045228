package main

import (
	"context"
	"log/slog"
	"maps"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/broker"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/member"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// membership is the part of the membership runtime that the daemon uses.
type membership interface {
	broker.Ownership
	Handlers() map[peer.Kind]peer.Handler
	Run(ctx context.Context, node *peer.Node) error
	Leave(ctx context.Context) error
}

// grants passes on the grants of a membership that is made after the broker.
// Until then it grants nothing.
type grants struct {
	membership atomic.Pointer[membership]
}

// Grant implements broker.Ownership.
func (g *grants) Grant(searcher string) assign.Grant {
	if m := g.membership.Load(); m != nil {
		return (*m).Grant(searcher)
	}
	return assign.Grant{}
}

// daemon is the broker with everything that it runs on.
type daemon struct {
	broker     *broker.Broker
	membership membership
	node       *peer.Node
	log        *slog.Logger
}

// wire builds the daemon. newMembership is the one place that selects the
// membership runtime.
func wire(p *settings.Process, o options, log *slog.Logger) (*daemon, error) {
	id, err := identity.Load(identity.Files{Certificate: p.Certificate, Key: p.Key, CA: p.CA})
	if err != nil {
		return nil, errors.Trace(err)
	}
	self := control.Instance{
		ID:              p.ID + "-" + uuid.NewString()[:8],
		Role:            control.RoleBroker,
		FailureDomain:   p.FailureDomain,
		PeerAddress:     p.PeerAddress,
		OperatorAddress: p.OperatorAddress,
		State:           control.Live,
	}
	log = log.With("id", self.ID)
	state, registry, rights := control.NewState(), prometheus.NewRegistry(), &grants{}
	b, err := broker.New(broker.Config{
		ID: self.ID, State: state, Ownership: rights, Clock: clock.System{}, Log: log, Registry: registry,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	m, err := newMembership(o, member.Config{
		Self: self, Seeds: p.Seeds, State: state, Holder: b, Clock: clock.System{}, Log: log, Registry: registry,
	})
	if err != nil {
		return nil, errors.Annotate(err, "membership")
	}
	rights.membership.Store(&m)
	handlers := b.Handlers()
	maps.Copy(handlers, m.Handlers())
	node, err := peer.Listen(peer.Config{Address: p.PeerAddress, Identity: id, Handlers: handlers, Log: log})
	if err != nil {
		return nil, errors.Trace(err)
	}
	log.Info("listening", "address", node.Address())
	return &daemon{broker: b, membership: m, node: node, log: log}, nil
}

// run ends when ctx does or a part of the daemon fails.
func (d *daemon) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.broker.Run(ctx) })
	group.Go(func() error { return d.membership.Run(ctx, d.node) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	_ = d.node.Close()
	return errors.Trace(err)
}

// stop hands all searchers over, leaves the record and finishes what work is
// left.
func (d *daemon) stop(ctx context.Context) {
	if err := d.membership.Leave(ctx); err != nil {
		d.log.Error("left without a complete handover", "error", err)
	}
	d.broker.Stop(ctx)
}
