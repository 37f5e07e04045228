// Package snapshot derives the shard layouts of an index from the snapshots
// that searchers hold, and chooses the one a query is pinned to. It does no
// I/O.
package snapshot

import "sort"

// maxShards bounds the layout that a searcher's report can make the entry
// allocate.
const maxShards = 1 << 14

// Report is one snapshot that a replica reports. Replica is the caller's number
// for the searcher. Usable is false for a replica that must get no new work;
// its snapshot still counts as known.
type Report struct {
	Replica int
	ID      string
	Number  uint64
	ShardCount   uint32
	Shards  []uint32
	Usable  bool
}

// Layout is one snapshot with the usable replicas of each shard.
type Layout struct {
	ID       string
	Number   uint64
	Replicas [][]int
	// CoveredShards is the number of shards with at least one usable replica.
	CoveredShards int
}

// Complete reports whether every shard has a usable replica.
func (l *Layout) Complete() bool { return l.CoveredShards == len(l.Replicas) }

// share is the covered part of the layout, from 0 to 1.
func (l *Layout) share() float64 { return float64(l.CoveredShards) / float64(len(l.Replicas)) }

type key struct {
	id     string
	number uint64
	total  uint32
}

// Layouts returns the layouts that held describes, newest first. Reports that
// disagree on a snapshot's number or shard count make separate layouts, so that
// shards of different partitions are never taken for one index. A report with
// no shards, or with a shard outside its own layout, is ignored.
func Layouts(held []Report) []*Layout {
	known := make(map[key]*Layout)
	for i := range held {
		h := &held[i]
		if h.ShardCount == 0 || h.ShardCount > maxShards || h.ID == "" {
			continue
		}
		k := key{h.ID, h.Number, h.ShardCount}
		l := known[k]
		if l == nil {
			l = &Layout{ID: h.ID, Number: h.Number, Replicas: make([][]int, h.ShardCount)}
			known[k] = l
		}
		if h.Usable {
			l.add(h)
		}
	}
	layouts := make([]*Layout, 0, len(known))
	for _, l := range known {
		layouts = append(layouts, l)
	}
	sort.Slice(layouts, func(i, j int) bool { return layouts[i].before(layouts[j]) })
	return layouts
}

func (l *Layout) add(h *Report) {
	for _, shard := range h.Shards {
		if int(shard) >= len(l.Replicas) || contains(l.Replicas[shard], h.Replica) {
			continue
		}
		if len(l.Replicas[shard]) == 0 {
			l.CoveredShards++
		}
		l.Replicas[shard] = append(l.Replicas[shard], h.Replica)
	}
}

func contains(replicas []int, replica int) bool {
	for _, r := range replicas {
		if r == replica {
			return true
		}
	}
	return false
}

// before orders layouts newest first. Identifier and size break ties, so that
// all entries with the same reports choose alike.
func (l *Layout) before(other *Layout) bool {
	if l.Number != other.Number {
		return l.Number > other.Number
	}
	if l.ID != other.ID {
		return l.ID > other.ID
	}
	return len(l.Replicas) > len(other.Replicas)
}

// Choose returns the newest complete layout, or else the newest of those that
// cover the greatest share of their shards. Layouts that excluded reports true
// for are passed over; a nil excluded passes over none. It returns nil if no
// layout covers any shard. The layouts must be sorted newest first.
func Choose(layouts []*Layout, excluded func(*Layout) bool) *Layout {
	var best *Layout
	for _, l := range layouts {
		if l.CoveredShards == 0 || excluded != nil && excluded(l) {
			continue
		}
		if l.Complete() {
			return l
		}
		if best == nil || l.share() > best.share() {
			best = l
		}
	}
	return best
}
