package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/fleet"
	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/mirror"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// catchUp compares the newest changes of another instance with those of this one, and fetches
// what this one lacks. An instance that is not a leader fetches the changes at once if the
// other one is in the same failure domain, or later if it stands by there, else after
// remoteFetchDelay. A leader restarts its
// call to the store after restartDelay, and fetches the changes after remoteFetchDelay. After a
// restoration of the store the fetches are spread over time. Each step is skipped if this
// instance has the changes by then.
func (x *Exchange) catchUp(h heartbeat, from fleet.Instance) {
	leader := x.config.IsLeader()
	spread := x.config.Instances.FetchSpread(x.config.Clock.Boottime())
	for kind, m := range x.config.Mirrors {
		newest := h.newest(kind)
		if !m.NewestPosition().Before(newest) {
			continue
		}
		if leader {
			time.AfterFunc(restartDelay, func() {
				if m.NewestPosition().Before(newest) {
					m.RestartCall()
				}
			})
		}
		near := !leader && from.FailureDomain == x.config.Self.FailureDomain
		if near && spread > 0 {
			x.fetchLater(kind, newest, from.InternalAddress, spread+restoreSpread(m.Position().Epoch, newest.Epoch))
			continue
		}
		time.AfterFunc(fetchDelay(near, m.Position().Epoch, newest.Epoch), func() {
			if m.NewestPosition().Before(newest) {
				x.fetch(context.Background(), kind, from.InternalAddress)
			}
		})
	}
}

// fetchDelay returns how long to wait before changes are fetched from an instance, near or not,
// that knows changes of an epoch, while this one holds those of another or, if zero, none.
func fetchDelay(near bool, held, newest int64) time.Duration {
	delay := remoteFetchDelay
	if near {
		delay = 0
	}
	if spread := restoreSpread(held, newest); spread > 0 {
		delay += rand.N(spread)
	}
	return delay
}

// restoreSpread returns the time over which instances that hold an epoch spread their fetches of
// another one.
func restoreSpread(held, newest int64) time.Duration {
	if held != 0 && newest > held {
		return restoreFetchSpread
	}
	return 0
}

// laterFetch is a fetch of the changes of a kind that is due later. The sources are the addresses of
// instances that know them up to newest.
type laterFetch struct {
	newest  mirror.Position
	sources []string
}

// fetchLater fetches the changes of a kind at a random time within the spread, unless this instance
// has them by then. If such a fetch is due already, the source is one more that it may use.
func (x *Exchange) fetchLater(kind string, newest mirror.Position, source string, spread time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if l := x.later[kind]; l != nil {
		if !slices.Contains(l.sources, source) {
			l.sources = append(l.sources, source)
		}
		return
	}
	l := &laterFetch{newest: newest, sources: []string{source}}
	x.later[kind] = l
	time.AfterFunc(rand.N(spread), func() {
		x.mu.Lock()
		delete(x.later, kind)
		x.mu.Unlock()
		if x.config.Mirrors[kind].NewestPosition().Before(l.newest) {
			x.fetch(context.Background(), kind, l.sources[rand.IntN(len(l.sources))])
		}
	})
}

// FetchFrom fetches the changes of a kind from the instance at an IP address and applies them, unless
// that is under way already. All instances use the same port.
func (x *Exchange) FetchFrom(kind string, from netip.Addr) {
	if _, port, err := net.SplitHostPort(x.config.Self.InternalAddress); err == nil {
		x.fetch(context.Background(), kind, net.JoinHostPort(from.String(), port))
	}
}

// fetch fetches the changes of a kind from another instance and applies them. It does nothing
// if the kind is being fetched already. A failure is only logged.
func (x *Exchange) fetch(ctx context.Context, kind, address string) {
	if !x.beginFetch(kind) {
		return
	}
	defer x.endFetch(kind)
	m := x.config.Mirrors[kind]
	held := x.config.Memory.Hold()
	defer held.Release()
	var d mirror.Delta
	position := m.Position()
	path := fmt.Sprintf("/v1/objects/%s?after=%d&epoch=%d", kind, position.Revision, position.Epoch)
	if err := x.get(ctx, address, path, fetchTimeout, &d, held); err != nil {
		x.config.Log.Warn("objects could not be fetched", "kind", kind, "from", address, "error", err.Error())
		return
	}
	x.config.Log.Debug("objects fetched", "kind", kind, "from", address, "objects", len(d.Objects),
		"removed", len(d.Removed), "full", d.Full, "revision", d.Revision)
	m.Merge(d)
}

// beginFetch reports whether the kind may be fetched now. If so, the caller must call endFetch
// when the fetch has ended.
func (x *Exchange) beginFetch(kind string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fetching[kind] {
		return false
	}
	x.fetching[kind] = true
	return true
}

// endFetch allows the next fetch of the kind.
func (x *Exchange) endFetch(kind string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fetching[kind] = false
}

// get requests a path from another instance and decodes the JSON body of the response into
// reply, both of which take from held. It fails if the instance can't be reached, if the status
// is not 200, if the body can't be decoded or held, or after the timeout.
func (x *Exchange) get(ctx context.Context, address, path string, timeout time.Duration, reply any, held *memory.Holder) error {
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
	limited := io.LimitReader(response.Body, maxReplyBytes)
	if delta, ok := reply.(*mirror.Delta); ok {
		return decodeDelta(limited, held, delta)
	}
	body, err := held.ReadAll(limited)
	if err != nil {
		return errors.Trace(err)
	}
	if !held.Grow(platform.DecodedBytes(body)) {
		return errors.Trace(memory.ErrExhausted)
	}
	return errors.Trace(json.Unmarshal(body, reply))
}
