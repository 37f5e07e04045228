package main

import (
	"context"
	"log/slog"
	"math"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/wisteriawharf/wisteriawharf/arrival"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/datagram"
	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/exchange"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/freshnessexchange"
	"github.com/wisteriawharf/wisteriawharf/gateway"
	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/quotaexchange"
)

// periodicInterval is the time between two runs of the periodic tasks.
const periodicInterval = 250 * time.Millisecond

// service is a gateway instance with all its components.
type service struct {
	settings  *platform.InstanceSettings
	log       *slog.Logger
	clock     clock.Clock
	registry  *prometheus.Registry
	store     *platform.StoreClient
	searchers *fleet.Searchers
	instances *fleet.Instances
	mirrors   map[string]*mirror.Mirror
	dispatch  *dispatch.Dispatcher
	gateway   *gateway.Gateway
	// configMetrics tells whether the newest configuration is in force in full.
	configMetrics configMetrics
	exchange      *exchange.Exchange
	datagrams     *datagram.Socket
	// rollouts moves services to other versions, nil if the settings allow no roll-outs.
	rollouts *rollouts
	// freshness tells how old the configuration may be.
	freshness *freshnessexchange.Exchange
	// quotas keeps the quotas of client accounts.
	quotas *quotaexchange.Exchange
	self   fleet.Instance
	outage mirror.OutageTracker
	// memory is the budget of the bytes that the instance holds for peers all together.
	memory *memory.Budget
	// startedAt is when the instance started, as returned by Boottime of the clock.
	startedAt time.Duration
	// processorTime measures the load of this instance. Only runPeriodicTasks uses it.
	processorTime loadMeter
	// stalls notices when the process stands still. stalledSeconds counts for how long.
	stalls         *arrival.StallDetector
	stalledSeconds prometheus.Counter
	// budgetSharers is by how many the budgets of the services are divided to get the part of this
	// instance.
	budgetSharers atomic.Int64
	// connectionShare is the part of this instance of the connections that the searchers accept.
	connectionShare atomic.Pointer[fleet.ConnectionShare]
	// position holds the bits of the place of this instance among those that share the
	// budgets, a float64.
	position atomic.Uint64
	// wasReady is the result of ready when the periodic tasks last ran. It is for functions
	// that are called while a mirror is locked, which ready would wait for.
	wasReady atomic.Bool
	// instancesKnown says, in the same way, that the entries of the other instances are known.
	instancesKnown atomic.Bool
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
}

