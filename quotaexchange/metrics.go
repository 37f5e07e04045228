package quotaexchange

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of quotas.
type metrics struct {
	granted, reserve, refused, unlimited, expired prometheus.Counter
	overdrawn                                     prometheus.Counter
	accounts                                      prometheus.Gauge
}

// newMetrics returns metrics that are registered at r. It panics if r has them already.
func newMetrics(r prometheus.Registerer) *metrics {
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wharf_quota_requests_total",
		Help: "Requests of client accounts, by the decision about their quota.",
	}, []string{"decision"})
	m := &metrics{
		granted: requests.WithLabelValues("granted"), reserve: requests.WithLabelValues("reserve"),
		refused: requests.WithLabelValues("refused"), unlimited: requests.WithLabelValues("no limit"),
		expired: requests.WithLabelValues("expired"),
		overdrawn: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wharf_quota_overdrawn_total",
			Help: "Requests of client accounts that were sent to a searcher after their token had expired.",
		}),
		accounts: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "wharf_quota_accounts",
			Help: "Client accounts with a quota in the memory of this instance, as holder of tokens and as coordinator.",
		}),
	}
	r.MustRegister(requests, m.overdrawn, m.accounts)
	return m
}
