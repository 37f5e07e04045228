// Package quotaexchange carries the messages by which instances keep the quotas of client accounts
// together: delegations to coordinators, and questions to them for tokens. Package quota decides.
package quotaexchange

import (
	"context"
	"encoding/json"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/datagram"
	"github.com/wisteriawharf/wisteriawharf/quota"
)

// Peer is an instance with the address at which it gets datagrams.
type Peer struct {
	quota.Member
	Address netip.Addr
}

// Sender sends messages to instances, as datagram.Socket does.
type Sender interface {
	Send(to netip.Addr, kind datagram.Kind, message any)
}

// Config holds the dependencies of an Exchange.
type Config struct {
	// Self is the name of this instance, StartUnixMs its start.
	Self        string
	StartUnixMs int64
	Bounds      quota.Bounds
	Socket      Sender
	// Peers returns the known instances, this one included, and by how many the quotas are divided.
	Peers func(now time.Duration) ([]Peer, int)
	// Counted reports whether the other instances have counted this one among those that share the
	// quotas for at least a time. It is called at least every quota.AskInterval.
	Counted func(now, atLeast time.Duration) bool
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// Limited reports whether an account has a limit. Limit returns the limit of an account, which is
	// zero if it is not known or has none.
	Limited func() bool
	Limit   func(account string) quota.Limit
	// Share returns this instance's part of what the instances may use on their own, see retry.Share.
	Share    func() (instances int, position float64)
	Clock    clock.Clock
	Log      *slog.Logger
	Registry prometheus.Registerer
}

// Exchange admits requests of accounts with a limit. It is safe for concurrent use.
type Exchange struct {
	config  Config
	metrics *metrics
	// started is when the process started.
	started time.Duration

	mu          sync.Mutex
	delegator   *quota.Delegator
	coordinator *quota.Coordinator
	holder      *quota.Holder
	// addresses holds the addresses of the instances, sharers by how many the quotas are divided.
	// candidate says that this instance may be a coordinator.
	addresses map[string]netip.Addr
	sharers   int
	candidate bool
	// solicitedAt is when a coordinator last asked for delegations.
	solicitedAt time.Duration
	solicited   bool
	// coordinators and shares are what was last logged.
	coordinators [quota.Buckets]string
	shares       [quota.Buckets]float64
	sweptAt      time.Duration
}

// New returns an exchange. It registers its metrics, and panics if config.Registry has them already.
func New(config Config) *Exchange {
	return &Exchange{
		config: config, metrics: newMetrics(config.Registry), started: config.Clock.Boottime(),
		delegator: quota.NewDelegator(config.Bounds.Window, config.Clock.Boottime()), coordinator: quota.NewCoordinator(config.Bounds),
		// The time makes the IDs of questions differ from those of an earlier process.
		holder: quota.NewHolder(config.Bounds, uint64(config.Clock.Now().UnixNano())),
	}
}

const (
	// sweepInterval is the time between two removals of idle accounts.
	sweepInterval = 10 * time.Second
	// countedDelay is how long an instance waits after its entry is known, so that all coordinators divide
	// the quotas by one more. A coordinator takes delegations only of instances that it knows.
	countedDelay = 300 * time.Millisecond
	// In startTime after the start, an instance checks every startInterval whether there is
	// a configuration with limits, so that quotas are there soon after callers are served.
	startTime     = 3 * time.Second
	startInterval = 100 * time.Millisecond
	// solicitedTimeout is how long this instance answers coordinators after the last question
	// if its own configuration has no limits.
	solicitedTimeout = 10 * time.Second
)

// Run asks for delegations if this instance may be a coordinator, until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	if clock.Pause(ctx, rand.N(startInterval)) != nil {
		return
	}
	for clock.Pause(ctx, e.tick()) == nil {
	}
}

// tick does what Run does in each interval, and returns the time until it has to be done again.
func (e *Exchange) tick() time.Duration {
	now := e.config.Clock.Boottime()
	limited := e.config.Limited()
	e.config.Counted(now, 0) // must be called in each interval, see Config
	e.mu.Lock()
	if !limited && !(e.solicited && now-e.solicitedAt <= solicitedTimeout) {
		e.mu.Unlock()
		if now-e.started < startTime {
			return startInterval
		}
		return quota.AskInterval
	}
	e.mu.Unlock()
	candidate := e.updatePeers(now)
	e.metrics.accounts.Set(float64(e.Accounts()))
	if !candidate || !limited {
		return quota.AskInterval
	}
	return e.solicit(now)
}

// updatePeers updates what is known of the other instances, and removes idle accounts when that is due. It
// reports whether this instance may be a coordinator.
func (e *Exchange) updatePeers(now time.Duration) (candidate bool) {
	peers, sharers := e.config.Peers(now)
	members := make([]quota.Member, 0, len(peers))
	addresses := make(map[string]netip.Addr, len(peers))
	for _, p := range peers {
		members = append(members, p.Member)
		addresses[p.Name] = p.Address
	}
	candidates := quota.Candidates(members)
	candidate = slices.Contains(candidates, e.config.Self)

	e.mu.Lock()
	defer e.mu.Unlock()
	e.addresses, e.sharers, e.candidate = addresses, sharers, candidate
	e.delegator.SetCandidates(candidates)
	e.logChanges(now)
	if now-e.sweptAt >= sweepInterval {
		e.holder.Sweep(now)
		e.coordinator.Sweep(now)
		e.sweptAt = now
	}
	return candidate
}

