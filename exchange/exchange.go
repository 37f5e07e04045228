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
	// pullTimeout bounds the transfer of objects, seedTimeout a question to a seed.
	pullTimeout = 2 * time.Second
	seedTimeout = 900 * time.Millisecond
	// seedInterval is the time between two questions to the seeds.
	seedInterval = 1 * time.Second
	// maxReplyBytes bounds what another instance may send.
	maxReplyBytes = 64 << 20

	// newsDelay is how long the store's own news may take after another instance
	// has them, before the store is asked anew.
	newsDelay = 120 * time.Millisecond
	// pullAfter is how long an instance may stay behind another one before it
	// fetches the objects from there.
	pullAfter = 1500 * time.Millisecond
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
	// Ready says whether this instance serves callers.
	Ready func() bool
	Clock clock.Clock
	Log   *slog.Logger
}

// Exchange tells the other instances what this one knows, and listens to them.
type Exchange struct {
	config Config
	client *http.Client
	socket *net.UDPConn
	port   int

	mu sync.Mutex
	// behindSince is since when this instance is behind another one in a kind.
	behindSince map[lead]time.Duration
	pulling     map[string]bool
}

// lead is another instance's newer knowledge of a kind.
type lead struct{ kind, instance string }

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
		client:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		behindSince: make(map[lead]time.Duration),
		pulling:     make(map[string]bool),
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
		return c.JSON(http.StatusOK, m.Listing())
	})
}

// Run exchanges heartbeats until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.receive()
	go x.askSeeds(ctx)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		x.Send()
		select {
		case <-ctx.Done():
			_ = x.socket.Close() // ends receive
			return
		case <-ticker.C:
		}
	}
}

// askSeeds fetches objects from the seeds while the store has not told them.
func (x *Exchange) askSeeds(ctx context.Context) {
	for {
		// An instance that starts beside the others gets the objects from the store.
		if clock.Pause(ctx, seedInterval) != nil || x.filled() {
			return
		}
		for _, seed := range x.config.Seeds {
			if seed != x.config.Self.InternalAddress {
				x.askSeed(ctx, seed)
			}
		}
	}
}

func (x *Exchange) filled() bool {
	for _, m := range x.config.Mirrors {
		select {
		case <-m.Filled():
		default:
			return false
		}
	}
	return true
}

func (x *Exchange) askSeed(ctx context.Context, address string) {
	var h heartbeat
	if err := x.get(ctx, address, pathInstance, seedTimeout, &h); err != nil {
		x.config.Log.Debug("seed does not answer", "address", address, "error", err.Error())
		return
	}
	for kind, m := range x.config.Mirrors {
		if h.Newest[kind] > m.Newest() {
			x.pull(ctx, kind, address)
		}
	}
}

// catchUp compares what another instance knows with what this one knows. Where
// this one is behind, it asks the store anew, and after some time the other
// instance.
func (x *Exchange) catchUp(h heartbeat, address string) {
	now := x.config.Clock.Boottime()
	for kind, m := range x.config.Mirrors {
		newest, ahead := h.Newest[kind], lead{kind: kind, instance: h.Name}
		if newest <= m.Newest() {
			x.settle(ahead)
			continue
		}
		if x.behindFor(ahead, now) > pullAfter {
			go x.pull(context.Background(), kind, address)
			continue
		}
		time.AfterFunc(newsDelay, func() {
			if newest > m.Newest() {
				m.Refresh()
			}
		})
	}
}

func (x *Exchange) settle(l lead) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.behindSince, l)
}

func (x *Exchange) behindFor(l lead, now time.Duration) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	since, ok := x.behindSince[l]
	if !ok {
		x.behindSince[l] = now
		return 0
	}
	return now - since
}

// pull fetches all objects of a kind from another instance.
func (x *Exchange) pull(ctx context.Context, kind, address string) {
	if !x.beginPull(kind) {
		return
	}
	defer x.endPull(kind)
	m := x.config.Mirrors[kind]
	var l platform.Listing
	if err := x.get(ctx, address, "/v1/objects/"+kind, pullTimeout, &l); err != nil {
		x.config.Log.Warn("objects were not fetched", "kind", kind, "from", address, "error", err.Error())
		return
	}
	x.config.Log.Info("objects fetched from another instance", "kind", kind, "from", address, "revision", l.Revision, "held", m.Revision())
	m.Reset(l)
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
