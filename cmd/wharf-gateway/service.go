package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/exchange"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/gateway"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

const (
	// tick is how often what depends on time alone is worked out again.
	tick = 250 * time.Millisecond
	// registerPause is the time between two tries to enter the instance in the
	// store.
	registerPause = 1 * time.Second
)

// service is the program with everything that it runs on.
type service struct {
	node      *platform.InstanceSettings
	log       *slog.Logger
	clock     clock.Clock
	registry  *prometheus.Registry
	store     *platform.StoreClient
	searchers *fleet.Searchers
	instances *fleet.Instances
	mirrors   map[string]*mirror.Mirror
	dispatch  *dispatch.Dispatcher
	gateway   *gateway.Gateway
	exchange  *exchange.Exchange
	self      fleet.Instance
	outage    mirror.OutageTracker
	started   time.Duration
	// sharers is the number of instances that share budgets and connections.
	sharers atomic.Int64
	leaving atomic.Bool
}

func newService(node *platform.InstanceSettings, log *slog.Logger) (*service, error) {
	s := &service{
		node: node, log: log, clock: clock.System{}, registry: prometheus.NewRegistry(),
		searchers: fleet.NewSearchers(),
		self: fleet.Instance{
			Name: node.Name, FailureDomain: node.FailureDomain, CallerAddress: node.CallerAddress,
			ReadyAddress: node.ReadyAddress, InternalAddress: node.ExchangeAddress, StartUnixMs: time.Now().UnixMilli(),
		},
	}
	s.started = s.clock.Boottime()
	s.registry.MustRegister(collectors.NewGoCollector())
	s.instances = fleet.NewInstances(s.self)
	s.sharers.Store(initialSharers)
	var err error
	s.store, err = platform.NewStoreClient(node.StoreAddress, s.registry)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.dispatch = dispatch.New(dispatch.Config{
		Instance: node.Name, FailureDomain: node.FailureDomain, RegionOf: node.RegionOf, Bounds: node.Bounds, Clock: s.clock,
		InstanceCount: func() int { return int(s.sharers.Load()) }, Log: log, Registry: s.registry,
	})
	s.gateway = gateway.New(gateway.Config{Dispatcher: s.dispatch, Clock: s.clock, Log: log, Registry: s.registry})
	s.follow()
	s.exchange, err = exchange.Listen(exchange.Config{
		Self: s.self, HeartbeatAddress: internalAddress(node, heartbeatPort), Seeds: node.Seeds, Instances: s.instances, Mirrors: s.mirrors, InstanceKind: platform.KindInstances,
		Ready: s.ready, IsLeader: s.leads, Clock: s.clock, Log: log, Reports: s.dispatch.TakeReports, OnReports: s.dispatch.ApplyReports,
		StoreReachable: func() bool { return !s.outage.Failing() }, OnStoreOutage: s.storeAway,
	})
	return s, errors.Trace(err)
}

// Ports of the instance's internal range, counted from its first.
const (
	metricsPort   = 0
	heartbeatPort = 1
)

func internalAddress(node *platform.InstanceSettings, port int) string {
	return net.JoinHostPort(node.IP, strconv.Itoa(node.InternalPorts[0]+port))
}

// initialSharers is the least that is assumed for initialTime, in which the other
// instances become known: one that starts must not take the whole of what all share.
const (
	initialSharers = 12
	initialTime    = 1200 * time.Millisecond
)

// ready reports whether callers may be sent here.
func (s *service) ready() bool {
	if s.leaving.Load() || s.gateway.Configuration() == nil {
		return false
	}
	// Without the other instances its part of the budgets is not known.
	return s.mirrors[platform.KindSearchers].Revision() > 0 && s.mirrors[platform.KindInstances].Revision() > 0
}

// serve runs the program until a signal ends it.
func serve(ctx context.Context, node *platform.InstanceSettings, log *slog.Logger, signals <-chan os.Signal) error {
	s, err := newService(node, log)
	if err != nil {
		return err
	}
	servers, err := s.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		s.exchange.FetchFromSeeds(ctx)
		for _, m := range s.mirrors {
			go m.Run(ctx)
		}
	}()
	go s.exchange.Run(ctx)
	go s.register(ctx)
	go s.keepTime(ctx)
	log.Info("started", "failure_domain", node.FailureDomain, "callers", node.CallerAddress, "store", node.StoreAddress)
	for {
		select {
		case err := <-servers.failed:
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				// The settings that may change while a process runs are bounds that
				// each start reads anew; a change asks for nothing here.
				log.Info("settings file may have changed")
				continue
			}
			return s.stop(servers)
		}
	}
}

// keepTime works out again what depends on time alone.
func (s *service) keepTime(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := s.clock.Boottime()
		s.countSharers()
		s.forget(ctx, now)
		for _, id := range s.searchers.Expire(now) {
			s.log.Info("searcher did not come back after the outage", "searcher", id)
			s.dispatch.RemoveSearcher(id)
		}
	}
}

// countSharers works out how many instances share the budgets.
func (s *service) countSharers() {
	now := s.clock.Boottime()
	n := s.instances.CountBudgetSharers(now)
	if now-s.started < initialTime {
		n = max(n, initialSharers)
	}
	s.sharers.Store(int64(n))
}

// forget removes the entries of instances that have long been silent, if this
// instance leads. Removing one twice does no harm.
func (s *service) forget(ctx context.Context, now time.Duration) {
	if !s.leads() {
		return
	}
	for _, i := range s.instances.Expired(now) {
		s.log.Info("entry of a silent instance is removed", "silent", i.Name)
		if err := s.store.Delete(ctx, platform.KindInstances, i.Name, i.Revision); err != nil {
			s.log.Warn("entry of a silent instance was not removed", "silent", i.Name, "error", err.Error())
		}
		s.instances.Remove(i.Name, now)
	}
}

// register enters the instance in the store, so that the others find it.
func (s *service) register(ctx context.Context) {
	for ctx.Err() == nil && !s.leaving.Load() {
		err := s.store.Put(ctx, platform.KindInstances, s.self.Name, platform.EncodeInstance(s.self))
		if err == nil {
			return
		}
		s.log.Warn("instance is not registered", "error", err.Error())
		_ = clock.Pause(ctx, registerPause) // its error is that of ctx, which the loop checks
	}
}

// leaveTimeout bounds the removal of the instance's entry from the store.
const leaveTimeout = 1 * time.Second

// stop is the planned stop: callers are sent elsewhere and served until their
// address answers have expired, then open requests end.
func (s *service) stop(servers *servers) error {
	s.log.Info("planned stop", "open", s.gateway.InFlight())
	s.leaving.Store(true)
	s.gateway.DisableKeepAlives()
	s.exchange.SendHeartbeats()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := s.store.Delete(ctx, platform.KindInstances, s.self.Name, 0); err != nil {
		// The others notice by their checks that this instance leaves.
		s.log.Warn("entry of the instance was not removed", "error", err.Error())
	}
	return servers.stop(s.node.Bounds.StopGrace)
}
