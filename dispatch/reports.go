package dispatch

import (
	"sort"

	"github.com/wisteriawharf/wisteriawharf/balance"
)

// Reports returns what other instances should know of the searchers that failed or
// were slow lately, at most so many: those with most requests first. The rest stays for
// the next call.
func (d *Dispatcher) Reports(most int) []balance.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Boottime()
	var suspects []*target
	for _, t := range d.searchers {
		if t.sightings.PendingCount(now) > 0 {
			suspects = append(suspects, t)
		}
	}
	sort.Slice(suspects, func(i, j int) bool { return suspects[i].sightings.PendingCount(now) > suspects[j].sightings.PendingCount(now) })
	reports := make([]balance.Report, 0, min(len(suspects), most))
	for _, t := range suspects[:min(len(suspects), most)] {
		reports = append(reports, t.sightings.TakeReport(t.ID))
	}
	return reports
}

// Heard takes what another instance has seen of searchers.
func (d *Dispatcher) Heard(reports []balance.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Clock.Boottime()
	for _, r := range reports {
		if t := d.searchers[r.Searcher]; t != nil {
			usual, _ := t.service.latency.At(0.5)
			t.record.ApplyReport(now, r)
			t.sightings.ReceiveReport(now, r, usual)
		}
	}
}
