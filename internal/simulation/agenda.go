package simulation

import (
	"container/heap"
	"time"
)

// agenda holds what happens later, in the order of time. What happens at the
// same time keeps the order in which it was planned.
type agenda struct {
	now     time.Duration
	planned int
	heap    occurrences
}

type occurrence struct {
	at  time.Duration
	seq int
	do  func()
}

// after plans do for the given time from now.
func (a *agenda) after(d time.Duration, do func()) {
	a.planned++
	heap.Push(&a.heap, occurrence{a.now + d, a.planned, do})
}

// step carries out what is next.
func (a *agenda) step() {
	next := heap.Pop(&a.heap).(occurrence)
	a.now = next.at
	next.do()
}

type occurrences []occurrence

// Len implements heap.Interface.
func (o occurrences) Len() int { return len(o) }

// Less implements heap.Interface.
func (o occurrences) Less(i, j int) bool {
	return o[i].at < o[j].at || o[i].at == o[j].at && o[i].seq < o[j].seq
}

// Swap implements heap.Interface.
func (o occurrences) Swap(i, j int) { o[i], o[j] = o[j], o[i] }

// Push implements heap.Interface.
func (o *occurrences) Push(x any) { *o = append(*o, x.(occurrence)) }

// Pop implements heap.Interface.
func (o *occurrences) Pop() any {
	last := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return last
}
