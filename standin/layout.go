package standin

import (
	"github.com/juju/errors"
)

// firstSnapshot is held by every searcher at the start.
const firstSnapshot = "s1"

// Snapshot is one snapshot of an index as a searcher reports it.
type Snapshot struct {
	Index       string   `json:"index"`
	ID          string   `json:"id"`
	Number      uint64   `json:"number"`
	ShardsTotal uint32   `json:"shards_total"`
	Shards      []uint32 `json:"shards"`
}

// NewSnapshot asks searchers to hold a snapshot. Without Shards, the shards are
// dealt in turn to the indexes of the service.
type NewSnapshot struct {
	ID          string   `json:"id"`
	Number      uint64   `json:"number"`
	ShardsTotal uint32   `json:"shards_total"`
	Shards      []uint32 `json:"shards,omitempty"`
}

func (n NewSnapshot) validate() error {
	if n.ID == "" || n.Number == 0 || n.ShardsTotal == 0 {
		return errors.New("a snapshot needs id, number and shards_total")
	}
	for _, shard := range n.Shards {
		if shard >= n.ShardsTotal {
			return errors.Errorf("shard %d is outside a layout of %d", shard, n.ShardsTotal)
		}
	}
	return nil
}

// placement is the place of an index among those of its service.
type placement struct {
	index    string
	position int
	indexes  int
}

// layouts are the snapshots that one searcher holds.
type layouts struct {
	placements []placement
	held       []Snapshot
}

// place adds an index, with the first snapshot of as many shards as the
// service has indexes.
func (l *layouts) place(index string, position, indexes int) {
	p := placement{index, position, indexes}
	l.placements = append(l.placements, p)
	l.held = append(l.held, p.snapshot(NewSnapshot{ID: firstSnapshot, Number: 1, ShardsTotal: uint32(indexes)}))
}

// snapshot deals the shards. With fewer shards than indexes, the surplus
// indexes hold further replicas.
func (p placement) snapshot(n NewSnapshot) Snapshot {
	shards := n.Shards
	if shards == nil {
		for shard := uint32(p.position); shard < n.ShardsTotal; shard += uint32(p.indexes) {
			shards = append(shards, shard)
		}
		if len(shards) == 0 {
			shards = []uint32{uint32(p.position) % n.ShardsTotal}
		}
	}
	return Snapshot{Index: p.index, ID: n.ID, Number: n.Number, ShardsTotal: n.ShardsTotal, Shards: shards}
}

// add makes the searcher hold a snapshot of each of its indexes.
func (l *layouts) add(n NewSnapshot) {
	l.drop(n.ID)
	for _, p := range l.placements {
		l.held = append(l.held, p.snapshot(n))
	}
}

// drop removes a snapshot.
func (l *layouts) drop(id string) {
	kept := make([]Snapshot, 0, len(l.held))
	for _, s := range l.held {
		if s.ID != id {
			kept = append(kept, s)
		}
	}
	l.held = kept
}

// newest returns the newest snapshot of the index, or the given one if none is
// held.
func (l *layouts) newest(index, id string) string {
	number := uint64(0)
	for _, s := range l.held {
		if s.Index == index && s.Number > number {
			id, number = s.ID, s.Number
		}
	}
	return id
}

// find returns the snapshot if the shard of the index is held in it.
func (l *layouts) find(index, id string, shard uint32) (Snapshot, bool) {
	for _, s := range l.held {
		if s.Index != index || s.ID != id {
			continue
		}
		for _, held := range s.Shards {
			if held == shard {
				return s, true
			}
		}
	}
	return Snapshot{}, false
}
