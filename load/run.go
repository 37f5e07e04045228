package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/settings"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

// repeatPause is the longest pause before a booking is sent again after its
// answer.
const repeatPause = 200 * time.Millisecond

// firstLookup bounds the wait for the first answer about addresses.
const firstLookup = 10 * time.Second

// Run generates load until Duration has passed or ctx ends, waits for the
// answers and returns the report.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	connections := newPool()
	defer connections.close()
	g := &generator{
		config:      config,
		addresses:   newAddresses(config, connections),
		recorder:    newRecorder(config),
		bookings:    newLedger(),
		searches:    newSearchLedger(),
		outstanding: make(chan struct{}, config.MaxOutstanding),
		name:        uuid.NewString()[:8],
	}
	lookups, stop := context.WithCancel(context.WithoutCancel(ctx))
	var refreshing sync.WaitGroup
	defer refreshing.Wait()
	defer stop()
	if err := g.awaitAddresses(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	refreshing.Go(func() { g.addresses.run(lookups) })
	g.generate(ctx)
	g.running.Wait()
	return g.report(), nil
}

// generator sends the requests of one run.
type generator struct {
	config      Config
	addresses   *addresses
	recorder    *recorder
	bookings    *ledger
	searches    *searchLedger
	outstanding chan struct{}
	running     sync.WaitGroup
	// name makes query strings unique among runs.
	name string
}

func (g *generator) awaitAddresses(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, firstLookup)
	defer cancel()
	for {
		_, err := g.addresses.refresh(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(lookupRetry):
		case <-ctx.Done():
			return errors.Annotate(err, "no entry answers")
		}
	}
}

// arrival is one intended request.
type arrival struct {
	after   time.Duration
	number  uint64
	service Share
	// repeat and concurrent say whether a booking is sent again, and when.
	repeat     bool
	concurrent bool
	pause      time.Duration
}

// schedule draws arrivals of a Poisson process.
type schedule struct {
	config Config
	random *rand.Rand
	total  float64
	last   arrival
}

func newSchedule(config Config) *schedule {
	s := &schedule{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
	for _, share := range config.Mix {
		s.total += share.Weight
	}
	return s
}

// next returns the next arrival. All draws are made for every arrival, so that
// the times do not depend on the mix.
func (s *schedule) next() arrival {
	gap := s.random.ExpFloat64() / s.config.Rate
	a := arrival{
		after:      s.last.after + time.Duration(gap*float64(time.Second)),
		number:     s.last.number + 1,
		service:    s.pick(s.random.Float64() * s.total),
		repeat:     s.random.Float64() < s.config.RepeatShare,
		concurrent: s.random.Float64() < s.config.ConcurrentShare,
		pause:      time.Duration(s.random.Float64() * float64(repeatPause)),
	}
	s.last = a
	return a
}

func (s *schedule) pick(at float64) Share {
	for _, share := range s.config.Mix {
		if at < share.Weight {
			return share
		}
		at -= share.Weight
	}
	return s.config.Mix[len(s.config.Mix)-1]
}

func (g *generator) generate(ctx context.Context) {
	schedule := newSchedule(g.config)
	start := time.Now()
	g.recorder.begin(start)
	for {
		a := schedule.next()
		if a.after >= g.config.Duration {
			return
		}
		intended := start.Add(a.after)
		select {
		case <-time.After(time.Until(intended)):
		case <-ctx.Done():
			return
		}
		if a.service.Kind == settings.KindBooking {
			g.book(a, intended)
		} else {
			g.search(a, intended)
		}
	}
}

// launch runs send for one request, in a goroutine of its own, and records its
// verdict. then is called afterwards.
func (g *generator) launch(a arrival, intended time.Time, send func() verdict, then func(sample)) {
	s := sample{service: a.service.Service, intended: intended}
	select {
	case g.outstanding <- struct{}{}:
	default:
		s.verdict = failed(kindOverrun)
		g.recorder.add(s)
		return
	}
	g.running.Go(func() {
		s.verdict = send()
		s.latency = time.Since(intended)
		<-g.outstanding
		g.recorder.add(s)
		then(s)
	})
}

func (g *generator) report() *Report {
	runs, err := fetchRuns(g.config.Facts)
	var ran map[string][]standin.SearchRun
	if err == nil {
		ran, err = fetchSearches(g.config.Facts, g.searches.queries(), g.recorder.start)
	}
	if err != nil {
		g.config.Log.Error("facts not read, refusals are not checked", "error", err.Error())
	}
	report := g.recorder
	report.factsChecked = err == nil && len(g.config.Facts) > 0
	if report.factsChecked {
		g.bookings.check(runs, report)
		g.searches.check(ran, report)
	}
	return report.report()
}