// solicit asks all instances for delegations, or tells them that this one will coordinate no longer if it is
// stopping. It returns the time until it has to be called again.
func (e *Exchange) solicit(now time.Duration) time.Duration {
	stopping := e.config.Stopping()
	e.mu.Lock()
	addresses := e.addresses
	e.mu.Unlock()
	m := message{Type: typeSolicit, From: e.config.Self, Start: e.config.StartUnixMs, AskedAt: int64(now)}
	if stopping {
		m = message{Type: typeLeave, From: e.config.Self}
	}
	for name, address := range addresses {
		if name != e.config.Self {
			m.Claims = e.holds(name, now)
			e.config.Socket.Send(address, datagram.Quota, m)
		}
	}
	m.Claims = false
	if stopping {
		e.left(m)
		return quota.AskInterval
	}
	e.delegated(e.delegation(m))
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.coordinator.NextAsk(e.delegator, e.config.Self, now)
}

// holds reports whether an instance delegates anything to this one.
func (e *Exchange) holds(name string, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.coordinator.Holds(name, now)
}

// Accounts returns the number of accounts in memory.
func (e *Exchange) Accounts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder.Len() + e.coordinator.Len()
}

// shareChange is the change of a share that is logged.
const shareChange = 0.1

// logChanges logs which instances coordinate, and which part of the quotas this one has as
// a coordinator. The caller holds the lock.
func (e *Exchange) logChanges(now time.Duration) {
	changed := make(map[[2]string][]int)
	for b := range quota.Buckets {
		coordinator := e.delegator.Coordinator(b, now)
		if before := e.coordinators[b]; before != coordinator {
			changed[[2]string{before, coordinator}] = append(changed[[2]string{before, coordinator}], b)
			e.coordinators[b] = coordinator
		}
		share := e.coordinator.Share(b, now)
		if before := e.shares[b]; math.Abs(share-before) >= shareChange || (share == 0) != (before == 0) {
			e.config.Log.Info("part of quotas changed", "bucket", b, "before", before, "share", share)
			e.shares[b] = share
		}
	}
	for names, buckets := range changed {
		e.config.Log.Info("quota coordinator changed", "buckets", buckets, "before", names[0], "coordinator", names[1])
	}
}

// Handle handles a message. It is a datagram.Handler.
func (e *Exchange) Handle(from netip.Addr, content []byte) {
	var m message
	if err := json.Unmarshal(content, &m); err != nil {
		e.config.Log.Debug("quota message can't be read", "from", from.String(), "error", err.Error())
		return
	}
	switch {
	case m.Type == typeSolicit:
		e.config.Socket.Send(from, datagram.Quota, e.delegation(m))
	case m.Type == typeDelegation:
		e.delegated(m)
	case m.Type == typeLeave:
		e.left(m)
	case m.Type == typeQuestion && m.Question != nil:
		e.config.Socket.Send(from, datagram.Quota, e.answer(m.Question.decode()))
	case m.Type == typeGrant && m.Grant != nil:
		e.granted(m.Grant.decode())
	}
}

// delegation returns the reply to a question for delegations.
func (e *Exchange) delegation(m message) message {
	// The time must be read before the reply is sent and after the question was, so that the lease of
	// the coordinator ends first.
	now := e.config.Clock.Boottime()
	may := e.config.Counted(now, countedDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.solicited, e.solicitedAt = true, now
	reply := message{Type: typeDelegation, From: e.config.Self, Start: m.Start, AskedAt: m.AskedAt, Instances: e.sharers}
	reply.Mask, reply.Credit = e.delegator.Asked(m.From, m.Start, m.Claims, may, now)
	e.holder.Heard(func(b int) bool { return e.delegator.Coordinator(b, now) == m.From })
	return reply
}

// delegated applies a reply to a question for delegations.
func (e *Exchange) delegated(m message) {
	if m.Start != e.config.StartUnixMs {
		return // to a question of an earlier process
	}
	now := e.config.Clock.Boottime()
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, known := e.addresses[m.From]; !known {
		return // it is not counted here yet
	}
	e.coordinator.Delegate(m.From, m.Mask, m.Credit, max(m.Instances, e.sharers), time.Duration(m.AskedAt), now)
}

// left notes that an instance will coordinate no longer.
func (e *Exchange) left(m message) {
	now := e.config.Clock.Boottime()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delegator.Leaves(m.From, m.Claims, now)
}

// answer returns the reply to a question for tokens.
func (e *Exchange) answer(q quota.Question) message {
	own := e.config.Limit(q.Account)
	now := e.config.Clock.Boottime()
	e.mu.Lock()
	defer e.mu.Unlock()
	return message{Type: typeGrant, From: e.config.Self, Grant: encodeGrant(e.coordinator.Answer(q, own, now))}
}

// granted applies a reply to a question for tokens.
func (e *Exchange) granted(g quota.Grant) {
	own := e.config.Limit(g.Account)
	contact := e.contact()
	now := e.config.Clock.Boottime()
	e.mu.Lock()
	contact.Reachable = true
	next, asks := e.holder.Receive(g, own, contact, now)
	to := e.coordinatorOf(g.Account, now)
	e.mu.Unlock()
	if asks {
		e.ask(to, next)
	}
}

// coordinatorOf returns the coordinator of an account, empty if there is none. The caller holds the
// lock.
func (e *Exchange) coordinatorOf(account string, now time.Duration) string {
	return e.delegator.Coordinator(quota.BucketOf(account), now)
}

// ask sends a question to a coordinator, which may be this instance.
func (e *Exchange) ask(to string, q quota.Question) {
	if to == e.config.Self {
		m := e.answer(q)
		e.granted(m.Grant.decode())
		return
	}
	e.mu.Lock()
	address, ok := e.addresses[to]
	e.mu.Unlock()
	if ok {
		e.config.Socket.Send(address, datagram.Quota, message{Type: typeQuestion, From: e.config.Self, Question: encodeQuestion(q)})
	}
}
