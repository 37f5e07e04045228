package main

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/rollout"
)

// rolloutMetrics holds the metrics about roll-outs.
type rolloutMetrics struct {
	share     *prometheus.GaugeVec
	counts    *prometheus.GaugeVec
	decisions *prometheus.CounterVec
}

func newRolloutMetrics(registry prometheus.Registerer) *rolloutMetrics {
	m := &rolloutMetrics{
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "wharf_rollout_share",
			Help: "Largest share of the requests that the target of a running roll-out may get, by service.",
		}, []string{"service"}),
		counts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "wharf_rollout_counts",
			Help: "Requests and replies of all instances during the last roll-out of a service, as this leader knows them.",
		}, []string{"service", "count"}),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_rollout_decisions_total",
			Help: "Steps of roll-outs that this instance has written, and versions that it knows to be bad.",
		}, []string{"decision"}),
	}
	registry.MustRegister(m.share, m.counts, m.decisions)
	return m
}

func (m *rolloutMetrics) observe(service string, c rollout.Counts) {
	for name, value := range map[string]int64{
		"requests": c.Requests, "sent_to_new": c.Sent, "old_replies": c.OldReplies, "old_bad": c.OldBad, "new_replies": c.NewReplies, "new_bad": c.NewBad,
	} {
		m.counts.WithLabelValues(service, name).Set(float64(value))
	}
}