func newService(settings *platform.InstanceSettings, log *slog.Logger) (*service, error) {
	s := &service{
		settings: settings, log: log, clock: clock.System{}, registry: prometheus.NewRegistry(),
		searchers: fleet.NewSearchers(), stalls: arrival.NewStallDetector(periodicInterval),
		stalledSeconds: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wharf_stalled_seconds_total",
			Help: "Time by which the periodic tasks ran late, because the process got no processor time or worked on something else.",
		}),
		memory: memory.ProcessBudget(settings.MemoryBytes),
		self: fleet.Instance{
			Name: settings.Name, FailureDomain: settings.FailureDomain, CallerAddress: settings.CallerAddress,
			ReadyAddress: settings.ReadyAddress, InternalAddress: settings.ExchangeAddress, StartUnixMs: time.Now().UnixMilli(),
			Cores: settings.Cores,
		},
	}
	s.startedAt = s.clock.Boottime()
	s.registry.MustRegister(collectors.NewGoCollector(), s.stalledSeconds)
	s.configMetrics = newConfigMetrics(s.registry)
	s.instances = fleet.NewInstances(s.self)
	s.budgetSharers.Store(startupMinSharers)
	s.connectionShare.Store(&fleet.ConnectionShare{Instances: unknownSharers})
	var err error
	s.store, err = platform.NewStoreClient(settings.StoreAddress, s.registry)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.store.Memory = s.memory
	s.dispatch = dispatch.New(dispatch.Config{
		Instance: settings.Name, FailureDomain: settings.FailureDomain, RegionOf: settings.RegionOf, Bounds: settings.Bounds, Clock: s.clock,
		InstanceCount:   func() int { return int(s.budgetSharers.Load()) },
		ConnectionShare: func() fleet.ConnectionShare { return *s.connectionShare.Load() },
		Position:        func() float64 { return math.Float64frombits(s.position.Load()) }, Log: log, Registry: s.registry,
		StalledBetween: s.stalls.StalledBetween, Memory: s.memory,
	})
	s.datagrams, err = datagram.Listen(internalPortAddress(settings, datagramPortOffset), log)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.createFreshness()
	s.createQuotas()
	s.gateway = gateway.New(gateway.Config{
		Dispatcher: s.dispatch, Freshness: s.freshness, Quotas: s.quotas, Clock: s.clock, Log: log, Registry: s.registry,
		StalledBetween: s.stalls.StalledBetween, Memory: s.memory,
	})
	if settings.Bounds.CanaryShare > 0 {
		s.rollouts = newRollouts(s)
		s.datagrams.Handle(datagram.Rollout, s.rollouts.receive)
	}
	s.createMirrors()
	s.exchange, err = exchange.Listen(exchange.Config{
		Self: s.self, HeartbeatAddress: internalPortAddress(settings, heartbeatPortOffset), Seeds: settings.Seeds, Instances: s.instances, Mirrors: s.mirrors, InstanceKind: platform.KindInstances,
		Ready: s.ready, IsLeader: s.isLeader, Clock: s.clock, Log: log, Reports: s.dispatch.TakeReports, OnReports: s.dispatch.ApplyReports,
		StoreReachable: func() bool { return !s.outage.Failing() }, OnStoreOutage: s.recordStoreFailure, Memory: s.memory,
		LinkBytesPerSecond: settings.LinkBytesPerSecond, Serves: func() bool { return s.instances.Serves(s.clock.Boottime()) },
	})
	return s, errors.Trace(err)
}

// Offsets of ports from the first internal port of the instance.
const (
	metricsPortOffset   = 0
	heartbeatPortOffset = 1
	datagramPortOffset  = 2
)

// internalPortAddress returns the address of one of the ports for traffic between
// instances. The offset counts from the first of these ports.
func internalPortAddress(settings *platform.InstanceSettings, offset int) string {
	return net.JoinHostPort(settings.IP, strconv.Itoa(settings.InternalPorts[0]+offset))
}

// startupMinSharers is the lower bound of budgetSharers during startupPeriod. In this
// time after its start, the instance learns which other instances there are. Without the
// bound it would use the budgets and connections as if it were alone.
const (
	startupMinSharers = 12
	startupPeriod     = 1200 * time.Millisecond
	// unknownSharers is by how many the connections are divided while the entries of the other instances
	// are not known. It leaves one connection to each searcher.
	unknownSharers = 1 << 20
)

// ready reports whether callers may be sent to this instance.
func (s *service) ready() bool {
	if s.stopping.Load() || s.gateway.RoutingConfig() == nil || s.awaitsFreshness() {
		return false
	}
	if s.rollouts != nil && s.mirrors[platform.KindRollouts].Revision() == 0 {
		return false // versions that no order allows would not be known
	}
	// The other instances must be known, because this one's share of the budgets depends on
	// their number.
	return s.mirrors[platform.KindSearchers].Revision() > 0 && s.mirrors[platform.KindInstances].Revision() > 0
}

