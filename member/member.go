package member

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
)

// Member is the membership runtime of one process.
type Member struct {
	config  Config
	metrics *metrics
	// home is the membership in the own failure domain, adoptions are those in
	// other domains, kept once they were begun.
	home        *membership
	adoptions   map[string]*membership
	adoptionsMu sync.Mutex
	renewals    map[string]renewal
	// follow starts the duties of a membership; set by Run.
	follow  func(*membership)
	ready   chan struct{}
	node    atomic.Pointer[peer.Node]
	contact contact

	// wakePush is signalled after changes of the state, wakeSettle when a revision
	// or a part of one was received.
	wakePush, wakeSettle chan struct{}

	// asked holds when parts were last asked of other processes, on the boot
	// clock.
	asked   map[string]time.Duration
	askedMu sync.Mutex

	// mu guards what follows and the fields of all memberships.
	mu      sync.Mutex
	leaving bool
	// consulted is set once the state was compared with other processes.
	consulted bool
	// pushed is the changeSum that was last pushed to peers.
	pushed uint64

	// rosterMu orders changes of the roster, trying attempts to reach the
	// platform for a confirmation.
	rosterMu sync.Mutex
	trying   sync.Mutex
}

// New returns a Member that does nothing before Run.
func New(config Config) (*Member, error) {
	if err := config.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	if config.Timing == (Timing{}) {
		config.Timing = DefaultTiming()
	}
	m := &Member{
		config:     config,
		ready:      make(chan struct{}),
		wakePush:   make(chan struct{}, 1),
		wakeSettle: make(chan struct{}, 1),
		asked:      make(map[string]time.Duration),
		adoptions:  make(map[string]*membership),
		renewals:   make(map[string]renewal),
	}
	m.home = newMembership(m, config.Self.FailureDomain)
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
	loop(t.Heartbeat, nil, m.home.sendHeartbeat)
	loop(t.Exchange, nil, m.exchangeWithOne)
	loop(t.Exchange, nil, m.consult)
	loop(t.WatchCheck, m.wakePush, m.pushChange)
	loop(t.WatchCheck, m.wakeSettle, func(context.Context) { m.settle() })
	loop(t.Renewal, nil, m.establish)
	if m.isBroker() {
		m.follow = func(seat *membership) {
			loop(t.Renewal, nil, seat.renew)
			loop(t.Heartbeat/2, nil, seat.detectLost)
			loop(t.Heartbeat, nil, seat.confirm)
			loop(t.Heartbeat, nil, seat.collectAcknowledgements)
			loop(t.Heartbeat, seat.wakeRelease, seat.releaseMoved)
			if seat.adopted() {
				loop(t.Heartbeat, nil, seat.sendHeartbeat)
				loop(t.Heartbeat, nil, seat.returnHome)
			}
		}
		m.follow(m.home)
		loop(t.Heartbeat, nil, m.adopt)
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
	if !m.isConsulted() {
		return result.NotRun(result.SettingsUnknown, "settings are being compared with other instances")
	}
	return result.NotRun(result.NoRight, "no lease was granted yet")
}

// Grant returns what this process may dispatch to the searcher now.
func (m *Member) Grant(searcher string) assign.Grant {
	view := m.config.State.View()
	none := assign.Grant{Share: assign.ShareNone, WarmOnly: true}
	if view.Settings == nil {
		return none
	}
	seat := m.membershipIn(view.Settings.Searchers[searcher].FailureDomain)
	if seat == nil {
		return none
	}
	now := m.config.Clock.Boottime()
	m.mu.Lock()
	defer m.mu.Unlock()
	if seat.gone || seat.given[searcher] {
		return none
	}
	grant := assign.NewGrant(seat.rights.At(now), seat.takeover.Share(searcher, now))
	if grant.Share != assign.ShareNone {
		seat.used[searcher] = true
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
	return m.home.rights.At(m.config.Clock.Boottime()) == assign.RightLeased
}

func (m *Member) isBroker() bool { return m.config.Self.Role == control.RoleBroker }

// observe brings all memberships up to the newest known records.
func (m *Member) observe() {
	for _, seat := range m.memberships() {
		seat.observeRecord()
		signal(seat.wakeRelease)
	}
	m.mu.Lock()
	leased := m.home.rights.LeaseStart() > 0
	m.mu.Unlock()
	m.checkReady(leased)
	signal(m.wakePush)
}

func (m *Member) checkReady(leased bool) {
	if m.config.State.View().Revision == 0 || !m.isConsulted() || m.isBroker() && !leased {
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
		m.config.Log.Info("ready", "id", m.config.Self.ID, "domain", m.home.domain)
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

// peers returns the peer addresses of the processes to exchange with, in random
// order: fixed partners among the known processes, and the seeds while there
// are fewer known.
func (m *Member) peers() []string {
	home, foreign := m.knownAddresses()
	self := m.config.Self.PeerAddress
	partners := append(assign.Top(home, self, homePartners), assign.Top(foreign, self, foreignPartners)...)
	if len(partners) < homePartners+foreignPartners {
		for _, seed := range m.config.Seeds {
			if seed != self && !slices.Contains(partners, seed) {
				partners = append(partners, seed)
			}
		}
	}
	rand.Shuffle(len(partners), func(i, j int) { partners[i], partners[j] = partners[j], partners[i] })
	return partners
}

// knownAddresses returns the peer addresses of the other processes of the own
// failure domain and of those elsewhere.
func (m *Member) knownAddresses() (home, foreign []string) {
	seen := map[string]bool{"": true, m.config.Self.PeerAddress: true}
	add := func(domain, address string) {
		if seen[address] {
			return
		}
		seen[address] = true
		if domain == m.config.Self.FailureDomain {
			home = append(home, address)
		} else {
			foreign = append(foreign, address)
		}
	}
	view := m.config.State.View()
	for _, roster := range view.Rosters {
		for _, instance := range roster.Instances {
			add(instance.FailureDomain, instance.PeerAddress)
		}
	}
	for domain, record := range view.Records {
		for _, member := range record.Members {
			add(cmp.Or(member.Domain, domain), member.Address)
		}
	}
	return home, foreign
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
	seats := m.memberships()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, seat := range seats {
		if h, ok := seat.heard[id]; ok {
			return h.PeerAddress, true
		}
	}
	return "", false
}
