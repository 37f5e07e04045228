package broker

import (
	"slices"
	"strconv"
	"time"

	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/slot"
)

// carryOut executes the commands of the state machine in order.
func (o *owner) carryOut(commands []slot.Command) {
	for _, c := range commands {
		switch c.Action {
		case slot.Dispatch:
			o.dispatch(c)
		case slot.Deliver:
			o.end(c.Work, o.reply)
		case slot.Fail:
			if c.Err.Run == result.RunNo {
				o.broker.metrics.refused(c.Err)
			}
			o.end(c.Work, outcome{err: c.Err})
		case slot.Open:
			o.links[c.Conn] = newLink(o, c.Conn)
		case slot.Close:
			if l, ok := o.links[c.Conn]; ok {
				l.forget()
			}
		case slot.Delete:
			o.links[c.Conn].send(deleteExchange(o.workID(c.Work)))
		case slot.ReadStatePage:
			o.links[c.Conn].send(stateExchange())
		}
	}
}

func (o *owner) workID(id slot.WorkID) string {
	return o.workPrefix + "-" + strconv.FormatUint(uint64(id), 10)
}

func (o *owner) dispatch(c slot.Command) {
	j := o.jobs[c.Work]
	j.dispatched = true
	now := o.clock()
	service := o.placement.Service.Name
	o.broker.metrics.dispatches.WithLabelValues(service).Inc()
	o.broker.metrics.queueWait.WithLabelValues(service).Observe((now - j.queuedAt).Seconds())
	o.links[c.Conn].send(o.workExchange(j, o.searcher.State(now).Cold))
}

// end passes the outcome on with the searcher's state after it.
func (o *owner) end(id slot.WorkID, result outcome) {
	j, ok := o.jobs[id]
	if !ok {
		return
	}
	delete(o.jobs, id)
	result.state = o.searcherState(o.searcher.State(o.clock()))
	j.finish(result)
}

func (o *owner) searcherState(s slot.State) peer.SearcherState {
	return peer.SearcherState{
		Searcher:    o.id,
		QueueWaitUs: s.QueueWait.Microseconds(),
		Free:        int32(s.Free),
		Cold:        s.Cold,
		Draining:    s.Draining,
		Usable:      s.Usable,
		Snapshots:   o.snapshots,
	}
}

// publish makes the present state visible to other goroutines and tells
// subscribers of changes that entries have to know at once.
func (o *owner) publish(now time.Duration) {
	s := o.searcher.State(now)
	state := o.searcherState(s)
	former := o.state.Swap(&state)
	o.status.Store(&SearcherStatus{
		Searcher: o.id, Service: o.placement.Service.Name, Address: o.address,
		Queued: s.Queued, Running: s.Running, Abandoned: s.Abandoned, Slots: s.Slots,
		Allowance: s.Allowance, Connections: s.Connections, QueueWait: s.QueueWait, State: state,
	})
	if former == nil || former.Cold != state.Cold || former.Usable != state.Usable ||
		former.Draining != state.Draining || !slices.EqualFunc(former.Snapshots, state.Snapshots, sameSnapshot) {
		o.broker.changes.notify()
		o.broker.config.Log.Info("searcher changed", "searcher", o.id, "cold", state.Cold,
			"usable", state.Usable, "draining", state.Draining, "snapshots", len(state.Snapshots))
	}
}

func sameSnapshot(a, b peer.HeldSnapshot) bool {
	return a.Index == b.Index && a.ID == b.ID && a.Number == b.Number &&
		a.ShardsTotal == b.ShardsTotal && slices.Equal(a.Shards, b.Shards)
}
