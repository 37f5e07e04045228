// Package exchange sends heartbeats and changes of the platform's objects between instances.
// The instances check each other by the heartbeats. An instance that can't reach the
// platform's store, or whose watch of it has stalled, gets the changes from other instances.
package exchange

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/mirror"
)

const (
	// fetchTimeout bounds the transfer of objects, seedTimeout a request for the heartbeat
	// of a seed.
	fetchTimeout = 2 * time.Second
	seedTimeout  = 400 * time.Millisecond
	// maxReplyBytes bounds the body of a reply. A longer one is cut and can't be decoded.
	// The objects of 95,000 searchers of 300 bytes have 29 MB.
	maxReplyBytes = 64 << 20
	// maxReplyHeaderBytes bounds the headers of a reply.
	maxReplyHeaderBytes = 64 << 10

	// restartDelay is the time from when a leader hears of a newer change from another
	// instance until it restarts its call to the store. Until then the store may still
	// report the change.
	restartDelay = 250 * time.Millisecond
	// remoteFetchDelay is the time from when an instance hears of a newer change from an
	// instance in another failure domain until it fetches the change from there. A leader
	// uses the same delay for instances in its own failure domain too, because the store
	// may still report the change.
	remoteFetchDelay = 600 * time.Millisecond
	// restoreFetchSpread is the time over which instances fetch all objects when the store has
	// come back from a copy. One instance serves all others of its failure domain.
	restoreFetchSpread = 1500 * time.Millisecond
	// A starting instance asks the seeds every seedRetryInterval, for at most maxSeedWait,
	// before it calls the store itself.
	seedRetryInterval = 100 * time.Millisecond
	maxSeedWait       = 1 * time.Second
	// seedStartTime is how long the seeds may take until they answer, if they are started
	// together with this instance.
	seedStartTime = 600 * time.Millisecond
	// seedPollInterval is the time between two requests to the seeds after that.
	seedPollInterval = 700 * time.Millisecond
)

const (
	pathInstance = "/v1/instance"
	pathObjects  = "/v1/objects/:kind"
)

// Config configures an exchange.
type Config struct {
	Self fleet.Instance
	// HeartbeatAddress is the UDP address for heartbeats. All instances use the same
	// port.
	HeartbeatAddress string
	// Seeds holds the internal addresses of the instances that a starting instance asks
	// for the objects.
	Seeds     []string
	Instances *fleet.Instances
	// Mirrors holds the mirrors by kind.
	Mirrors map[string]*mirror.Mirror
	// InstanceKind is the kind whose mirror holds the entries of the instances.
	InstanceKind string
	// Ready reports whether this instance serves callers. StoreReachable reports false if
	// this instance knows that it can't reach the store, else true. IsLeader reports
	// whether this instance watches the store on behalf of others too.
	Ready          func() bool
	StoreReachable func() bool
	IsLeader       func() bool
	// Reports returns the reports about searchers that go into a heartbeat, at most limit
	// of them. OnReports is called with the reports of each heartbeat from another
	// instance.
	Reports   func(limit int) []balance.Report
	OnReports func([]balance.Report)
	// OnStoreOutage is called for each heartbeat of an instance that does not reach the
	// store.
	OnStoreOutage func()
	// Memory bounds the bytes of all replies together, those that are received and those that
	// are sent. Nil means no bound.
	Memory *memory.Budget
	// LinkBytesPerSecond is the rate of the link of this instance, zero if it is not known. Serves
	// reports whether callers are sent to this instance.
	LinkBytesPerSecond float64
	Serves             func() bool
	Clock              clock.Clock
	Log                *slog.Logger
}

// Exchange sends the heartbeats of this instance, receives those of the others, and
// fetches changes that this instance lacks. It is safe for concurrent use.
type Exchange struct {
	config Config
	client *http.Client
	socket *net.UDPConn
	// pacer bounds the rate of what is sent to other instances.
	pacer *pacer
	// heartbeatPort is the UDP port of the heartbeats of all instances.
	heartbeatPort int

	// stating is held while the state for a heartbeat is read. sequence is that of the last one.
	stating  sync.Mutex
	sequence uint64

	mu sync.Mutex
	// fetching holds true for each kind whose objects are being fetched.
	fetching map[string]bool
	// later holds the fetches that are due later, by kind.
	later map[string]*laterFetch
	// lastSent is when heartbeats were last sent. scheduled is true while heartbeats that
	// ScheduleHeartbeats has scheduled are not sent yet.
	lastSent  time.Time
	scheduled bool
	// forward holds the reports that this instance, as a relay, passes on.
	forward balance.PendingReports
}

// Listen opens the UDP socket for heartbeats and returns an exchange that uses it. It fails
// if the address is not valid or can't be listened on. Run closes the socket.
func Listen(config Config) (*Exchange, error) {
	address, err := net.ResolveUDPAddr("udp4", config.HeartbeatAddress)
	if err != nil {
		return nil, errors.Annotate(err, "heartbeats")
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Annotate(err, "heartbeats")
	}
	return &Exchange{
		config: config, socket: socket, heartbeatPort: address.Port,
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxReplyHeaderBytes}},
		pacer:    newPacer(config.LinkBytesPerSecond, config.Serves),
		fetching: make(map[string]bool), later: make(map[string]*laterFetch),
	}, nil
}

