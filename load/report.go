package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// Report is the result of a run. Latencies are those of good and partial
// answers, from the intended time of sending. Each request is counted in
// exactly one of Good, PartialAnswers, RefusedTotal and Errors.
type Report struct {
	Seed            uint64         `json:"seed"`
	StartUnixMs     int64          `json:"start_unix_ms"`
	RatePerSecond   float64        `json:"rate_per_second"`
	DurationSeconds float64        `json:"duration_seconds"`
	Requests        int            `json:"requests"`
	Good            int            `json:"good"`
	PartialAnswers  int            `json:"partial_answers"`
	RefusedTotal    int            `json:"refused_total"`
	Refused         map[string]int `json:"refused"`
	// RefusedNotRun counts refusals that say that the request was not run.
	RefusedNotRun  int            `json:"refused_not_run"`
	Errors         int            `json:"errors"`
	ErrorKinds     map[string]int `json:"error_kinds"`
	CoverageMean   float64        `json:"coverage_mean"`
	P50Ms          float64        `json:"p50_ms"`
	P99Ms          float64        `json:"p99_ms"`
	P999Ms         float64        `json:"p999_ms"`
	RefusedP99Ms   float64        `json:"refused_p99_ms"`
	MixedSnapshots int            `json:"mixed_snapshots"`
	FalseCoverage  int            `json:"false_coverage"`
	ForeignAnswers int            `json:"foreign_answers"`
	// FactsChecked tells whether the next five counts were compared with the
	// facts of the upstream stand-ins, and FalseCoverage for partial answers too.
	FactsChecked    bool `json:"facts_checked"`
	FalseRefusals   int  `json:"false_refusals"`
	DoubledBookings int  `json:"doubled_bookings"`
	UnrunBookings   int  `json:"unrun_bookings"`
	OtherOutcomes   int  `json:"other_outcomes"`
	// SearchesChecked counts refused and partial searches that were compared.
	SearchesChecked int                      `json:"searches_checked"`
	RequestsCut     int                      `json:"requests_cut"`
	Services        map[string]ServiceReport `json:"services"`
	Series          []SecondReport           `json:"series"`
}

// ServiceReport is the part of one service.
type ServiceReport struct {
	Requests       int     `json:"requests"`
	Good           int     `json:"good"`
	PartialAnswers int     `json:"partial_answers"`
	Refused        int     `json:"refused"`
	Errors         int     `json:"errors"`
	P50Ms          float64 `json:"p50_ms"`
	P99Ms          float64 `json:"p99_ms"`
	// Missing counts answers and refusals by each shard that they list as missing.
	Missing map[uint32]int `json:"missing,omitempty"`
	// MissingCodes counts them by the result code that says why.
	MissingCodes map[string]int `json:"missing_codes,omitempty"`
}

// SecondReport is one second of the run, by the intended time of sending.
type SecondReport struct {
	Second  int     `json:"second"`
	Offered int     `json:"offered"`
	Good    int     `json:"good"`
	Partial int     `json:"partial"`
	Refused int     `json:"refused"`
	Errors  int     `json:"errors"`
	P99Ms   float64 `json:"p99_ms"`
}

// Violations returns the number of answers and keys that break an invariant.
func (r *Report) Violations() int {
	return r.MixedSnapshots + r.FalseCoverage + r.ForeignAnswers + r.FalseRefusals +
		r.DoubledBookings + r.UnrunBookings + r.OtherOutcomes
}

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

func (r *recorder) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Seed: r.config.Seed, StartUnixMs: r.start.UnixMilli(), RatePerSecond: r.config.Rate, DurationSeconds: r.config.Duration.Seconds(),
		Requests: r.totals.offered, Good: r.totals.good, PartialAnswers: r.totals.partial,
		RefusedTotal: r.totals.refused, Refused: r.codes, RefusedNotRun: r.notRun, Errors: r.totals.errors, ErrorKinds: r.kinds,
		P50Ms: quantile(r.totals.served, 50), P99Ms: quantile(r.totals.served, 99), P999Ms: quantile(r.totals.served, 99.9),
		RefusedP99Ms:   quantile(r.refusals, 99),
		MixedSnapshots: r.mixed, FalseCoverage: r.coverageBad, ForeignAnswers: r.foreign, RequestsCut: r.cut,
		FactsChecked: r.factsChecked, FalseRefusals: r.found.falseRefusals, DoubledBookings: r.found.doubledBookings,
		UnrunBookings: r.found.unrunBookings, OtherOutcomes: r.found.otherOutcomes,
		SearchesChecked: r.found.searchesChecked,
		Services:        make(map[string]ServiceReport, len(r.services)),
	}
	if served := r.totals.good + r.totals.partial; served > 0 {
		report.CoverageMean = r.coverage / float64(served)
	}
	for name, s := range r.services {
		report.Services[name] = ServiceReport{
			Requests: s.offered, Good: s.good, PartialAnswers: s.partial, Refused: s.refused, Errors: s.errors,
			P50Ms: quantile(s.served, 50), P99Ms: quantile(s.served, 99),
			Missing: r.missing[name], MissingCodes: r.missingCodes[name],
		}
	}
	for i, s := range r.seconds {
		report.Series = append(report.Series, SecondReport{
			Second: i, Offered: s.offered, Good: s.good, Partial: s.partial,
			Refused: s.refused, Errors: s.errors, P99Ms: quantile(s.served, 99),
		})
	}
	return report
}

// WriteTable writes the totals as a short table.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(table, "%s\t%v\n", name, value) }
	row("requests", r.Requests)
	row("good", r.Good)
	row("partial_answers", r.PartialAnswers)
	row("refused", withDetail(r.RefusedTotal, r.Refused))
	row("errors", withDetail(r.Errors, r.ErrorKinds))
	row("coverage_mean", fmt.Sprintf("%.4f", r.CoverageMean))
	row("p50_ms", r.P50Ms)
	row("p99_ms", r.P99Ms)
	row("p999_ms", r.P999Ms)
	row("refused_p99_ms", r.RefusedP99Ms)
	row("mixed_snapshots", r.MixedSnapshots)
	row("false_coverage", r.FalseCoverage)
	row("foreign_answers", r.ForeignAnswers)
	if r.FactsChecked {
		row("false_refusals", r.FalseRefusals)
		row("doubled_bookings", r.DoubledBookings)
		row("unrun_bookings", r.UnrunBookings)
		row("other_outcomes", r.OtherOutcomes)
	} else {
		row("false_refusals", "not checked")
		row("doubled_bookings", "not checked")
	}
	row("requests_cut", r.RequestsCut)
	return errors.Trace(table.Flush())
}

func withDetail(total int, parts map[string]int) string {
	var detail []string
	for name, n := range parts {
		detail = append(detail, fmt.Sprintf("%s: %d", name, n))
	}
	if len(detail) == 0 {
		return fmt.Sprint(total)
	}
	sort.Strings(detail)
	return fmt.Sprintf("%d (%s)", total, strings.Join(detail, ", "))
}
