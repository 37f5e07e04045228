package dispatch

import (
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/searcher"
)

type metrics struct {
	outcomes *prometheus.CounterVec
	dials    *prometheus.CounterVec
	// toLimited counts the attempts sent to searchers that advertise a rate limit.
	toLimited *prometheus.CounterVec
	// failedReplies and failedReplyBytes count replies that failed, and what was read of them.
	failedReplies    *prometheus.CounterVec
	failedReplyBytes *prometheus.CounterVec
	// notices counts what searchers said of themselves in their replies.
	notices *prometheus.CounterVec
	// placedByLatency and placedByCost count the choices of a searcher by what decided.
	placedByLatency, placedByCost prometheus.Counter
}

// newMetrics registers the metrics. budget may be nil.
func newMetrics(r prometheus.Registerer, budget *memory.Budget) *metrics {
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
		failedReplies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_failed_replies_total",
			Help: "Replies of searchers that failed after their first byte, by reason.",
		}, []string{"reason"}),
		failedReplyBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_failed_reply_bytes_total",
			Help: "Bytes that were read of replies that failed, by reason.",
		}, []string{"reason"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_searcher_notices_total",
			Help: "Replies in which searchers said that they leave or asked for a pause, by kind.",
		}, []string{"kind"}),
	}
	placements := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wharf_placements_total",
		Help: "Choices of a searcher, by what decided: its latency, or the expected cost of the request.",
	}, []string{"by"})
	m.placedByLatency, m.placedByCost = placements.WithLabelValues("latency"), placements.WithLabelValues("cost")
	r.MustRegister(placements, m.outcomes, m.dials, m.toLimited, m.failedReplies, m.failedReplyBytes, m.notices)
	if budget != nil {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "wharf_held_bytes",
			Help: "Bytes of requests and replies that the instance holds.",
		}, func() float64 { return float64(budget.Used()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "wharf_held_bytes_limit",
			Help: "Most bytes of requests and replies that the instance holds.",
		}, func() float64 { return float64(budget.Limit()) }))
	}
	return m
}

func (m *metrics) replyFailed(e *searcher.ReplyError) {
	m.failedReplies.WithLabelValues(e.Cause.String()).Inc()
	m.failedReplyBytes.WithLabelValues(e.Cause.String()).Add(float64(e.Read))
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
	case errors.Is(err, ErrTooLate):
		m.outcomes.WithLabelValues("too late").Inc()
	case errors.Is(err, ErrPaused):
		m.outcomes.WithLabelValues("paused").Inc()
	case errors.Is(err, ErrLeaving):
		m.outcomes.WithLabelValues("leaving").Inc()
	default:
		m.outcomes.WithLabelValues("no searcher").Inc()
	}
}

// rejected counts a connection that was opened and then rejected by the searcher.
func (m *metrics) rejected() { m.dials.WithLabelValues("rejected").Inc() }

func (m *metrics) dialed(err error) {
	outcome := "opened"
	if err != nil {
		outcome = "failed"
	}
	m.dials.WithLabelValues(outcome).Inc()
}
