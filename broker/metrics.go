package broker

import (
	"strconv"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/result"
)

// metrics counts what the broker does, and reads the state of its searchers
// when it is collected.
type metrics struct {
	broker      *Broker
	dispatches  *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	queueWait   *prometheus.HistogramVec
	running     *prometheus.Desc
	abandoned   *prometheus.Desc
	queued      *prometheus.Desc
	cold        *prometheus.Desc
	connections *prometheus.Desc
	searchers   *prometheus.Desc
}

func newMetrics(b *Broker) *metrics {
	service := []string{"service"}
	gauge := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("wharf_broker_"+name, help, service, nil)
	}
	return &metrics{
		broker: b,
		dispatches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_broker_dispatches_total", Help: "Requests handed to a connection of a searcher."}, service),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_broker_refusals_total", Help: "Requests that were not run, by result code."}, []string{"code"}),
		queueWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "wharf_broker_queue_wait_seconds", Help: "Time from arrival to dispatch.",
			Buckets: prometheus.ExponentialBuckets(0.0002, 2, 14)}, service),
		running:     gauge("running", "Requests that count against slots."),
		abandoned:   gauge("abandoned", "Requests given up that may still run at the upstream."),
		queued:      gauge("queue_length", "Requests that wait for a slot."),
		cold:        gauge("cold", "Searchers in cold start."),
		connections: gauge("connections", "Open connections, including those being opened."),
		searchers:   gauge("searchers", "Searchers held."),
	}
}

func (m *metrics) register(r prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{m.dispatches, m.refusals, m.queueWait, m} {
		if err := r.Register(c); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (m *metrics) refused(err *result.Error) {
	m.refusals.WithLabelValues(strconv.Itoa(int(err.Code))).Inc()
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.running, m.abandoned, m.queued, m.cold, m.connections, m.searchers} {
		c <- d
	}
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(c chan<- prometheus.Metric) {
	type sums struct{ running, abandoned, queued, cold, connections, searchers int }
	services := make(map[string]*sums)
	for _, s := range m.broker.Status() {
		t := services[s.Service]
		if t == nil {
			t = &sums{}
			services[s.Service] = t
		}
		t.running += s.Running
		t.abandoned += s.Abandoned
		t.queued += s.Queued
		t.connections += s.Connections
		t.searchers++
		if s.State.Cold {
			t.cold++
		}
	}
	for service, t := range services {
		send := func(d *prometheus.Desc, v int) {
			c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), service)
		}
		send(m.running, t.running)
		send(m.abandoned, t.abandoned)
		send(m.queued, t.queued)
		send(m.cold, t.cold)
		send(m.connections, t.connections)
		send(m.searchers, t.searchers)
	}
}
