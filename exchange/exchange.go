// Package exchange lets the instances check each other and pass on what they
// know of the platform's objects, so that an instance whose view of the store is
// cut off or hangs does not fall behind.
package exchange

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/mirror"
)

const (
	// pullTimeout bounds the transfer of objects, seedTimeout a question to a seed.
	pullTimeout = 2 * time.Second
	seedTimeout = 400 * time.Millisecond
	// maxReplyBytes bounds what another instance may send.
	maxReplyBytes = 64 << 20

	// newsDelay is how long the store's own news may take after another instance
	// has them, before an instance that leads asks the store anew.
	newsDelay = 250 * time.Millisecond
	// farDelay is how long the news may take by a nearer way, before they are
	// fetched from an instance in another failure domain or in place of the store.
	farDelay = 600 * time.Millisecond
	// seedPause and seedPatience bound how long an instance that starts asks the
	// seeds before it asks the store itself.
	seedPause    = 100 * time.Millisecond
	seedPatience = 1 * time.Second
	// seedInterval is the time between two questions to the seeds after that.
	seedInterval = 700 * time.Millisecond
)

const (
	pathInstance = "/v1/instance"
	pathObjects  = "/v1/objects/:kind"
)

// Config describes an exchange.
type Config struct {
	Self fleet.Instance
	// HeartbeatAddress is the UDP address for heartbeats, at the same port on all
	// instances.
	HeartbeatAddress string
	Seeds            []string
	Instances        *fleet.Instances
	Mirrors          map[string]*mirror.Mirror
	// InstanceKind is the kind of the mirror that holds the instances.
	InstanceKind string
	// Ready says whether this instance serves callers, Follows that it does not find
	// the store unreachable, Leads that it asks the store for others too.
	Ready   func() bool
	StoreReachable func() bool
	IsLeader   func() bool
	// Reports returns what to tell of searchers, at most so many reports; Heard takes
	// what another instance tells.
	Reports func(most int) []balance.Report
	OnReports   func([]balance.Report)
	// OnStoreOutage is called when another instance does not reach the store.
	OnStoreOutage func()
	Clock  clock.Clock
	Log    *slog.Logger
}

// Exchange tells the other instances what this one knows, and listens to them.
type Exchange struct {
	config Config
	client *http.Client
	socket *net.UDPConn
	port   int

	mu      sync.Mutex
	pulling map[string]bool
	// told is when the last heartbeat was sent, telling that one is due for news.
	told    time.Time
	telling bool
}

// Listen returns an exchange that receives heartbeats.
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
		config: config, socket: socket, port: address.Port,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		pulling: make(map[string]bool),
	}, nil
}

// Register adds the calls of other instances to a server.
func (x *Exchange) Register(e *echo.Echo) {
	e.GET(pathInstance, func(c echo.Context) error { return c.JSON(http.StatusOK, x.heartbeat()) })
	e.GET(pathObjects, func(c echo.Context) error {
		m := x.config.Mirrors[c.Param("kind")]
		if m == nil {
			return echo.NewHTTPError(http.StatusNotFound, "no such kind")
		}
		after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "after is not a revision")
		}
		return c.JSON(http.StatusOK, m.Since(after))
	})
}

// Run exchanges heartbeats until ctx ends.
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

// FetchFromSeeds fetches the objects from the seeds, which spares the store the calls of an
// instance that starts. It returns when they are known, or when the seeds don't
// know them either; then it goes on to ask them beside the store.
func (x *Exchange) FetchFromSeeds(ctx context.Context) {
	until := time.Now().Add(seedPatience)
	for !x.IsSeed() && time.Now().Before(until) && !x.filled() {
		if !x.askSeeds(ctx) || clock.Pause(ctx, seedPause) != nil {
			break
		}
	}
	go func() {
		for !x.filled() && clock.Pause(ctx, seedInterval) == nil {
			x.askSeeds(ctx)
		}
	}()
}

// IsSeed reports whether this instance is one of its own seeds: those ask the store
// at once.
func (x *Exchange) IsSeed() bool {
	return slices.Contains(x.config.Seeds, x.config.Self.InternalAddress)
}

// askSeeds asks the seeds in turn for what is not known. It reports whether one of
// them answered.
func (x *Exchange) askSeeds(ctx context.Context) bool {
	answered := false
	for _, seed := range x.config.Seeds {
		if seed == x.config.Self.InternalAddress {
			continue
		}
		var h heartbeat
		if err := x.get(ctx, seed, pathInstance, seedTimeout, &h); err != nil {
			x.config.Log.Debug("seed does not answer", "address", seed, "error", err.Error())
			continue
		}
		answered = true
		for kind, m := range x.config.Mirrors {
			if h.Newest[kind] > m.NewestChange() || (m.Revision() == 0 && h.Filled) {
				x.pull(ctx, kind, seed)
			}
		}
	}
	return answered
}

func (x *Exchange) filled() bool {
	for _, m := range x.config.Mirrors {
		if m.Revision() == 0 {
			return false
		}
	}
	return true
}

// ScheduleHeartbeats passes on news at once, but not more often than each newsPause.
func (x *Exchange) ScheduleHeartbeats() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.telling {
		return
	}
	x.telling = true
	time.AfterFunc(max(newsPause-time.Since(x.told), 0), func() {
		x.mu.Lock()
		x.telling = false
		x.mu.Unlock()
		x.SendHeartbeats()
	})
}

// newsPause is the least time between two heartbeats that pass on news.
const newsPause = 100 * time.Millisecond

// catchUp compares what another instance knows with what this one knows. Where
// this one is behind, it asks the store anew if it leads, or fetches the news from
// the other one: at once from the same failure domain, else when they have come by
// no nearer way.
func (x *Exchange) catchUp(h heartbeat, from fleet.Instance) {
	leads := x.config.IsLeader()
	for kind, m := range x.config.Mirrors {
		newest := h.Newest[kind]
		if newest <= m.NewestChange() {
			continue
		}
		pullDelay := farDelay
		if leads {
			time.AfterFunc(newsDelay, func() {
				if newest > m.NewestChange() {
					m.Refresh()
				}
			})
		} else if from.FailureDomain == x.config.Self.FailureDomain {
			pullDelay = 0
		}
		time.AfterFunc(pullDelay, func() {
			if newest > m.NewestChange() {
				x.pull(context.Background(), kind, from.InternalAddress)
			}
		})
	}
}

// pull fetches what has changed in a kind from another instance.
func (x *Exchange) pull(ctx context.Context, kind, address string) {
	if !x.beginPull(kind) {
		return
	}
	defer x.endPull(kind)
	m := x.config.Mirrors[kind]
	var d mirror.Delta
	path := "/v1/objects/" + kind + "?after=" + strconv.FormatInt(m.Revision(), 10)
	if err := x.get(ctx, address, path, pullTimeout, &d); err != nil {
		x.config.Log.Warn("objects were not fetched", "kind", kind, "from", address, "error", err.Error())
		return
	}
	x.config.Log.Debug("objects fetched", "kind", kind, "from", address, "objects", len(d.Objects),
		"removed", len(d.Removed), "full", d.Full, "revision", d.Revision)
	m.Merge(d)
}

func (x *Exchange) beginPull(kind string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.pulling[kind] {
		return false
	}
	x.pulling[kind] = true
	return true
}

func (x *Exchange) endPull(kind string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.pulling[kind] = false
}

func (x *Exchange) get(ctx context.Context, address, path string, timeout time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := x.client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(json.Unmarshal(body, answer))
}
