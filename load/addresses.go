package load

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// lookupTimeout bounds one lookup of addresses.
	lookupTimeout = time.Second
	// lookupRetry is the pause after all known addresses failed.
	lookupRetry = 200 * time.Millisecond
	// avoidFor is how long an address that refused a connection is not used
	// while others are known.
	avoidFor = time.Second
)

// addresses keeps the answer to GET /v1/addresses and refreshes it at half its
// lifetime. An answer past its lifetime is not used.
type addresses struct {
	seeds []string
	pool  *pool
	log   *slog.Logger

	mu      sync.Mutex
	listed  []string
	expires time.Time
	avoided map[string]time.Time
	random  *rand.Rand
}

func newAddresses(config Config, pool *pool) *addresses {
	return &addresses{
		seeds: config.Entries, pool: pool, log: config.Log,
		avoided: make(map[string]time.Time),
		random:  rand.New(rand.NewPCG(config.Seed, 1)),
	}
}

type addressAnswer struct {
	Addresses       []string `json:"addresses"`
	LifetimeSeconds float64  `json:"lifetime_seconds"`
}

// run refreshes until ctx ends.
func (a *addresses) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := lookupRetry
		if lifetime, err := a.refresh(ctx); err == nil {
			wait = lifetime / 2
		} else if ctx.Err() == nil {
			a.log.Warn("addresses not refreshed", "error", err.Error())
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// refresh asks the known addresses in random order until one answers.
func (a *addresses) refresh(ctx context.Context) (time.Duration, error) {
	failure := errors.New("no address is known")
	for _, address := range a.candidates() {
		asked := time.Now()
		got, err := a.lookup(ctx, address)
		if err != nil {
			failure = errors.Annotatef(err, "lookup at %s", address)
			a.avoid(address)
			continue
		}
		lifetime := time.Duration(got.LifetimeSeconds * float64(time.Second))
		a.mu.Lock()
		a.listed, a.expires = got.Addresses, asked.Add(lifetime)
		a.mu.Unlock()
		a.pool.allow(got.Addresses)
		return lifetime, nil
	}
	return 0, failure
}

func (a *addresses) lookup(ctx context.Context, address string) (addressAnswer, error) {
	var parsed addressAnswer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", nil)
	if err != nil {
		return parsed, errors.Trace(err)
	}
	got, err := a.pool.roundTrip(ctx, address, request, time.Now().Add(lookupTimeout))
	if err != nil {
		return parsed, errors.Trace(err)
	}
	if got.status != http.StatusOK {
		return parsed, errors.Errorf("status %d", got.status)
	}
	if err := json.Unmarshal(got.body, &parsed); err != nil {
		return parsed, errors.Trace(err)
	}
	if len(parsed.Addresses) == 0 || parsed.LifetimeSeconds <= 0 {
		return parsed, errors.New("answer holds no addresses or no lifetime")
	}
	return parsed, nil
}

// candidates returns the addresses to try, in random order: the listed ones
// while their lifetime lasts, else the seeds. Those that refused a connection
// come last.
func (a *addresses) candidates() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	known := a.listed
	if !now.Before(a.expires) {
		known = a.seeds
	}
	var first, last []string
	for _, i := range a.random.Perm(len(known)) {
		if now.Before(a.avoided[known[i]]) {
			last = append(last, known[i])
		} else {
			first = append(first, known[i])
		}
	}
	return append(first, last...)
}

func (a *addresses) avoid(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.avoided[address] = time.Now().Add(avoidFor)
}

// send sends a request that build makes for an address. Another address is
// tried only if no connection was made.
func (a *addresses) send(ctx context.Context, by time.Time, build func(address string) (*http.Request, error)) (answer, error) {
	failure := error(errConnect)
	for _, address := range a.candidates() {
		request, err := build(address)
		if err != nil {
			return answer{}, errors.Trace(err)
		}
		got, err := a.pool.roundTrip(ctx, address, request, by)
		if !errors.Is(err, errConnect) {
			return got, errors.Trace(err)
		}
		failure = err
		a.avoid(address)
		if time.Now().After(by) {
			break
		}
	}
	return answer{}, errors.Trace(failure)
}
