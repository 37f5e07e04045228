package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/detect"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
)

// Member is the membership runtime of one process.
type Member struct {
	config  Config
	domain  string
	metrics *metrics
	ready   chan struct{}
	node    atomic.Pointer[peer.Node]
	contact contact

	// wakePush and wakeRelease are signalled after changes of the state.
	wakePush    chan struct{}
	wakeRelease chan struct{}

	mu       sync.Mutex
	rights   *assign.Rights
	takeover *assign.Takeover
	// renewed is when the domain's record or this process's lease was last seen
	// to be renewed.
	renewed  time.Duration
	renewal  uint64
	version  uint64
	detector *detect.Detector
	// heard holds the last heartbeat of each process, while this one coordinates.
	heard        map[string]heartbeat
	acked        map[string]uint64
	coordinating bool
	leaving      bool
	// given holds searchers that were drained on leaving.
	given map[string]bool
	// handed holds releases that were accepted, with the epoch at which the
	// receiver had joined.
	handed map[handover]uint64
	used   map[string]bool
	// settled is the state for which every release was accepted.
	settled settlement
	// gone is set once this process dispatches nothing any more.
	gone bool
	// pushed is the changeSum that was last pushed to peers.
	pushed uint64

	// rosterMu orders changes of the roster, trying attempts to reach the
	// platform for a confirmation.
	rosterMu sync.Mutex
	trying   sync.Mutex
}

// heartbeat is one received heartbeat with the time of its arrival.
type heartbeat struct {
	peer.Heartbeat
	at time.Duration
}

// New returns a Member that does nothing before Run.
func New(config Config) (*Member, error) {
	if err := config.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	if config.Timing == (Timing{}) {
		config.Timing = DefaultTiming()
	}
	t := config.Timing
	terms := assign.Terms{Lease: t.Lease, Work: t.Work}
	m := &Member{
		config:      config,
		domain:      config.Self.FailureDomain,
		ready:       make(chan struct{}),
		wakePush:    make(chan struct{}, 1),
		wakeRelease: make(chan struct{}, 1),
		rights:      assign.NewRights(config.Self.ID, terms),
		takeover:    assign.NewTakeover(config.Self.ID, terms),
		renewed:     config.Clock.Boottime(),
		detector:    detect.New(detect.Timing{Silence: t.Silence, Removal: t.Removal}),
		heard:       make(map[string]heartbeat),
		acked:       make(map[string]uint64),
		given:       make(map[string]bool),
		handed:      make(map[handover]uint64),
		used:        make(map[string]bool),
	}
	metrics, err := newMetrics(config.Registry, m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m.metrics = metrics
	return m, nil
}

// Handlers returns the handlers to register with the node that Run is given.
func (m *Member) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindHeartbeat:   m.serveHeartbeat,
		peer.KindProbe:       m.serveProbe,
		peer.KindConfirm:     m.serveConfirm,
		peer.KindAcknowledge: m.serveAcknowledge,
		peer.KindRelease:     m.serveRelease,
		peer.KindExchange:    m.serveExchange,
	}
}

// Run takes part in the membership until ctx ends. The error is that of ctx.
func (m *Member) Run(ctx context.Context, node *peer.Node) error {
	m.node.Store(node)
	t := m.config.Timing
	changes := m.config.State.Subscribe()
	m.observe()
	group, ctx := errgroup.WithContext(ctx)
	loop := func(interval time.Duration, wake <-chan struct{}, step func(context.Context)) {
		group.Go(func() error { return repeat(ctx, interval, wake, step) })
	}
	loop(t.Heartbeat, changes, func(context.Context) { m.observe() })
	loop(t.Heartbeat, nil, m.sendHeartbeat)
	loop(t.Exchange, nil, m.exchangeWithOne)
	loop(t.WatchCheck, m.wakePush, m.pushChange)
	loop(t.Renewal, nil, m.establish)
	if m.isBroker() {
		loop(t.Renewal, nil, m.renew)
		loop(t.Heartbeat/2, nil, m.detectLost)
		loop(t.Heartbeat, nil, m.confirm)
		loop(t.Heartbeat, nil, m.collectAcknowledgements)
		loop(t.Heartbeat, m.wakeRelease, m.releaseMoved)
		loop(t.Heartbeat, nil, m.recordDirectOrders)
		for _, prefix := range []string{prefixDomains, prefixRevisions, prefixOrders} {
			loop(t.Heartbeat/2, nil, m.watcher(prefix))
		}
	}
	return group.Wait()
}

// repeat runs step at once, then after each interval and each wake.
func repeat(ctx context.Context, interval time.Duration, wake <-chan struct{}, step func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-wake:
		}
	}
}

// Ready returns a channel that is closed once the newest settings are
// established and, for a broker, its first lease is granted.
func (m *Member) Ready() <-chan struct{} { return m.ready }

// Reason returns why the process is not ready, as a result.Error; nil once it
// is.
func (m *Member) Reason() error {
	select {
	case <-m.ready:
		return nil
	default:
	}
	if m.config.State.View().Revision == 0 {
		return result.NotRun(result.SettingsUnknown, "neither the platform nor a serving instance has given settings")
	}
	return result.NotRun(result.NoRight, "no lease was granted yet")
}

