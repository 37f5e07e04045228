// Package snapshot derives the shard layouts of an index from the snapshots that
// searchers report, and chooses the layout that a query is pinned to. It does no I/O.
package snapshot

import "sort"

// maxShards bounds the memory that the report of a searcher can make the entry allocate
// for a layout.
const maxShards = 1 << 14

// Report describes one snapshot that a replica holds. Replica identifies the replica; the
// code that calls Layouts chooses this number and finds it again in Layout.Replicas. ID
// and Number identify the snapshot; a newer snapshot has a greater number. ShardCount is
// the number of shards of the snapshot, and Shards lists those that the replica holds.
// Usable is false for a replica that must not get new work; the snapshot still gets a
// layout.
type Report struct {
	Replica    int
	ID         string
	Number     uint64
	ShardCount uint32
	Shards     []uint32
	Usable     bool
}

// Layout is one snapshot with the usable replicas of each shard. Replicas is indexed by
// shard.
type Layout struct {
	ID       string
	Number   uint64
	Replicas [][]int
	// CoveredShards is the number of shards with at least one usable replica.
	CoveredShards int
}

// Complete reports whether every shard has a usable replica.
func (l *Layout) Complete() bool { return l.CoveredShards == len(l.Replicas) }

// coverage returns the share of shards with a usable replica, from 0 to 1.
func (l *Layout) coverage() float64 { return float64(l.CoveredShards) / float64(len(l.Replicas)) }

type layoutKey struct {
	id         string
	number     uint64
	shardCount uint32
}

// Layouts returns the layouts of all reported snapshots, newest first. Reports of one
// snapshot id that differ in number or shard count give separate layouts, so that
// shards of different partitionings are never combined. Layouts ignores a report whose
// id is empty, or whose ShardCount is zero or more than maxShards. In other reports, it
// ignores shard numbers that are not below ShardCount.
func Layouts(reports []Report) []*Layout {
	byKey := make(map[layoutKey]*Layout)
	for i := range reports {
		report := &reports[i]
		if report.ShardCount == 0 || report.ShardCount > maxShards || report.ID == "" {
			continue
		}
		k := layoutKey{report.ID, report.Number, report.ShardCount}
		l := byKey[k]
		if l == nil {
			l = &Layout{ID: report.ID, Number: report.Number, Replicas: make([][]int, report.ShardCount)}
			byKey[k] = l
		}
		if report.Usable {
			l.addReplica(report)
		}
	}
	layouts := make([]*Layout, 0, len(byKey))
	for _, l := range byKey {
		layouts = append(layouts, l)
	}
	sort.Slice(layouts, func(i, j int) bool { return layouts[i].precedes(layouts[j]) })
	return layouts
}

func (l *Layout) addReplica(report *Report) {
	for _, shard := range report.Shards {
		if int(shard) >= len(l.Replicas) || contains(l.Replicas[shard], report.Replica) {
			continue
		}
		if len(l.Replicas[shard]) == 0 {
			l.CoveredShards++
		}
		l.Replicas[shard] = append(l.Replicas[shard], report.Replica)
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

// precedes orders layouts from newest to oldest. Ties are decided by id and shard count,
// so that all entries with the same reports choose the same layout.
func (l *Layout) precedes(other *Layout) bool {
	if l.Number != other.Number {
		return l.Number > other.Number
	}
	if l.ID != other.ID {
		return l.ID > other.ID
	}
	return len(l.Replicas) > len(other.Replicas)
}

// Choose returns the newest complete layout. If none is complete, it returns the layout
// that covers the greatest share of its shards, and of several such layouts the newest.
// It skips layouts for which excluded returns true; excluded may be nil. It returns nil
// if no remaining layout covers a shard. The layouts must be sorted newest first.
func Choose(layouts []*Layout, excluded func(*Layout) bool) *Layout {
	var best *Layout
	for _, l := range layouts {
		if l.CoveredShards == 0 || excluded != nil && excluded(l) {
			continue
		}
		if l.Complete() {
			return l
		}
		if best == nil || l.coverage() > best.coverage() {
			best = l
		}
	}
	return best
}
