package standin

import (
	"sync"
	"time"
)

type callKind int

const (
	callRead callKind = iota
	callWrite
	callWatch
)

// PlatformStats counts the calls to a platform stand-in. A watch is one read,
// however long it waits.
type PlatformStats struct {
	Reads             int `json:"reads"`
	Writes            int `json:"writes"`
	Watches           int `json:"watches"`
	PeakReads         int `json:"peak_reads_per_second"`
	PeakWrites        int `json:"peak_writes_per_second"`
	ReadSecondsOver   int `json:"read_seconds_over_budget"`
	WriteSecondsOver  int `json:"write_seconds_over_budget"`
	ReadBudgetPerSec  int `json:"read_budget_per_second"`
	WriteBudgetPerSec int `json:"write_budget_per_second"`
}

// budget counts calls per second of the wall clock.
type budget struct {
	mu     sync.Mutex
	total  PlatformStats
	second int64
	reads  int
	writes int
	now    func() time.Time
}

func newBudget(writes, reads int) *budget {
	return &budget{
		total: PlatformStats{WriteBudgetPerSec: writes, ReadBudgetPerSec: reads},
		now:   time.Now,
	}
}

func (b *budget) count(kind callKind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := b.now().Unix(); second != b.second {
		b.second, b.reads, b.writes = second, 0, 0
	}
	if kind == callWrite {
		b.total.Writes++
		b.writes++
		b.total.PeakWrites = max(b.total.PeakWrites, b.writes)
		if b.writes == b.total.WriteBudgetPerSec+1 {
			b.total.WriteSecondsOver++
		}
		return
	}
	if kind == callWatch {
		b.total.Watches++
	}
	b.total.Reads++
	b.reads++
	b.total.PeakReads = max(b.total.PeakReads, b.reads)
	if b.reads == b.total.ReadBudgetPerSec+1 {
		b.total.ReadSecondsOver++
	}
}

func (b *budget) stats() PlatformStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}
