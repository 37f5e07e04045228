package simulation

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/route"
)

// reportAll starts the reports of all searchers to all entries. Each shard
// stands for a broker; their reports are spread over the interval.
func (r *run) reportAll() {
	for e := range r.known {
		for s := range r.servers {
			for i := range r.servers[s] {
				r.after(time.Duration(r.random.Int63n(int64(r.Status))), func() { r.report(e, s, i) })
			}
		}
	}
}

func (r *run) report(entry, shard, i int) {
	state := r.state(r.servers[shard][i])
	r.after(r.hop(), func() { r.learn(entry, shard, i, state) })
	r.after(r.Status, func() { r.report(entry, shard, i) })
}

// learn takes a report. Parts that the entry has under way to the searcher are
// forgotten, as in package entry.
func (r *run) learn(entry, shard, i int, state route.Load) {
	k := &r.known[entry][shard][i]
	state.ReportedAt, state.Known = r.now, true
	k.load = state
	k.reports++
}
