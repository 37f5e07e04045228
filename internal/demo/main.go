// Command demo runs one deployment with stand-ins on loopback, through a failure
// domain going out and back, a killed broker, an upstream that turns cold and a
// planned stop, and reports the four measures and the broken invariants.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/internal/deployment"
	"github.com/wisteriawharf/wisteriawharf/load"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

type options struct {
	Binaries string  `long:"binaries" default:"bin" description:"directory of the built programs"`
	Out      string  `long:"out" default:"out" description:"directory for results and logs"`
	Rate     float64 `long:"rate" default:"120" description:"requests per second"`
}

// Moments of the run, from the start of the load.
const (
	loadDuration  = 30 * time.Second
	domainOutAt   = 4 * time.Second
	domainBackAt  = 11 * time.Second
	brokerKillAt  = 17 * time.Second
	upstreamCold  = 22 * time.Second
	plannedStopAt = 24 * time.Second
)

// summary is the JSON result. The counts of broken invariants come from the
// load generator and the stand-ins, not from the daemons.
type summary struct {
	Requests        int     `json:"requests"`
	P50Ms           float64 `json:"p50_ms"`
	P99Ms           float64 `json:"p99_ms"`
	CoverageMean    float64 `json:"coverage_mean"`
	PartialAnswers  int     `json:"partial_answers"`
	Refused         int     `json:"refused"`
	ExtraLoadRatio  float64 `json:"extra_load_ratio"`
	Errors          int     `json:"errors"`
	StartsDomainOut int     `json:"starts_in_domain_out"`

	MixedSnapshots           int `json:"mixed_snapshots"`
	FalseCoverage            int `json:"false_coverage"`
	DoubledBookings          int `json:"doubled_bookings"`
	FalseRefusals            int `json:"false_refusals"`
	ForeignAnswers           int `json:"foreign_answers"`
	SlotLimitExceeded        int `json:"slot_limit_exceeded"`
	ColdLimitExceeded        int `json:"cold_limit_exceeded"`
	RequestsCutByPlannedStop int `json:"requests_cut_by_planned_stop"`
	ConnectionLimitExceeded  int `json:"connection_limit_exceeded"`
}