// Register adds the handlers for the requests of other instances to a server: one returns
// the heartbeat of this instance, the other the changes of a kind after a revision.
func (x *Exchange) Register(e *echo.Echo) {
	e.GET(pathInstance, func(c echo.Context) error { return c.JSON(http.StatusOK, x.heartbeat()) })
	e.GET(pathObjects, func(c echo.Context) error {
		m := x.config.Mirrors[c.Param("kind")]
		if m == nil {
			return echo.NewHTTPError(http.StatusNotFound, "no such kind")
		}
		var after mirror.Position
		if err := echo.QueryParamsBinder(c).MustInt64("after", &after.Revision).Int64("epoch", &after.Epoch).BindError(); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "after or epoch is not a number")
		}
		return x.sendDelta(c, m.Since(after))
	})
}

// sendDelta answers with a delta, or with 503 if there is no memory for its encoding or too much waits
// for the link. The other instance asks again when it hears of the changes again.
func (x *Exchange) sendDelta(c echo.Context, d mirror.Delta) error {
	held := x.config.Memory.Hold()
	defer held.Release()
	size := encodedBytes(d)
	if !held.Grow(size) {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "memory is in use by other requests")
	}
	if !x.pacer.begin(size) {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "link is in use by other transfers")
	}
	defer x.pacer.end(size)
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	c.Response().WriteHeader(http.StatusOK)
	paced := &pacedWriter{ctx: c.Request().Context(), pacer: x.pacer, w: c.Response()}
	if err := json.NewEncoder(paced).Encode(d); err != nil {
		x.config.Log.Debug("objects were not delivered", "error", err.Error())
	}
	return nil
}

// elementBytes is about what an object takes in an encoded delta, beside its name and content, or
// what a removal takes.
const elementBytes = 64

// encodedBytes returns about how many bytes a delta takes once encoded.
func encodedBytes(d mirror.Delta) int64 {
	n := elementBytes * (1 + len(d.Objects) + len(d.Removed) + len(d.Skipped))
	for _, o := range d.Objects {
		n += len(o.Name) + len(o.Spec)
	}
	return int64(n)
}

// Run sends and receives heartbeats until ctx ends, and then closes the socket.
func (x *Exchange) Run(ctx context.Context) {
	go x.receive()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		x.SendHeartbeats()
		select {
		case <-ctx.Done():
			_ = x.socket.Close() // ends receive
			return
		case <-ticker.C:
		}
	}
}

// FetchFromSeeds fetches the objects from the seeds, so that a starting instance need not
// list them from the store. It asks all seeds repeatedly, and returns when all kinds have a
// listing, when no seed answers after seedStartTime, or when ctx ends. It does not ask again
// after maxSeedWait. On a seed it returns at once. If a kind still has no listing then,
// FetchFromSeeds goes on to ask the seeds in the background until all kinds have one or ctx
// ends. Meanwhile the caller may list the objects from the store.
func (x *Exchange) FetchFromSeeds(ctx context.Context) {
	started := time.Now()
	deadline := started.Add(maxSeedWait)
	for !x.IsSeed() && time.Now().Before(deadline) && !x.hasListings() {
		answered := x.askSeeds(ctx)
		if !answered && time.Since(started) > seedStartTime || clock.Pause(ctx, seedRetryInterval) != nil {
			break
		}
	}
	go func() {
		for !x.hasListings() && clock.Pause(ctx, seedPollInterval) == nil {
			x.askSeeds(ctx)
		}
	}()
}

// IsSeed reports whether this instance is one of its own seeds. Seeds call the store
// without asking the other seeds first.
func (x *Exchange) IsSeed() bool {
	return slices.Contains(x.config.Seeds, x.config.Self.InternalAddress)
}

// askSeeds asks the seeds in turn and fetches the objects and changes that this instance
// lacks. It reports whether at least one seed answered.
func (x *Exchange) askSeeds(ctx context.Context) bool {
	answered := false
	for _, seed := range x.config.Seeds {
		if seed == x.config.Self.InternalAddress {
			continue
		}
		h, err := x.askInstance(ctx, seed)
		if err != nil {
			x.config.Log.Debug("seed does not answer", "address", seed, "error", err.Error())
			continue
		}
		answered = true
		for kind, m := range x.config.Mirrors {
			if m.NewestPosition().Before(h.newest(kind)) || (m.Revision() == 0 && h.HasListings) {
				x.fetch(ctx, kind, seed)
			}
		}
	}
	return answered
}

// askInstance requests the heartbeat of another instance.
func (x *Exchange) askInstance(ctx context.Context, address string) (heartbeat, error) {
	held := x.config.Memory.Hold()
	defer held.Release()
	var h heartbeat
	err := x.get(ctx, address, pathInstance, seedTimeout, &h, held)
	return h, err
}

// hasListings reports whether the mirrors of all kinds have a listing.
func (x *Exchange) hasListings() bool {
	for _, m := range x.config.Mirrors {
		if m.Revision() == 0 {
			return false
		}
	}
	return true
}

// ScheduleHeartbeats sends heartbeats in the background, so that the other instances soon
// learn of a change. They are sent as soon as minSendInterval has passed since the last ones.
// Calls until then have no further effect.
func (x *Exchange) ScheduleHeartbeats() { x.schedule(minSendInterval) }

// schedule sends heartbeats in the background as soon as interval has passed since the last
// ones, unless some are scheduled already.
func (x *Exchange) schedule(interval time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.scheduled {
		return
	}
	x.scheduled = true
	time.AfterFunc(max(interval-time.Since(x.lastSent), 0), func() {
		x.mu.Lock()
		x.scheduled = false
		x.mu.Unlock()
		x.SendHeartbeats()
	})
}

// minSendInterval is the minimum time between the last heartbeats and those that
// ScheduleHeartbeats sends.
const minSendInterval = 100 * time.Millisecond
