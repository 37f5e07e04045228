package standin

import (
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/settings"
)

// Behaviour is how the searchers of one process behave at first. Control can
// change most of it for single searchers.
type Behaviour struct {
	// Cold starts searchers cold. A cold one is slower by ColdFactor, and falls
	// over for Fallover when more than its allowance runs.
	Cold       bool
	ColdFactor float64
	Fallover   time.Duration
	// ColdNotice is how long after an unannounced turn to cold a start above the
	// allowance is not held against the client, which cannot know yet.
	ColdNotice time.Duration
	// ServiceTime is the median of the lognormal time of a search, Sigma its
	// shape. BookingTime is the median for bookings.
	ServiceTime time.Duration
	BookingTime time.Duration
	Sigma       float64
	// StragglerShare is the share of work that takes StragglerFactor times as
	// long.
	StragglerShare  float64
	StragglerFactor float64
	// ConnectionCost delays the first read of a new connection to a searcher of
	// a search service; BookingConnectionCost is that of booking services.
	ConnectionCost        time.Duration
	BookingConnectionCost time.Duration
	// StateLag is how long a reading of the state is served before the next.
	StateLag time.Duration
}

func (b Behaviour) validate() error {
	switch {
	case b.ServiceTime <= 0 || b.BookingTime <= 0:
		return errors.New("service time must be positive")
	case b.Sigma < 0:
		return errors.New("sigma is negative")
	case b.StragglerShare < 0 || b.StragglerShare > 1:
		return errors.New("straggler share is not between 0 and 1")
	case b.StragglerFactor < 1 || b.ColdFactor < 1:
		return errors.New("straggler and cold factors must be at least 1")
	case b.ConnectionCost < 0 || b.BookingConnectionCost < 0 || b.StateLag < 0 || b.Fallover < 0 || b.ColdNotice < 0:
		return errors.New("a duration is negative")
	}
	return nil
}

// UpstreamConfig describes an upstream stand-in.
type UpstreamConfig struct {
	// Services are the services whose searchers are hosted.
	Services []*settings.Service
	// FailureDomains selects the searchers by failure domain; empty selects all.
	FailureDomains []string
	// Control is the address of facts and controls.
	Control   string
	Behaviour Behaviour
	// Seed makes service times and stragglers repeatable.
	Seed uint64
	Log  *slog.Logger
}

// Validate returns an error that names the first setting that is wrong.
func (c UpstreamConfig) Validate() error {
	switch {
	case len(c.Services) == 0:
		return errors.New("no services are given")
	case c.Control == "":
		return errors.New("control address is missing")
	case c.Log == nil:
		return errors.New("log is missing")
	}
	return errors.Trace(c.Behaviour.validate())
}

// Upstream hosts many searchers, each on its own address.
type Upstream struct {
	config    UpstreamConfig
	searchers []*searcher
	control   *server
	starts    *startLog
	bookings  *bookingLog
	searches  *searchLog
}

// ReadServices reads all service files (*.yaml) of a directory.
func ReadServices(dir string) ([]*settings.Service, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(paths) == 0 {
		return nil, errors.Errorf("no service files in %q", dir)
	}
	sort.Strings(paths)
	var services []*settings.Service
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Trace(err)
		}
		service, err := settings.ParseService(path, string(text))
		if err != nil {
			return nil, errors.Trace(err)
		}
		services = append(services, service)
	}
	return services, nil
}

// StartUpstream listens on the addresses of all selected searchers and serves
// until Close.
func StartUpstream(config UpstreamConfig) (*Upstream, error) {
	if err := config.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	u := &Upstream{config: config, starts: newStartLog(), bookings: newBookingLog(), searches: newSearchLog(rememberedQueries)}
	u.place()
	if len(u.searchers) == 0 {
		return nil, errors.New("no searchers are selected")
	}
	for i, s := range u.searchers {
		if err := s.listen(); err != nil {
			for _, started := range u.searchers[:i] {
				started.close()
			}
			return nil, errors.Annotatef(err, "searcher %q", s.id)
		}
	}
	control, err := serve(config.Control, u.controlHandler())
	if err != nil {
		u.closeSearchers()
		return nil, errors.Trace(err)
	}
	u.control = control
	return u, nil
}

// place makes the searchers. One that serves two services is one searcher.
func (u *Upstream) place() {
	byID := make(map[string]*searcher)
	add := func(service *settings.Service, s settings.Searcher) *searcher {
		if len(u.config.FailureDomains) > 0 && !slices.Contains(u.config.FailureDomains, s.FailureDomain) {
			return nil
		}
		known := byID[s.ID]
		if known == nil {
			known = newSearcher(u, service, s, u.config.Seed+uint64(len(u.searchers)))
			byID[s.ID] = known
			u.searchers = append(u.searchers, known)
		}
		known.services = append(known.services, service.Name)
		return known
	}
	for _, service := range u.config.Services {
		for _, s := range service.Searchers {
			add(service, s)
		}
		for position, index := range service.Indexes {
			for _, s := range index.Searchers {
				if known := add(service, s); known != nil {
					known.layouts.place(index.Name, position, len(service.Indexes))
				}
			}
		}
	}
}

// Addresses returns the addresses of the searchers by identifier.
func (u *Upstream) Addresses() map[string]string {
	addresses := make(map[string]string, len(u.searchers))
	for _, s := range u.searchers {
		addresses[s.id] = s.address
	}
	return addresses
}

// ControlAddress returns the address of facts and controls.
func (u *Upstream) ControlAddress() string { return u.control.address }

// Close stops all searchers.
func (u *Upstream) Close() {
	u.control.close()
	u.closeSearchers()
}

func (u *Upstream) closeSearchers() {
	var closing sync.WaitGroup
	for _, s := range u.searchers {
		closing.Go(s.close)
	}
	closing.Wait()
}
