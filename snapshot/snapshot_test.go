package snapshot

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func usableReport(replica int, id string, number uint64, shardCount uint32, shards ...uint32) Report {
	return Report{Replica: replica, ID: id, Number: number, ShardCount: shardCount, Shards: shards, Usable: true}
}

// TestChoose guards against choosing an old snapshot while a newer one is complete, and
// a newer one with uncovered shards while an older one is complete.
func TestChoose(t *testing.T) {
	reports := []Report{
		usableReport(0, "s7", 7, 2, 0), usableReport(1, "s7", 7, 2, 1),
		usableReport(2, "s8", 8, 3, 0, 1), usableReport(3, "s6", 6, 2, 0, 1),
	}
	qt.Assert(t, Choose(Layouts(reports), nil).ID, qt.Equals, "s7")
	reports = append(reports, usableReport(4, "s8", 8, 3, 2))
	qt.Assert(t, Choose(Layouts(reports), nil).ID, qt.Equals, "s8")
	qt.Assert(t, Choose(Layouts(reports), func(l *Layout) bool { return l.Number > 7 }).ID, qt.Equals, "s7")
	// A replica that must not get work does not cover its shards.
	reports[4].Usable = false
	qt.Assert(t, Choose(Layouts(reports), nil).ID, qt.Equals, "s7")
	// No layout is complete: the one that covers the greatest share is chosen.
	qt.Assert(t, Choose(Layouts(reports[1:3]), nil).ID, qt.Equals, "s8")
	qt.Assert(t, Choose(Layouts([]Report{{Replica: 1, ID: "s1", Number: 1, ShardCount: 1, Shards: []uint32{0}}}), nil), qt.IsNil)
}

// TestLayouts guards against layouts that mix snapshots or partitionings, or that name
// a replica for a shard that it does not hold, whatever searchers report.
func TestLayouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
			return Report{
				Replica:    rapid.IntRange(0, 5).Draw(t, "replica"),
				ID:         rapid.SampledFrom([]string{"s1", "s2", ""}).Draw(t, "id"),
				Number:     uint64(rapid.IntRange(1, 2).Draw(t, "number")),
				ShardCount: rapid.SampledFrom([]uint32{0, 2, 3, 1 << 31}).Draw(t, "shardCount"),
				Shards:     rapid.SliceOfN(rapid.Uint32Range(0, 4), 0, 4).Draw(t, "shards"),
				Usable:     rapid.Bool().Draw(t, "usable"),
			}
		}), 0, 20).Draw(t, "held")
		for _, l := range Layouts(reports) {
			covered := 0
			for shard, replicas := range l.Replicas {
				if len(replicas) > 0 {
					covered++
				}
				for _, r := range replicas {
					if !hasShard(reports, r, l, uint32(shard)) {
						t.Fatalf("replica %d does not hold shard %d of %+v", r, shard, l)
					}
				}
			}
			if covered != l.CoveredShards {
				t.Fatalf("%d shards are covered, %d are counted", covered, l.CoveredShards)
			}
		}
	})
}

func hasShard(reports []Report, replica int, l *Layout, shard uint32) bool {
	for _, report := range reports {
		if report.Replica != replica || !report.Usable || report.ID != l.ID || report.Number != l.Number || int(report.ShardCount) != len(l.Replicas) {
			continue
		}
		for _, s := range report.Shards {
			if s == shard {
				return true
			}
		}
	}
	return false
}
