// Command measure runs deployments with stand-ins on loopback and prints the
// figures of docs/MEASUREMENTS.md.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/internal/deployment"
	"github.com/wisteriawharf/wisteriawharf/load"
)

// common holds the options of all measurements.
type common struct {
	Binaries string `long:"binaries" default:"bin" description:"directory of the built programs"`
	Out      string `long:"out" default:"out/measure" description:"directory for results and logs"`
}

var shared common

// domains are the failure domains of every measured deployment.
var domains = []string{"split", "trogir", "brac"}

const (
	// service is the name of the generated search service.
	service = "measured"
	// serviceTime is the median of the searchers' lognormal service time.
	serviceTime = 20 * time.Millisecond
	sigma       = 0.4
	slots       = 3
)

// meanService is the mean of the lognormal service time, exp(sigma^2/2) times
// its median.
const meanService = time.Duration(float64(serviceTime) * 1.0833)

// capacity is the number of queries per second that the searchers of one shard
// can serve.
func capacity() float64 { return float64(slots*len(domains)) / meanService.Seconds() }

// setup describes one deployment to measure.
type setup struct {
	name        string
	shards      int
	hedgeBudget float64
	stragglers  float64
	deadline    string
	perDomain   int
}

func (s setup) start() (*deployment.Deployment, error) {
	dir, err := filepath.Abs(filepath.Join(shared.Out, s.name))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		return nil, errors.Trace(err)
	}
	services := filepath.Join(dir, "source")
	generated := deployment.SearchService{
		Name: service, Shards: s.shards, Slots: slots, Domains: domains,
		HedgeBudget: s.hedgeBudget, Deadline: s.deadline, MinCoverage: 0.9,
	}
	if err := generated.Write(services); err != nil {
		return nil, err
	}
	d, err := deployment.Start(deployment.Config{
		Binaries: shared.Binaries, Services: services, Dir: dir, Domains: domains, PerDomain: max(s.perDomain, 2),
		Upstream: []string{
			"--service-time=" + serviceTime.String(), fmt.Sprintf("--sigma=%g", sigma),
			fmt.Sprintf("--straggler-share=%g", s.stragglers),
		},
	})
	if err != nil {
		return nil, err
	}
	return d, warm(d, s.shards)
}

// maxWarmRate bounds the sub-requests per second of the warm-up, which at a
// large fan-out would otherwise take more than one machine has.
const maxWarmRate = 4000.0

// warm lets membership settle and the searchers leave their cold start.
func warm(d *deployment.Deployment, shards int) error {
	most := maxWarmRate / float64(shards) / capacity()
	if _, err := run(d, "warm-1", min(0.3, most), 8*time.Second); err != nil {
		return err
	}
	_, err := run(d, "warm-2", min(0.5, most), 4*time.Second)
	return err
}

// run offers a share of the capacity and returns the report.
func run(d *deployment.Deployment, name string, share float64, duration time.Duration) (*load.Report, error) {
	l, err := start(d, name, share, duration)
	if err != nil {
		return nil, err
	}
	return l.Wait()
}

func start(d *deployment.Deployment, name string, share float64, duration time.Duration) (*deployment.Load, error) {
	return d.StartLoad(name, fmt.Sprintf("--rate=%g", share*capacity()), "--duration="+duration.String(),
		"--search="+service, "--search-deadline=2s", "--callers=20")
}

func main() {
	parser := flags.NewParser(&shared, flags.Default)
	for _, c := range []struct {
		name, text string
		command    flags.Commander
	}{
		{"limits", "ways of keeping the slots of a searcher, in a queueing model", &limits{}},
		{"saturation", "offered load from 0.5 to 3 times capacity", &saturation{}},
		{"queue", "p99 at 85 % load against one shared queue for each shard", &queueing{}},
		{"hedging", "stragglers with hedging off and on", &hedging{}},
		{"faults", "failure domain out and back, broker killed, platform away", &faults{}},
		{"model", "what the parts of the path cost, in a queueing model", &modelling{}},
		{"cost", "processor time per query and sub-request by fan-out", &cost{}},
	} {
		if _, err := parser.AddCommand(c.name, c.text, "", c.command); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
