package entry

import (
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/result"
)

// metrics are the measures and decisions of the entry.
type metrics struct {
	latency        *prometheus.HistogramVec
	coverage       *prometheus.HistogramVec
	parts          *prometheus.CounterVec
	extra          *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	hedgesWon      *prometheus.CounterVec
	hedgesRefunded *prometheus.CounterVec
	hedgesUnpaid   *prometheus.CounterVec
	failovers      *prometheus.CounterVec
	restarts       *prometheus.CounterVec
	partials       *prometheus.CounterVec
	dropped        *prometheus.CounterVec
	bookings       *prometheus.HistogramVec
	brokersLost    prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	latency := prometheus.ExponentialBuckets(0.001, 1.4, 26)
	m := &metrics{
		latency:        histogram("search_latency_seconds", "Time from a search to its answer.", latency, "service"),
		coverage:       histogram("coverage_ratio", "Share of shards in the answers to searches.", []float64{0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 1}, "service"),
		parts:          counter("parts_total", "Parts sent that are not hedges.", "service"),
		extra:          counter("hedges_total", "Parts sent as hedges. Less those refunded, their ratio to parts_total bounds the extra load.", "service"),
		hedgesRefunded: counter("hedges_refunded_total", "Hedges that caused no extra load, because one of the two parts was withdrawn before it ran.", "service"),
		refusals:       counter("refusals_total", "Requests that were refused.", "code"),
		hedgesWon:      counter("hedges_won_total", "Hedges that answered first.", "service"),
		hedgesUnpaid:   counter("hedges_over_budget_total", "Hedges not sent because the budget was spent.", "service"),
		failovers:      counter("failovers_total", "Parts sent to another replica after a failure.", "service", "code"),
		restarts:       counter("restarts_total", "Queries restarted on a newer snapshot.", "service"),
		partials:       counter("partials_total", "Searches that ended without all shards.", "service", "reason"),
		dropped:        counter("replies_dropped_total", "Part replies that were not merged.", "reason"),
		bookings:       histogram("booking_latency_seconds", "Time from a booking to its outcome.", latency, "service"),
		brokersLost: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wharf_entry_broker_losses_total", Help: "Brokers avoided because their status stream was lost or silent.",
		}),
	}
	for _, c := range []prometheus.Collector{
		m.latency, m.coverage, m.parts, m.extra, m.refusals, m.hedgesWon, m.hedgesRefunded, m.hedgesUnpaid,
		m.failovers, m.restarts, m.partials, m.dropped, m.bookings, m.brokersLost,
	} {
		if err := registry.Register(c); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return m, nil
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "wharf_entry_" + name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "wharf_entry_" + name, Help: help, Buckets: buckets}, labels)
}

func codeLabel(code result.Code) string { return strconv.Itoa(int(code)) }

func (m *metrics) refusal(code result.Code) { m.refusals.WithLabelValues(codeLabel(code)).Inc() }

func (m *metrics) part(service string, isHedge bool) {
	if isHedge {
		m.extra.WithLabelValues(service).Inc()
		return
	}
	m.parts.WithLabelValues(service).Inc()
}

func (m *metrics) search(service string, took time.Duration, answer *caller.SearchAnswer, partial string) {
	m.latency.WithLabelValues(service).Observe(took.Seconds())
	if answer != nil && answer.Coverage.Asked > 0 {
		m.coverage.WithLabelValues(service).Observe(float64(answer.Coverage.Answered) / float64(answer.Coverage.Asked))
	}
	if partial != "" {
		m.partials.WithLabelValues(service, partial).Inc()
	}
}
