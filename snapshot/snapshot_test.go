package snapshot

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func holding(replica int, id string, number uint64, total uint32, shards ...uint32) Report {
	return Report{Replica: replica, ID: id, Number: number, ShardCount: total, Shards: shards, Usable: true}
}

// TestPin guards against a query on an old snapshot while a newer one is
// complete, and on a newer one that would leave shards out.
func TestPin(t *testing.T) {
	held := []Report{
		holding(0, "s7", 7, 2, 0), holding(1, "s7", 7, 2, 1),
		holding(2, "s8", 8, 3, 0, 1), holding(3, "s6", 6, 2, 0, 1),
	}
	qt.Assert(t, Choose(Layouts(held), nil).ID, qt.Equals, "s7")
	held = append(held, holding(4, "s8", 8, 3, 2))
	qt.Assert(t, Choose(Layouts(held), nil).ID, qt.Equals, "s8")
	qt.Assert(t, Choose(Layouts(held), func(l *Layout) bool { return l.Number > 7 }).ID, qt.Equals, "s7")
	// A replica that must get no work covers nothing.
	held[4].Usable = false
	qt.Assert(t, Choose(Layouts(held), nil).ID, qt.Equals, "s7")
	// None is complete: the one that covers most of its shards is pinned.
	qt.Assert(t, Choose(Layouts(held[1:3]), nil).ID, qt.Equals, "s8")
	qt.Assert(t, Choose(Layouts([]Report{{Replica: 1, ID: "s1", Number: 1, ShardCount: 1, Shards: []uint32{0}}}), nil), qt.IsNil)
}

// TestLayouts guards against reports that mislead: a layout never mixes
// partitions or snapshots, and names only replicas that hold the shard.
func TestLayouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
			return Report{
				Replica: rapid.IntRange(0, 5).Draw(t, "replica"),
				ID:      rapid.SampledFrom([]string{"s1", "s2", ""}).Draw(t, "id"),
				Number:  uint64(rapid.IntRange(1, 2).Draw(t, "number")),
				ShardCount:   rapid.SampledFrom([]uint32{0, 2, 3, 1 << 31}).Draw(t, "total"),
				Shards:  rapid.SliceOfN(rapid.Uint32Range(0, 4), 0, 4).Draw(t, "shards"),
				Usable:  rapid.Bool().Draw(t, "usable"),
			}
		}), 0, 20).Draw(t, "held")
		for _, l := range Layouts(held) {
			covered := 0
			for shard, replicas := range l.Replicas {
				if len(replicas) > 0 {
					covered++
				}
				for _, r := range replicas {
					if !holds(held, r, l, uint32(shard)) {
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

func holds(held []Report, replica int, l *Layout, shard uint32) bool {
	for _, h := range held {
		if h.Replica != replica || !h.Usable || h.ID != l.ID || h.Number != l.Number || int(h.ShardCount) != len(l.Replicas) {
			continue
		}
		for _, s := range h.Shards {
			if s == shard {
				return true
			}
		}
	}
	return false
}