func (s summary) violations() int {
	return s.MixedSnapshots + s.FalseCoverage + s.DoubledBookings + s.FalseRefusals + s.ForeignAnswers +
		s.SlotLimitExceeded + s.ColdLimitExceeded + s.RequestsCutByPlannedStop + s.ConnectionLimitExceeded + s.StartsDomainOut
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	dir, err := filepath.Abs(filepath.Join(o.Out, "demo"))
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		return errors.Trace(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	say("starting the platform stand-in, searchers and 6 instances in 3 failure domains")
	d, err := deployment.Start(deployment.Config{
		Binaries: o.Binaries, Services: "examples/brac", Dir: dir,
		Domains: []string{"split", "trogir", "brac"}, PerDomain: 2,
		Upstream: []string{"--service-time=20ms", "--straggler-share=0.01"},
	})
	if err != nil {
		return err
	}
	defer d.Kill()
	result, err := scenario(d, o)
	if err != nil {
		return err
	}
	say("planned stop of everything")
	if err := d.Stop(); err != nil {
		return err
	}
	return report(o, result)
}

func say(format string, args ...any) {
	fmt.Printf("%s  %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func scenario(d *deployment.Deployment, o options) (*summary, error) {
	if err := warmUp(d); err != nil {
		return nil, err
	}
	say("load: %.0f requests a second for %s", o.Rate, loadDuration)
	began := time.Now()
	l, err := d.StartLoad("load", mix(o.Rate, loadDuration)...)
	if err != nil {
		return nil, err
	}
	outWindow, err := events(d, began)
	if err != nil {
		return nil, err
	}
	r, err := l.Wait()
	if err != nil {
		return nil, err
	}
	facts, err := d.Facts()
	if err != nil {
		return nil, err
	}
	return summarise(r, facts, outWindow), nil
}

func mix(rate float64, duration time.Duration) []string {
	return []string{
		fmt.Sprintf("--rate=%g", rate), "--duration=" + duration.String(),
		"--search=restoration-desk=0.5", "--search=dispatch=0.35", "--book=order-booking=0.1", "--book=invoicing=0.05",
	}
}

// warmUp lets the searchers leave their cold start before anything is measured.
func warmUp(d *deployment.Deployment) error {
	say("warming up")
	l, err := d.StartLoad("warm-up", mix(60, 6*time.Second)...)
	if err != nil {
		return err
	}
	_, err = l.Wait()
	return err
}

// window is a span of whole seconds of Unix time.
type window struct{ from, to int64 }

func events(d *deployment.Deployment, began time.Time) (window, error) {
	at := func(moment time.Duration) { time.Sleep(time.Until(began.Add(moment))) }
	at(domainOutAt)
	say("failure domain trogir goes out")
	if _, err := d.Wharfctl("domain", "out", "trogir", "--reason=power work"); err != nil {
		return window{}, err
	}
	// The order has to be in force everywhere 3 s after it was given.
	w := window{from: time.Now().Add(4 * time.Second).Unix()}
	at(domainBackAt)
	w.to = time.Now().Unix()
	say("failure domain trogir comes back")
	if _, err := d.Wharfctl("domain", "back", "trogir", "--reason=power work done"); err != nil {
		return w, err
	}
	at(brokerKillAt)
	say("broker of %s is killed", d.Instances[0].Name)
	d.Instances[0].Broker.Kill()
	at(upstreamCold)
	say("searcher rd-03-c restarts cold")
	if err := d.UpstreamControl(map[string]any{"searcher": "rd-03-c", "set": map[string]any{"restart": true}}); err != nil {
		return w, err
	}
	at(plannedStopAt)
	say("planned stop of the entry of %s", d.Instances[5].Name)
	if err := d.Instances[5].Entry.Stop(); err != nil {
		return w, err
	}
	say("the entry of %s has stopped", d.Instances[5].Name)
	return w, nil
}

func summarise(r *load.Report, f *standin.Facts, w window) *summary {
	s := &summary{
		Requests: r.Requests, P50Ms: r.P50Ms, P99Ms: r.P99Ms, CoverageMean: r.CoverageMean,
		PartialAnswers: r.PartialAnswers, Refused: r.RefusedTotal, Errors: r.Errors,
		MixedSnapshots: r.MixedSnapshots, FalseCoverage: r.FalseCoverage, ForeignAnswers: r.ForeignAnswers,
		FalseRefusals: r.FalseRefusals, DoubledBookings: max(r.DoubledBookings, f.Bookings.DoubledBookings),
		RequestsCutByPlannedStop: r.RequestsCut,
		SlotLimitExceeded:        f.Totals.SlotLimitExceeded,
		ColdLimitExceeded:        f.Totals.ColdLimitExceeded,
		ConnectionLimitExceeded:  f.Totals.ConnectionLimitExceeded,
	}
	if useful := f.Totals.Started - f.Totals.Cancelled - f.Totals.Abandoned; useful > 0 {
		s.ExtraLoadRatio = float64(f.Totals.Cancelled+f.Totals.Abandoned) / float64(useful)
	}
	for second, n := range f.Domains["trogir"].PerSecond {
		if second > w.from && second < w.to {
			s.StartsDomainOut += n
		}
	}
	return s
}

func report(o options, s *summary) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	file := filepath.Join(o.Out, "demo.json")
	if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
		return errors.Trace(err)
	}
	fmt.Printf("\ntail latency          p50 %.1f ms, p99 %.1f ms\n", s.P50Ms, s.P99Ms)
	fmt.Printf("coverage              %.4f, %d of %d answers partial, %d refused, %d errors\n",
		s.CoverageMean, s.PartialAnswers, s.Requests, s.Refused, s.Errors)
	fmt.Printf("extra load            %.3f\n", s.ExtraLoadRatio)
	fmt.Printf("failure domain out    %d starts there while it was out\n", s.StartsDomainOut)
	fmt.Printf("broken invariants     %d (%s)\n", s.violations(), file)
	if s.violations() > 0 {
		return errors.Errorf("%d broken invariants, see %s", s.violations(), file)
	}
	return nil
}
