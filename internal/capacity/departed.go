package main

import (
	"fmt"
	"time"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/internal/slope"
	"github.com/wisteriawharf/wisteriawharf/member"
)

const (
	// domainMembers and domainSearchers are those of one failure domain at the
	// design size: 2,100 nodes and 95,000 searchers over 28 domains.
	domainMembers   = 75
	domainSearchers = 3393
)

// departures counts what the successors of brokers that were lost together may
// use an hour later, when all remaining members have acknowledged the epoch. It
// evaluates package assign without processes, so that runs do not differ.
func (b *bench) departures() {
	t := &slope.Table{
		Title: "Brokers of one domain of 75 lost in one epoch, none of which answers again: one hour later", Size: "lost broker",
		Columns: []string{"record bytes", "searchers moved", "of them at full limits", "at the cold allowance", "not usable"},
	}
	for _, lost := range []int{0, 1, 2, 5, 25} {
		depart(t, lost)
	}
	replaced := &slope.Table{
		Title: "All brokers of a domain replaced at once (the new ones join, then the old ones are removed)", Size: "broker",
		Columns: []string{"record bytes", "record bytes once the new brokers have acknowledged"},
	}
	for _, brokers := range []int{3, 25, domainMembers} {
		all := heardOf(2 * brokers)
		r := next(next(control.Record{}, all[:brokers]), all[:brokers])
		r = next(r, all[brokers:])
		removed := nextWithout(r, all[brokers:], all[:brokers], nil)
		acknowledged := nextWithout(removed, all[brokers:], nil, acknowledge(all[brokers:], removed.Epoch))
		replaced.Add(float64(brokers), encodedBytes(removed), encodedBytes(acknowledged))
	}
	show(t, replaced)
}

func heardOf(brokers int) []assign.BrokerHeartbeat {
	var heard []assign.BrokerHeartbeat
	for i := range brokers {
		heard = append(heard, assign.BrokerHeartbeat{ID: processID(i), Address: "10.123.123.123:7102", SentNs: int64(time.Hour), KnownEpoch: 1})
	}
	return heard
}

// next returns the record after a write by the first process that was heard.
func next(r control.Record, heard []assign.BrokerHeartbeat) control.Record {
	return nextWithout(r, heard, nil, nil)
}

// nextWithout is next, with members that were lost and epochs that others have
// acknowledged.
func nextWithout(r control.Record, heard, lost []assign.BrokerHeartbeat, acked map[string]uint64) control.Record {
	c := assign.RecordUpdate{Writer: heard[0].ID, Heartbeats: heard, Acked: acked}
	for _, h := range lost {
		c.Lost = append(c.Lost, h.ID)
	}
	return assign.NextRecord("x", r, c)
}

// acknowledge returns the acknowledgements of an epoch by all given processes.
func acknowledge(by []assign.BrokerHeartbeat, epoch uint64) map[string]uint64 {
	acked := make(map[string]uint64)
	for _, h := range by {
		acked[h.ID] = epoch
	}
	return acked
}

func encodedBytes(r control.Record) float64 { return float64(len(itemOf("record", 1, 1, r).Value)) }

func depart(t *slope.Table, lost int) {
	heard := heardOf(domainMembers)
	before := next(next(control.Record{}, heard), heard)
	remaining := heard[:domainMembers-lost]
	removed := nextWithout(before, remaining, heard[domainMembers-lost:], nil)
	after := nextWithout(removed, remaining, nil, acknowledge(remaining, removed.Epoch))
	timing := member.DefaultTiming()
	shares, moved := make(map[assign.Share]int), 0
	for i := range domainSearchers {
		searcher := fmt.Sprintf("searcher-%06d", i)
		former, _ := assign.Owner(before.Members, searcher)
		owner, _ := assign.Owner(after.Members, searcher)
		if former.ID == owner.ID {
			continue
		}
		moved++
		takeover := assign.NewTakeoverTracker(owner.ID, assign.LeaseTiming{Lease: timing.Lease, MaxDeadline: timing.Work})
		takeover.Observe(&before, 0)
		takeover.Observe(&after, 0)
		shares[takeover.Share(searcher, time.Hour)]++
	}
	t.Add(float64(lost), encodedBytes(after), float64(moved), float64(shares[assign.ShareFull]),
		float64(shares[assign.ShareReserve]), float64(shares[assign.ShareNone]))
}
