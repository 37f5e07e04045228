package main

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// maxLoggedEntries is how many entries that could not be decoded are logged for each configuration.
const maxLoggedEntries = 20

// configMetrics tells what of the newest configuration is not in force.
type configMetrics struct {
	unreadable prometheus.Gauge
	invalid    prometheus.Gauge
}

func newConfigMetrics(registry prometheus.Registerer) configMetrics {
	m := configMetrics{
		unreadable: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "wharf_configuration_unreadable",
			Help: "1 if the newest configuration could not be decoded, so that an older one is in force, else 0.",
		}),
		invalid: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "wharf_configuration_invalid_entries",
			Help: "Entries of the configuration in force that could not be decoded. Requests that need them are refused.",
		}),
	}
	registry.MustRegister(m.unreadable, m.invalid)
	return m
}

// configChanged applies a new configuration. One that can't be decoded, or is deleted, leaves the
// previous one in force. After one that can't be decoded, the previous one no longer counts as current:
// nobody knows which API keys it takes away.
func (s *service) configChanged(e platform.Event) {
	if e.Object.Name != platform.ConfigName || e.Deleted {
		return
	}
	c, err := platform.DecodeConfig(e.Object.Spec)
	if err != nil {
		s.log.Error("invalid configuration ignored, the previous one stays in force", "revision", e.Object.Revision, "error", err.Error())
		s.configMetrics.unreadable.Set(1)
		s.freshness.Reject()
		return
	}
	s.dispatch.SetConfig(c)
	if s.gateway.SetRoutingConfig(c) {
		s.log.Info("configuration in force", "version", c.Version, "routes", c.RouteCount(), "revision", e.Object.Revision)
		s.reportInvalidEntries(c)
	}
	s.configMetrics.unreadable.Set(0)
	s.freshness.Hold(c.Version)
}

// reportInvalidEntries logs and counts the entries of a configuration that could not be decoded.
func (s *service) reportInvalidEntries(c *routing.Config) {
	s.configMetrics.invalid.Set(float64(len(c.Invalid)))
	for i, entry := range c.Invalid {
		if i == maxLoggedEntries {
			s.log.Error("more entries of the configuration are not valid", "version", c.Version, "entries", len(c.Invalid)-i)
			return
		}
		s.log.Error("entry of the configuration is not valid, requests that need it are refused",
			"version", c.Version, "list", entry.List, "name", entry.Name, "error", entry.Reason)
	}
}
