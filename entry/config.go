// Package entry runs the requests of callers: it plans a query on one snapshot,
// scatters its parts to the brokers, hedges, gathers the replies, and forwards
// bookings to their owners.
package entry

import (
	"context"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/admission"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/hedge"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
)

const (
	// defaultLimit is the number of requests at once that an entry takes when
	// none is set: well above what the upstreams of the current deployments can
	// answer within their deadlines, and small in memory.
	defaultLimit = 4096
	// defaultLifetime is how long callers may use an address answer when the
	// settings do not say.
	defaultLifetime = 5 * time.Second
)

// Config describes an Entry.
type Config struct {
	// ID is the incarnation of the process.
	ID string
	// CallerAddress is given to callers while no roster is known.
	CallerAddress   string
	AddressLifetime time.Duration
	State           *control.State
	Node            *peer.Node
	Clock           clock.Clock
	// Seed makes replica choices repeatable in tests.
	Seed int64
	// Limit is the number of requests at once; zero takes the default.
	Limit int
	// ServiceLimit fixes the number of requests at once of each service; zero
	// adapts it.
	ServiceLimit int
	// NotReady returns why the process does not serve, or nil. It may be nil.
	NotReady func() error
	Log      *slog.Logger
	Registry prometheus.Registerer
}

// Validate returns an error that names the first setting that is missing.
func (c Config) Validate() error {
	switch {
	case c.ID == "":
		return errors.New("id is missing")
	case c.State == nil:
		return errors.New("state is missing")
	case c.Node == nil:
		return errors.New("node is missing")
	case c.Clock == nil:
		return errors.New("clock is missing")
	case c.Log == nil:
		return errors.New("log is missing")
	case c.Registry == nil:
		return errors.New("registry is missing")
	case c.Limit < 0 || c.ServiceLimit < 0 || c.AddressLifetime < 0:
		return errors.New("limits and lifetimes must not be negative")
	}
	return nil
}

// Entry is the query engine of one process. It implements caller.Engine.
type Entry struct {
	config  Config
	table   *table
	metrics *metrics
	traces  *traces

	mu       sync.Mutex
	limiter  *admission.Limiter
	policies map[string]*policy
	leaving  bool
}

// policy is the hedging policy of one service.
type policy struct {
	mu sync.Mutex
	hedge.Policy
}

// New returns an engine that knows no brokers until Run is called.
func New(config Config) (*Entry, error) {
	if err := config.Validate(); err != nil {
		return nil, errors.Annotate(err, "entry")
	}
	if config.Limit == 0 {
		config.Limit = defaultLimit
	}
	if config.AddressLifetime == 0 {
		config.AddressLifetime = defaultLifetime
	}
	m, err := newMetrics(config.Registry)
	if err != nil {
		return nil, err
	}
	return &Entry{
		config:   config,
		table:    newTable(rand.New(rand.NewSource(config.Seed)), config.State.View),
		metrics:  m,
		traces:   newTraces(traceCount),
		limiter:  admission.New(admission.Config{TotalLimit: config.Limit, PerServiceLimit: config.ServiceLimit}),
		policies: make(map[string]*policy),
	}, nil
}

// Run keeps a status subscription to every broker until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	subscriptions{entry: e, running: make(map[string]context.CancelFunc)}.run(ctx)
	return nil
}

// Ready returns why requests cannot be served, or nil.
func (e *Entry) Ready() *result.Error {
	if e.config.NotReady != nil {
		if err := e.config.NotReady(); err != nil {
			return result.NotRun(result.SettingsUnknown, "%v", err)
		}
	}
	if e.config.State.View().Settings == nil {
		return result.NotRun(result.SettingsUnknown, "no settings revision is known")
	}
	return nil
}

// policyOf returns the hedging policy of a service under the given budget.
func (e *Entry) policyOf(service string, budget float64) *policy {
	e.mu.Lock()
	p := e.policies[service]
	if p == nil {
		p = &policy{Policy: *hedge.NewPolicy(budget)}
		e.policies[service] = p
	}
	e.mu.Unlock()
	p.mu.Lock()
	p.Budget.SetShare(budget)
	p.mu.Unlock()
	return p
}

// admit takes a request, or refuses it as not run.
func (e *Entry) admit(service, caller string) (admission.Ticket, *result.Error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.limiter.Admit(e.config.Clock.Boottime(), service, caller)
	if !ok {
		return t, result.NotRun(result.Overloaded, "%d requests are running, service %q may run %d", e.limiter.Running(), service, e.limiter.Limit(service))
	}
	return t, nil
}

func (e *Entry) done(t admission.Ticket, outcome admission.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.Done(e.config.Clock.Boottime(), t, outcome)
}