// serve runs an instance. A signal other than SIGHUP starts a planned stop, and serve
// returns when the stop is complete. It returns an error if the instance can't start, if
// a server fails, or if the planned stop leaves requests open. When ctx ends, the
// background tasks stop, but serve doesn't return.
func serve(ctx context.Context, settings *platform.InstanceSettings, log *slog.Logger, signals <-chan os.Signal) error {
	s, err := newService(settings, log)
	if err != nil {
		return err
	}
	servers, err := s.startServers()
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
	go s.datagrams.Run(ctx)
	go s.freshness.Run(ctx)
	go s.quotas.Run(ctx)
	if s.rollouts != nil {
		go s.rollouts.run(ctx)
	}
	go s.registerInstance(ctx)
	go s.runPeriodicTasks(ctx)
	log.Info("started", "failure_domain", settings.FailureDomain, "callers", settings.CallerAddress, "store", settings.StoreAddress)
	for {
		select {
		case err := <-servers.failed:
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				// While a process runs, only the bounds in the settings file may change. The
				// stop grace period is read again when a stop begins, the others at the next start.
				log.Info("settings file may have changed, its grace counts for the next stop, the rest from the next start")
				continue
			}
			return s.stop(servers, s.stopSignalOf(sig))
		}
	}
}

// runPeriodicTasks runs the tasks that depend only on the time, until ctx ends. They update
// the number of budget sharers, and remove expired instances and searchers that have been
// missing for too long.
func (s *service) runPeriodicTasks(ctx context.Context) {
	ticker := time.NewTicker(periodicInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := s.clock.Boottime()
		s.wasReady.Store(s.ready())
		s.instancesKnown.Store(s.mirrors[platform.KindInstances].Revision() > 0)
		s.instances.SetLoad(s.processorTime.load(now))
		s.observeStall(now)
		s.updateBudgetSharers()
		s.removeExpiredInstances(ctx, now)
		for _, m := range s.mirrors {
			m.Settle(time.Now())
		}
		s.removeMissingSearchers(now)
	}
}

// observeStall logs if the periodic tasks run late: the process stood still, or worked on something
// else as the processor time tells.
func (s *service) observeStall(now time.Duration) {
	late := s.stalls.Tick(now)
	if late == 0 {
		return
	}
	s.instances.Resumed(late)
	s.stalledSeconds.Add(late.Seconds())
	s.log.Warn("process got no processor time or worked on something else", "late_ms", late.Milliseconds(),
		"processor_ms", s.processorTime.recent.Milliseconds(), "in_flight", s.gateway.InFlight())
}

// awake returns the time on the boot clock by which to judge the silence of other instances.
func (s *service) awake() time.Duration { return s.stalls.Awake(s.clock.Boottime()) }

// removeMissingSearchers removes searchers whose entries were not written again although the
// store answers.
func (s *service) removeMissingSearchers(now time.Duration) {
	if s.outage.Failing() {
		s.searchers.HoldMissing(now)
		return
	}
	for _, id := range s.searchers.Expire(now) {
		s.log.Info("missing searcher is removed, its entry was not written again", "searcher", id)
		s.dispatch.RemoveSearcher(id)
	}
}

// updateBudgetSharers updates budgetSharers, connectionShare and position. During startupPeriod it divides
// by at least startupMinSharers. Connections above the new part are closed.
func (s *service) updateBudgetSharers() {
	now := s.awake()
	n := s.instances.SharedBy(now, s.wasReady.Load())
	if now-s.startedAt < startupPeriod {
		n = max(n, startupMinSharers)
	}
	s.position.Store(math.Float64bits(s.instances.Position(now)))
	s.budgetSharers.Store(int64(n))
	if !s.instancesKnown.Load() {
		return
	}
	share := s.instances.ConnectionShare(now)
	if now-s.startedAt < startupPeriod {
		share.Instances = max(share.Instances, startupMinSharers)
	}
	if before := s.connectionShare.Swap(&share); share.Instances > before.Instances || share.Standby && !before.Standby {
		s.log.Info("part of the connections to searchers is smaller", "divided_by", share.Instances, "before", before.Instances, "standby", share.Standby)
		s.dispatch.CloseExcessConnections()
	}
}
