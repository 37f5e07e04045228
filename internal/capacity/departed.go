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
	for _, lost := range []int{1, 2, 5, 25} {
		depart(t, lost)
	}
	show(t)
}

func depart(t *slope.Table, lost int) {
	var heard []assign.Heard
	for i := range domainMembers {
		heard = append(heard, assign.Heard{ID: processID(i), Address: "10.123.123.123:7102", GrantedNs: int64(time.Hour), Known: 1})
	}
	next := func(r control.Record, c assign.Change) control.Record {
		c.Self = heard[0].ID
		return assign.Next("x", r, c)
	}
	before := next(next(control.Record{}, assign.Change{Heard: heard}), assign.Change{Heard: heard})
	remaining, acked := heard[:domainMembers-lost], make(map[string]uint64)
	var gone []string
	for _, h := range heard[domainMembers-lost:] {
		gone = append(gone, h.ID)
	}
	removed := next(before, assign.Change{Heard: remaining, Lost: gone})
	for _, h := range remaining {
		acked[h.ID] = removed.Epoch
	}
	after := next(removed, assign.Change{Heard: remaining, Acked: acked})
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
		takeover := assign.NewTakeover(owner.ID, assign.Terms{Lease: timing.Lease, Work: timing.Work})
		takeover.Observe(&before, 0)
		takeover.Observe(&after, 0)
		shares[takeover.Share(searcher, time.Hour)]++
	}
	size := len(itemOf("record", 1, 1, after).Value)
	t.Add(float64(lost), float64(size), float64(moved), float64(shares[assign.ShareFull]),
		float64(shares[assign.ShareReserve]), float64(shares[assign.ShareNone]))
}