// Grant returns what this process may dispatch to the searcher now.
func (m *Member) Grant(searcher string) assign.Grant {
	view := m.config.State.View()
	none := assign.Grant{Share: assign.ShareNone, WarmOnly: true}
	if view.Settings == nil || view.Settings.Searchers[searcher].FailureDomain != m.domain {
		return none
	}
	now := m.config.Clock.Boottime()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone || m.given[searcher] {
		return none
	}
	grant := assign.Combine(m.rights.At(now), m.takeover.Share(searcher, now))
	if grant.Share != assign.ShareNone {
		m.used[searcher] = true
	}
	return grant
}

// PlatformReachable reports for a broker whether the platform answered when it
// was last asked, or granted this process a lease that still runs. An entry asks
// only when it starts, so that it says nothing of one.
func (m *Member) PlatformReachable() bool {
	if m.contact.fresh(m.config.Clock.Boottime(), m.config.Timing.Lease) {
		return m.contact.reachable()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rights.At(m.config.Clock.Boottime()) == assign.RightLeased
}

func (m *Member) isBroker() bool { return m.config.Self.Role == control.RoleBroker }

// record returns the newest known record of the own failure domain and the
// version of its object; nil if none is known.
func (m *Member) record() (*control.Record, uint64) {
	// The item may be newer than the view read before it, which makes the
	// conditional update fail, so it is read first.
	item, _ := m.config.State.Item(control.PrefixDomain + m.domain)
	return m.config.State.View().Records[m.domain], item.Minor
}

// observe brings rights and takeover up to the newest known record.
func (m *Member) observe() {
	now := m.config.Clock.Boottime()
	m.mu.Lock()
	record, version := m.record()
	if record != nil && version >= m.version {
		m.version = version
		m.rights.Observe(record)
		m.takeover.Observe(record, now)
		if record.Renewal > m.renewal {
			m.renewal, m.renewed = record.Renewal, now
		}
		m.setCoordinating(record.Coordinator == m.config.Self.ID, now)
	}
	leased := m.rights.Granted() > 0
	m.mu.Unlock()
	m.checkReady(leased)
	signal(m.wakePush)
	signal(m.wakeRelease)
}

// setCoordinating starts the duties of a coordinator with no member suspected:
// one that has just begun has not had time to hear the others.
func (m *Member) setCoordinating(coordinating bool, now time.Duration) {
	if coordinating == m.coordinating {
		return
	}
	m.coordinating = coordinating
	t := m.config.Timing
	m.detector = detect.New(detect.Timing{Silence: t.Silence, Removal: t.Removal})
	m.heard = make(map[string]heartbeat)
	m.followRoster(now)
	m.config.Log.Info("coordinator changed", "domain", m.domain, "self", coordinating)
}

// followRoster keeps the processes of the former coordinator's roster listed
// until they are heard or found lost. What is known of them renews no lease.
func (m *Member) followRoster(now time.Duration) {
	roster := m.config.State.View().Rosters[m.domain]
	if !m.coordinating || roster == nil {
		return
	}
	for _, i := range roster.Instances {
		m.heard[i.ID] = heartbeat{at: now - m.config.Timing.Removal, Heartbeat: peer.Heartbeat{
			ID: i.ID, Role: string(i.Role), Domain: i.FailureDomain,
			PeerAddress: i.PeerAddress, CallerAddress: i.CallerAddress, OperatorAddress: i.OperatorAddress,
			Leaving: i.State == control.Leaving, Revision: i.Revision,
		}}
		m.detector.Follow(i.ID, now)
	}
}

func (m *Member) checkReady(leased bool) {
	if m.config.State.View().Revision == 0 || m.isBroker() && !leased {
		return
	}
	select {
	case <-m.ready:
	default:
		m.closeReady()
	}
}

func (m *Member) closeReady() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.ready:
	default:
		close(m.ready)
		m.config.Log.Info("ready", "id", m.config.Self.ID, "domain", m.domain)
	}
}

func (m *Member) call(ctx context.Context, address string, kind peer.Kind, request, response peer.Message) error {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timing.Call)
	defer cancel()
	return m.node.Load().Call(ctx, address, kind, request, response)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// peers returns the peer addresses of all other known processes, in random
// order.
func (m *Member) peers() []string {
	seen := map[string]bool{m.config.Self.PeerAddress: true}
	var addresses []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	view := m.config.State.View()
	for _, roster := range view.Rosters {
		for _, instance := range roster.Instances {
			add(instance.PeerAddress)
		}
	}
	for _, record := range view.Records {
		for _, member := range record.Members {
			add(member.Address)
		}
	}
	for _, seed := range m.config.Seeds {
		add(seed)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// addressOf returns the peer address of a process by its incarnation.
func (m *Member) addressOf(id string) (string, bool) {
	view := m.config.State.View()
	for _, record := range view.Records {
		if member, ok := record.Member(id); ok {
			return member.Address, true
		}
	}
	for _, roster := range view.Rosters {
		for _, instance := range roster.Instances {
			if instance.ID == id {
				return instance.PeerAddress, true
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.heard[id]
	return h.PeerAddress, ok
}
