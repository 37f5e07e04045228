package dispatch

import (
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	outcomes *prometheus.CounterVec
	dials    *prometheus.CounterVec
	// toLimited counts the attempts sent to searchers that advertise a rate limit.
	toLimited *prometheus.CounterVec
	// notices counts what searchers said of themselves in their replies.
	notices *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_attempts_total",
			Help: "Attempts to run a request on a searcher, by outcome.",
		}, []string{"outcome"}),
		dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_searcher_dials_total",
			Help: "Connections opened to searchers, by outcome.",
		}, []string{"outcome"}),
		toLimited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_rate_limited_searcher_attempts_total",
			Help: "Attempts sent to searchers that advertise a rate limit, by kind.",
		}, []string{"kind"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_searcher_notices_total",
			Help: "Replies in which searchers said that they leave or asked for a pause, by kind.",
		}, []string{"kind"}),
	}
	r.MustRegister(m.outcomes, m.dials, m.toLimited, m.notices)
	return m
}

func (m *metrics) ended(o Outcome) { m.outcomes.WithLabelValues(o.String()).Inc() }

func (m *metrics) notStarted(err error) {
	switch {
	case errors.Is(err, ErrRetryBudgetSpent):
		m.outcomes.WithLabelValues("no budget").Inc()
	case errors.Is(err, ErrBusy):
		m.outcomes.WithLabelValues("busy").Inc()
	case errors.Is(err, ErrRateLimited):
		m.outcomes.WithLabelValues("rate limited").Inc()
	case errors.Is(err, ErrPaused):
		m.outcomes.WithLabelValues("paused").Inc()
	case errors.Is(err, ErrLeaving):
		m.outcomes.WithLabelValues("leaving").Inc()
	default:
		m.outcomes.WithLabelValues("no searcher").Inc()
	}
}

func (m *metrics) dialed(err error) {
	outcome := "opened"
	if err != nil {
		outcome = "failed"
	}
	m.dials.WithLabelValues(outcome).Inc()
}
