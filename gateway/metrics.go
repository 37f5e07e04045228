package gateway

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of the answers to callers.
type metrics struct {
	outcomes *prometheus.CounterVec
	refusals *prometheus.CounterVec
	// unauthenticated counts the requests that were refused because of their API key.
	unauthenticated *prometheus.CounterVec
	// aboveFairShare counts the requests beyond the fair shares of their client accounts.
	aboveFairShare prometheus.Counter
	answerLatency  prometheus.Histogram
	readDelay      prometheus.Histogram
}

// newMetrics returns metrics that are registered at r. It panics if r has them already.
func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_answers_total",
			Help: "Answers to callers, by outcome.",
		}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_refusals_total",
			Help: "Requests that were not answered by a searcher, by reason.",
		}, []string{"reason"}),
		unauthenticated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_unauthenticated_requests_total",
			Help: "Requests that were refused because of their API key, by reason.",
		}, []string{"reason"}),
		aboveFairShare: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wharf_above_fair_share_requests_total",
			Help: "Requests beyond the fair shares of their client accounts while capacity was short. They are sent last and refused first.",
		}),
		answerLatency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "wharf_answer_seconds",
			Help:    "Time from the arrival of a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		readDelay: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "wharf_request_read_delay_seconds",
			Help:    "Time from the arrival of a request until it is served, the longest possible one where it is not known exactly.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
	}
	r.MustRegister(m.outcomes, m.refusals, m.unauthenticated, m.aboveFairShare, m.answerLatency, m.readDelay)
	return m
}
