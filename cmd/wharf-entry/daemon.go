package main

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/entry"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	defaultLifetime    = 5 * time.Second
	defaultStopTimeout = 30 * time.Second

	// leaveTimeout bounds the announcement of a stop to the coordinator.
	leaveTimeout = 2 * time.Second
	// rosterLag is how long other entries may still give out the address of one
	// that leaves: until its coordinator's roster has reached them by the
	// exchange of control state.
	rosterLag = 2 * time.Second
)

// membership is the part of the membership runtime that the daemon uses.
type membership interface {
	Handlers() map[peer.Kind]peer.Handler
	Run(ctx context.Context, node *peer.Node) error
	Ready() <-chan struct{}
	Reason() error
	Leave(ctx context.Context) error
}

// daemon is the running process.
type daemon struct {
	process *settings.Process
	log     *slog.Logger
	members membership
	node    *peer.Node
	entry   *entry.Entry
	server  *caller.Server
	failed  chan error
	cancel  context.CancelFunc
}

// start wires the process and returns once it listens.
func start(ctx context.Context, p *settings.Process, static staticOptions, log *slog.Logger) (*daemon, error) {
	if p.AddressLifetime == 0 {
		p.AddressLifetime = defaultLifetime
	}
	if p.StopTimeout == 0 {
		p.StopTimeout = defaultStopTimeout
	}
	// Each start is an incarnation of its own, so that state about an earlier one
	// is never taken for this one's.
	id := p.ID + "-" + uuid.NewString()[:8]
	log = log.With("id", id)
	state := control.NewState()
	registry := prometheus.NewRegistry()
	members, err := newMembership(p, id, static, state, registry, log)
	if err != nil {
		return nil, err
	}
	certificate, err := identity.Load(identity.Files{Certificate: p.Certificate, Key: p.Key, CA: p.CA})
	if err != nil {
		return nil, err
	}
	node, err := peer.Listen(peer.Config{Address: p.PeerAddress, Identity: certificate, Handlers: members.Handlers(), Log: log})
	if err != nil {
		return nil, err
	}
	d := &daemon{process: p, log: log, members: members, node: node, failed: make(chan error, 3)}
	d.entry, err = entry.New(entry.Config{
		ID:              id,
		CallerAddress:   p.CallerAddress,
		AddressLifetime: p.AddressLifetime,
		State:           state,
		Node:            node,
		Clock:           clock.System{},
		Seed:            time.Now().UnixNano(),
		NotReady:        d.notReady,
		Log:             log,
		Registry:        registry,
	})
	if err != nil {
		_ = node.Close()
		return nil, err
	}
	handler := caller.NewHandler(caller.HandlerConfig{Engine: d.entry, Clock: clock.System{}, Log: log})
	d.server, err = caller.Listen(p.CallerAddress, handler, log)
	if err != nil {
		_ = node.Close()
		return nil, err
	}
	ctx, d.cancel = context.WithCancel(ctx)
	go d.watch("membership", func() error { return members.Run(ctx, node) })
	go d.watch("entry", func() error { return d.entry.Run(ctx) })
	go d.watch("callers", d.server.Serve)
	log.Info("listening", "callers", d.server.Address(), "peers", node.Address(), "failure_domain", p.FailureDomain)
	return d, nil
}

// watch reports a duty that ended with an error.
func (d *daemon) watch(duty string, run func() error) {
	if err := run(); err != nil && !errors.Is(err, context.Canceled) {
		d.failed <- errors.Annotate(err, duty)
	}
}

// notReady returns why the process does not serve yet, or nil.
func (d *daemon) notReady() error {
	select {
	case <-d.members.Ready():
		return nil
	default:
	}
	if err := d.members.Reason(); err != nil {
		return err
	}
	return errors.New("membership is starting")
}

// stop ends the process without interrupting a request.
func (d *daemon) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.process.StopTimeout)
	defer cancel()
	d.entry.Leave()
	leave, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	if err := d.members.Leave(leave); err != nil {
		// Other entries then list this one until its heartbeats are missed; it
		// serves for that time too.
		d.log.Warn("leave was not announced", "error", err)
	}
	err := d.server.Stop(ctx, d.process.AddressLifetime+rosterLag)
	d.close()
	if err != nil {
		d.log.Warn("stopped with requests open", "error", err)
		return errors.Annotatef(err, "not all requests ended in %s", d.process.StopTimeout)
	}
	d.log.Info("stopped")
	return nil
}

func (d *daemon) close() {
	_ = d.server.Close()
	d.cancel()
	_ = d.node.Close()
}
