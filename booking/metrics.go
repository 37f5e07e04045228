package booking

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	replies *prometheus.CounterVec
	writes  prometheus.Counter
	rereads prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	f := promauto.With(r)
	return &metrics{
		replies: f.NewCounterVec(prometheus.CounterOpts{
			Name: "wharf_booking_replies_total",
			Help: "Replies to bookings by service and result code; 0 is success.",
		}, []string{"service", "code"}),
		writes: f.NewCounter(prometheus.CounterOpts{
			Name: "wharf_booking_claim_writes_total",
			Help: "Conditional writes of claims to the platform.",
		}),
		rereads: f.NewCounter(prometheus.CounterOpts{
			Name: "wharf_booking_claim_rereads_total",
			Help: "Writes of claims that conflicted or had an unknown outcome, so that the claims were read again.",
		}),
	}
}

func codeLabel(code uint16) string { return strconv.Itoa(int(code)) }
