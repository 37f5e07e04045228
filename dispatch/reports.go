package dispatch

import (
	"sort"

	"github.com/wisteriawharf/wisteriawharf/balance"
)

// TakeReports returns reports for other instances about searchers that recently failed or
// were slow. It returns at most limit reports, those with the most requests first, and
// keeps the others for a later call. Each report is returned only once.
func (d *Dispatcher) TakeReports(limit int) []balance.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Boottime()
	var suspects []*target
	for _, t := range d.searchers {
		if t.observations.PendingCount(now) > 0 {
			suspects = append(suspects, t)
		}
	}
	sort.Slice(suspects, func(i, j int) bool {
		return suspects[i].observations.PendingCount(now) > suspects[j].observations.PendingCount(now)
	})
	reports := make([]balance.Report, 0, min(len(suspects), limit))
	for _, t := range suspects[:min(len(suspects), limit)] {
		reports = append(reports, t.observations.TakeReport(t.ID))
	}
	return reports
}

// ApplyReports applies the reports of another instance. Reports about unknown searchers
// are ignored.
func (d *Dispatcher) ApplyReports(reports []balance.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Boottime()
	for _, r := range reports {
		if t := d.searchers[r.Searcher]; t != nil {
			median, _ := t.service.latency.Quantile(0.5)
			if t.stats.ApplyReport(now, r) {
				t.service.costs.ObserveReport(now, &t.cost, r.Answered, r.MeanLatency, median)
			}
			t.observations.ReceiveReport(now, r, median)
		}
	}
}
