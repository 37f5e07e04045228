package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/internal/relay"
	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

var domains = []string{"a", "b", "c"}

const (
	bookings = "book"
	// orders is the service of the callers that stay.
	orders  = "order"
	callers = 10
	// configApply and drain are the promised bounds, settled how long nothing must
	// have been disturbed for them to hold, and stretched what holds otherwise.
	configApply = 3 * time.Second
	drain       = 3 * time.Second
	settled     = 4 * time.Second
	stretched   = 15 * time.Second
	// startTime is how long the processes may take until they serve.
	startTime = 20 * time.Second
)

// soak is one run.
type soak struct {
	size deployment
	// features says that the deployment has client accounts and roll-outs.
	features bool
	random   *rand.Rand
	store    *site.Store
	server   *http.Server
	ledger   *site.Ledger
	gateway  []*process
	report   *report

	mu        sync.Mutex
	searchers []*site.Searcher
	started   int
	version   int
	// versions are those of services that were rolled out. The searchers of rolling, which is rolled out
	// now, get no faults.
	versions map[string]string
	rolling  string
	// keyRemoved says that the configuration lacks the key of removableAccount, absences when it did.
	// Only configure changes them.
	keyRemoved bool
	absences   []absence
	orders     []*order
	// restoring is held while the store may return to an older copy. Orders and removals of keys are
	// not made meanwhile, so that the copy does not undo them.
	restoring sync.Mutex

	// disturbed is until when a fault that touches the store, a link or a process is
	// in force.
	disturbed disturbance
}

// plan says what happens in a run.
type plan struct {
	binary string
	// out is the directory for the logs of the processes.
	out      string
	seed     uint64
	duration time.Duration
	// stopsOnly says that processes are stopped as planned, one after the other, and that
	// nothing else happens.
	stopsOnly bool
	// instances, if not zero, is the number of gateways of a deployment whose planned stops
	// overlap.
	instances int
}

// run plays one seed.
func run(p plan) (*report, error) {
	dir, err := filepath.Abs(filepath.Join(p.out, fmt.Sprint(p.seed)))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Trace(err)
	}
	s := &soak{
		size: usualDeployment(), features: p.instances == 0 && p.seed%2 == 0, versions: make(map[string]string),
		random: rand.New(rand.NewPCG(p.seed, 0)), store: site.NewStore(), ledger: &site.Ledger{},
		report: &report{seed: p.seed, answers: make(map[string]int), addresses: make(map[string]string), written: make(map[string]time.Time)},
	}
	if p.instances > 0 {
		s.size = overlappingDeployment(p.instances)
	}
	defer s.stop()
	if err := s.start(p.binary, dir); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.duration)
	defer cancel()
	var group sync.WaitGroup
	if p.instances > 0 {
		s.overlap(ctx, &group)
	} else {
		s.usual(ctx, &group, p.stopsOnly)
	}
	group.Go(func() { s.configure(ctx) })
	group.Wait()
	s.checkRuns()
	s.checkTimeLeft()
	s.checkPauses()
	s.checkAccounts()
	s.checkOrders()
	return s.report, nil
}

// usual starts the callers and faults of a run at the usual size.
func (s *soak) usual(ctx context.Context, group *sync.WaitGroup, stopsOnly bool) {
	if s.features {
		group.Go(func() { s.rollOut(ctx) })
	}
	for i := range callers {
		group.Go(func() { s.call(ctx, i) })
	}
	for _, p := range s.gateway {
		group.Go(func() { s.stay(ctx, p) })
	}
	if stopsOnly {
		group.Go(func() { s.roll(ctx) })
	} else {
		group.Go(func() { s.disturb(ctx) })
	}
}

func (s *soak) start(binary, dir string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	s.server = &http.Server{Handler: s.store}
	go func() { _ = s.server.Serve(listener) }() // ends with stop
	for _, service := range s.size.services() {
		for i, domain := range domains {
			for range s.size.searchers(service)[i] {
				if err := s.addSearcher(service, domain); err != nil {
					return err
				}
			}
		}
	}
	s.publish()
	ports, err := site.FreePorts(processIP(0), 4)
	if err != nil {
		return errors.Trace(err)
	}
	var seeds []string
	for i, domain := range s.size.instances {
		link, err := relay.NewTCP(listener.Addr().String())
		if err != nil {
			return errors.Trace(err)
		}
		p, err := newProcess(binary, dir, i, domain, ports, s.size.grace, link, seeds, s.features)
		if err != nil {
			return err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, p.node.Exchange)
		}
		s.gateway = append(s.gateway, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

func (s *soak) awaitReady() error {
	until := time.Now().Add(startTime)
	for _, p := range s.gateway {
		for !p.ready() {
			if time.Now().After(until) {
				return errors.Errorf("%s does not serve", p.node.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *soak) stop() {
	for _, p := range s.gateway {
		p.kill()
		_ = p.link.Close() // nothing uses it any more
	}
	for _, one := range s.searchers {
		one.Stop()
	}
	if s.server != nil {
		_ = s.server.Close() // its connections are gone
	}
}

// addSearcher starts a searcher with an ID that was not used before.
func (s *soak) addSearcher(service, domain string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	one, err := s.startSearcher(service, domain, s.versions[service])
	if err == nil {
		s.searchers = append(s.searchers, one)
	}
	return err
}

// startSearcher starts a searcher of a version, empty for that of the start. s.mu is held.
func (s *soak) startSearcher(service, domain, version string) (*site.Searcher, error) {
	s.started++
	size := s.size.searcher(service)
	one, err := site.StartSearcher(fmt.Sprintf("%s-%s-%d", service, domain, s.started), service, domain, size.work, size.slots, s.ledger)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if version != "" {
		one.Version, one.StartUnixMs = version, time.Now().UnixMilli()
	}
	s.store.Put("servers", one.ID, one.Entry("ready"))
	return one, nil
}

// publish writes the next configuration. Its version shows in a route of its own.
func (s *soak) publish() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	body := site.Configuration(s.version, s.size.services(), []site.Route{
		{Prefix: "/search/", Shards: s.size.shards, Idempotent: true, TargetMs: 200},
		{Prefix: "/book/", Service: bookings, TargetMs: 300},
		{Prefix: "/order/", Service: orders, Idempotent: true, TargetMs: 500},
		{Prefix: probePath(s.version), Service: bookings, Idempotent: true, TargetMs: 300},
	})
	if s.features {
		body["tenants"] = s.tenants()
	}
	s.store.Put("config", "main", body)
	return s.version
}

func probePath(version int) string { return fmt.Sprintf("/only-%d/", version) }

// calm reports whether nothing that matters was disturbed from some time before a
// moment until now.
func (s *soak) calm(since time.Time) bool { return s.disturbed.endedBefore(since.Add(-settled)) }
