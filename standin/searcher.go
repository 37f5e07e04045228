package standin

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/settings"
)

// Mode is how a searcher treats requests.
type Mode string

// A failing searcher answers all work with 500. A hanging one answers nothing.
// The port of one that is down is closed.
const (
	ModeOK   Mode = "ok"
	ModeFail Mode = "fail"
	ModeHang Mode = "hang"
	ModeDown Mode = "down"
)

// searcher is one upstream with its own address.
type searcher struct {
	host     *Upstream
	id       string
	domain   string
	address  string
	limits   settings.Limits
	services []string
	conns    *connections

	// serverMu serializes changes of the server, which is nil while down.
	serverMu sync.Mutex
	server   *server

	mu        sync.Mutex
	behaviour Behaviour
	mode      Mode
	// resumed is closed when a hang ends; nil unless hanging.
	resumed chan struct{}
	// incarnation rises when the searcher stops, with which it loses the
	// requests it has not started.
	incarnation int
	fallenUntil time.Time
	mislead     bool
	// otherSnapshot runs searches in the newest snapshot, not the one asked for.
	otherSnapshot bool
	shedShare     float64
	drainedAt     time.Time
	cold          bool
	coldNotice    time.Time
	// coldDone is the work completed since the searcher turned cold.
	coldDone  int
	layouts   layouts
	random    *rand.Rand
	running   map[string]*work
	facts     SearcherFacts
	published stateAnswer
	readAt    time.Time
}

func newSearcher(host *Upstream, service *settings.Service, s settings.Searcher, seed uint64) *searcher {
	behaviour := host.config.Behaviour
	cost := behaviour.ConnectionCost
	if service.Kind == settings.KindBooking {
		cost = behaviour.BookingConnectionCost
	}
	return &searcher{
		host:      host,
		id:        s.ID,
		domain:    s.FailureDomain,
		address:   s.Address,
		limits:    service.Limits,
		conns:     newConnections(service.Limits.Connections, cost),
		behaviour: behaviour,
		mode:      ModeOK,
		cold:      behaviour.Cold,
		random:    rand.New(rand.NewPCG(seed, host.config.Seed)),
		running:   make(map[string]*work),
	}
}

// listen opens the port. The address is kept, so that a port chosen by the
// system stays the same.
func (s *searcher) listen() error {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	if s.server != nil {
		return nil
	}
	raw, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Trace(err)
	}
	if actual := raw.Addr().String(); s.address != actual {
		s.address = actual
	}
	s.server = serveOn(&listener{Listener: raw, connections: s.conns}, s.handler())
	return nil
}

// close closes the port and all connections, and loses all running work.
func (s *searcher) close() {
	s.serverMu.Lock()
	defer s.serverMu.Unlock()
	if s.server == nil {
		return
	}
	s.server.close()
	s.server = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	for _, w := range s.running {
		s.end(w, endLost)
	}
}

func (s *searcher) currentIncarnation() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

func (s *searcher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", s.serveSearch)
	mux.HandleFunc("POST /v1/run", s.serveRun)
	mux.HandleFunc("DELETE /v1/work/{id}", s.serveCancel)
	mux.HandleFunc("GET /v1/state", s.serveState)
	return mux
}

// awaitAnswering waits while the searcher hangs or has fallen over. It reports
// false if the client left first.
func (s *searcher) awaitAnswering(ctx context.Context) bool {
	for {
		s.mu.Lock()
		resumed, fallen := s.resumed, time.Until(s.fallenUntil)
		s.mu.Unlock()
		if resumed == nil && fallen <= 0 {
			return true
		}
		var wait <-chan time.Time
		if resumed == nil {
			wait = time.After(fallen)
		}
		select {
		case <-resumed:
		case <-wait:
		case <-ctx.Done():
			return false
		}
	}
}

// duration draws the time that a piece of work takes. The caller holds the
// lock.
func (s *searcher) duration(booking bool) time.Duration {
	median := s.behaviour.ServiceTime
	if booking {
		median = s.behaviour.BookingTime
	}
	seconds := median.Seconds() * math.Exp(s.behaviour.Sigma*s.random.NormFloat64())
	if s.random.Float64() < s.behaviour.StragglerShare {
		seconds *= s.behaviour.StragglerFactor
	}
	if s.cold {
		seconds *= s.behaviour.ColdFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

// allowance is the number of requests that a cold searcher can run. It grows as
// the declared ramp does, and the searcher is warm when it reaches the slots.
// The caller holds the lock.
func (s *searcher) allowance() int {
	steps := max(s.limits.Cold.StepSuccesses, 1)
	return s.limits.Cold.Allowance + s.coldDone/steps
}

// turnCold empties the caches. An unannounced turn is noticed by the client
// only from slow answers. The caller holds the lock.
func (s *searcher) turnCold(announced bool) {
	s.cold = true
	s.coldDone = 0
	s.coldNotice = time.Time{}
	if !announced {
		s.coldNotice = time.Now().Add(s.behaviour.ColdNotice)
	}
}

func (s *searcher) report() SearcherReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	facts := s.facts
	facts.Running = len(s.running)
	facts.Cold = boolCount(s.cold)
	facts.Draining = boolCount(!s.drainedAt.IsZero())
	s.conns.fill(&facts)
	return SearcherReport{Address: s.address, FailureDomain: s.domain, Services: s.services, SearcherFacts: facts}
}

func boolCount(b bool) int {
	if b {
		return 1
	}
	return 0
}
