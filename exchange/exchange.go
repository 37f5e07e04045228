// Package exchange lets the instances check each other and pass on what they
// know of the platform's objects, so that an instance whose view of the store is
// cut off or hangs does not fall behind.
package exchange

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

const (
	// interval is the time between two checks of an instance.
	interval = 500 * time.Millisecond
	// checkTimeout bounds a check, pullTimeout the transfer of objects.
	checkTimeout = 900 * time.Millisecond
	pullTimeout  = 2 * time.Second
	// maxReplyBytes bounds what another instance may send.
	maxReplyBytes = 64 << 20
)

const (
	pathInstance = "/v1/instance"
	pathObjects  = "/v1/objects/:kind"
)

// Config describes an exchange.
type Config struct {
	Self      fleet.Instance
	Seeds     []string
	Instances *fleet.Instances
	Mirrors   map[string]*mirror.Mirror
	// Ready says whether this instance serves callers.
	Ready func() bool
	Clock clock.Clock
	Log   *slog.Logger
}

// Exchange checks the other instances and answers their checks.
type Exchange struct {
	config Config
	client *http.Client

	mu sync.Mutex
	// ahead counts the checks in a row that found another instance to know newer
	// objects of a kind.
	ahead map[string]int
}

// New returns an exchange.
func New(config Config) *Exchange {
	return &Exchange{
		config: config,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
		ahead:  make(map[string]int),
	}
}

// state is what an instance answers to a check.
type state struct {
	Name  string `json:"name"`
	Ready bool   `json:"ready"`
	// Newest holds the revision of the newest change of each kind.
	Newest map[string]int64 `json:"newest"`
}

// Register adds the calls of other instances to a server.
func (x *Exchange) Register(e *echo.Echo) {
	e.GET(pathInstance, func(c echo.Context) error { return c.JSON(http.StatusOK, x.state()) })
	e.GET(pathObjects, func(c echo.Context) error {
		m := x.config.Mirrors[c.Param("kind")]
		if m == nil {
			return echo.NewHTTPError(http.StatusNotFound, "no such kind")
		}
		return c.JSON(http.StatusOK, m.Listing())
	})
}

func (x *Exchange) state() state {
	s := state{Name: x.config.Self.Name, Ready: x.config.Ready(), Newest: make(map[string]int64)}
	for kind, m := range x.config.Mirrors {
		s.Newest[kind] = m.Newest()
	}
	return s
}

// Run checks the other instances until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, i := range x.config.Instances.Others() {
			go x.check(ctx, i)
		}
		x.askSeeds(ctx)
	}
}

func (x *Exchange) check(ctx context.Context, i fleet.Instance) {
	var s state
	err := x.get(ctx, i.InternalAddress, pathInstance, checkTimeout, &s)
	answered := err == nil && s.Name == i.Name
	x.config.Instances.Checked(i.Name, x.config.Clock.Boottime(), answered, s.Ready)
	if answered {
		x.catchUp(ctx, i.InternalAddress, s)
	}
}

// askSeeds fetches objects from the seeds while the store has not told them.
func (x *Exchange) askSeeds(ctx context.Context) {
	for _, m := range x.config.Mirrors {
		select {
		case <-m.Filled():
			continue
		default:
		}
		for _, seed := range x.config.Seeds {
			if seed != x.config.Self.InternalAddress {
				go x.askSeed(ctx, seed)
			}
		}
		return
	}
}

func (x *Exchange) askSeed(ctx context.Context, address string) {
	var s state
	if err := x.get(ctx, address, pathInstance, checkTimeout, &s); err != nil {
		x.config.Log.Debug("seed does not answer", "address", address, "error", err.Error())
		return
	}
	x.catchUp(ctx, address, s)
}

// behindFor is how many checks in a row must find newer objects elsewhere before
// they are fetched: the store's own news usually comes sooner.
const behindFor = 2

// catchUp fetches the objects of which the other instance knows newer ones.
func (x *Exchange) catchUp(ctx context.Context, address string, s state) {
	for kind, m := range x.config.Mirrors {
		if !x.behind(kind, address, s.Newest[kind] > m.Newest()) {
			continue
		}
		var l platform.Listing
		if err := x.get(ctx, address, "/v1/objects/"+kind, pullTimeout, &l); err != nil {
			x.config.Log.Warn("objects were not fetched", "kind", kind, "from", address, "error", err.Error())
			continue
		}
		x.config.Log.Info("objects fetched from another instance", "kind", kind, "from", address,
			"revision", l.Revision, "held", m.Revision())
		m.Reset(l)
	}
}

func (x *Exchange) behind(kind, address string, newer bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	key := kind + "@" + address
	if !newer {
		delete(x.ahead, key)
		return false
	}
	x.ahead[key]++
	return x.ahead[key] >= behindFor
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
