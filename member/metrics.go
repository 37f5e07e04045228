package member

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/assign"
)

type metrics struct {
	exchanges *prometheus.CounterVec
	exchanged *prometheus.CounterVec
	writes    *prometheus.CounterVec
	platform  *prometheus.CounterVec
	suspected prometheus.Counter
	recorded  prometheus.Counter
	released  prometheus.Counter
}

func newMetrics(registry prometheus.Registerer, m *Member) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "wharf_member_" + name, Help: help})
	}
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "wharf_member_" + name, Help: help}, labels)
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "wharf_member_" + name, Help: help}, value)
	}
	result := &metrics{
		exchanges: vector("exchanges_total", "Exchanges of control state that this process started.", "outcome"),
		exchanged: vector("exchange_sent_bytes_total", "Bytes of control state sent in exchanges, apart from framing: summaries, items with their values, and parts of settings.", "content"),
		writes:    vector("record_writes_total", "Writes of the failure domain's record.", "outcome"),
		platform:  vector("platform_calls_total", "Calls to the platform.", "call", "outcome"),
		suspected: counter("suspicions_total", "Processes that this coordinator began to suspect."),
		recorded:  counter("orders_recorded_total", "Direct orders that this coordinator recorded."),
		released:  counter("searchers_released_total", "Searchers released to another owner."),
	}
	collectors := []prometheus.Collector{
		result.exchanges, result.exchanged, result.writes, result.platform, result.suspected, result.recorded, result.released,
		gauge("revision", "Number of the settings revision in force.", func() float64 {
			return float64(m.config.State.View().Revision)
		}),
		gauge("epoch", "Epoch of the failure domain's record.", func() float64 {
			if record, _ := m.home.record(); record != nil {
				return float64(record.Epoch)
			}
			return 0
		}),
		gauge("right", "Dispatch right: 3 leased, 2 confirmed by all, 1 by some, 0 none.", func() float64 {
			return float64(m.right())
		}),
	}
	if m.isBroker() {
		collectors = append(collectors, gauge("platform_reachable", "1 if the platform is reachable.", func() float64 {
			if m.PlatformReachable() {
				return 1
			}
			return 0
		}))
	}
	for _, c := range collectors {
		if err := registry.Register(c); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func (m *Member) right() assign.Right {
	now := m.config.Clock.Boottime()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.home.rights.At(now)
}

func outcome(err error) string {
	if err != nil {
		return "error"
	}
	return "ok"
}
