package main

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// limits compares ways of keeping the slots of a searcher in a queueing model:
// one index of three searchers, several entries, and work of which a share is
// slow. Only the way of keeping the limit differs between the rows.
type limits struct {
	Entries    int     `long:"entries" default:"9" description:"number of entries"`
	Load       float64 `long:"load" default:"0.7" description:"load counted with slow work"`
	Stragglers float64 `long:"stragglers" default:"0.01" description:"share of work that takes ten times as long"`
	Parts      int     `long:"parts" default:"200000" description:"parts to run"`
	Seed       uint64  `long:"seed" default:"1" description:"seed of arrivals and service times"`
}

// Execute implements flags.Commander.
func (l *limits) Execute([]string) error {
	fmt.Println("limit kept by | p50 ms | p99 ms | p99.9 ms | dispatches over the limit | peak at a searcher of 3 slots")
	for _, way := range []struct {
		name string
		run  func(*model)
	}{
		{"each entry alone (local)", (*model).local},
		{"a share for each entry (divided)", (*model).divided},
		{"one owner for each searcher", (*model).owner},
		{"one queue for the index", (*model).shared},
	} {
		m := newModel(l)
		way.run(m)
		m.print(way.name)
	}
	return nil
}

// part is one arrival with its service time, both in milliseconds.
type part struct {
	at, service float64
	entry       int
}

type model struct {
	parts     []part
	random    *rand.Rand
	entries   int
	searchers int

	latencies  []float64
	overLimit  int
	dispatched int
	peak       int
}

func newModel(l *limits) *model {
	random := rand.New(rand.NewPCG(l.Seed, 7))
	m := &model{random: random, entries: l.Entries, searchers: len(domains)}
	mean := float64(meanService.Milliseconds()) * (1 + 9*l.Stragglers)
	interval := mean / (l.Load * float64(slots*m.searchers))
	now := 0.0
	for range l.Parts {
		now += interval * random.ExpFloat64()
		service := float64(serviceTime.Milliseconds()) * math.Exp(sigma*random.NormFloat64())
		if random.Float64() < l.Stragglers {
			service *= 10
		}
		m.parts = append(m.parts, part{at: now, service: service, entry: random.IntN(l.Entries)})
	}
	return m
}

// servers is a first-in first-out queue in front of some slots: the times at
// which each of them is free.
type servers []float64

func newServers(n int) servers { return make(servers, n) }

// run returns when a part that comes at the given time ends.
func (s servers) run(at, service float64) float64 {
	first := slices.Index(s, slices.Min(s))
	s[first] = max(at, s[first]) + service
	return s[first]
}

// wait is how long a part that comes at the given time waits.
func (s servers) wait(at float64) float64 { return max(0, slices.Min(s)-at) }

// choose takes the queue with the shorter wait of two random ones.
func (m *model) choose(queues []servers, at float64) servers {
	a, b := queues[m.random.IntN(len(queues))], queues[m.random.IntN(len(queues))]
	if b.wait(at) < a.wait(at) {
		return b
	}
	return a
}

func (m *model) done(p part, end float64) { m.latencies = append(m.latencies, end-p.at) }

// owner: parts go to the searcher's one queue, of which the length is known.
func (m *model) owner() {
	queues := m.queues(m.searchers, slots)
	for _, p := range m.parts {
		m.done(p, m.choose(queues, p.at).run(p.at, p.service))
	}
}

// shared: all searchers take from one queue.
func (m *model) shared() {
	queue := newServers(slots * m.searchers)
	for _, p := range m.parts {
		m.done(p, queue.run(p.at, p.service))
	}
}

// divided: each entry has an equal share of all slots and uses no others.
func (m *model) divided() {
	queues := m.queues(m.entries, max(1, slots*m.searchers/m.entries))
	for _, p := range m.parts {
		m.done(p, queues[p.entry].run(p.at, p.service))
	}
}

// local: each entry dispatches to a searcher up to its slots, without knowing
// of the others. The searcher runs what is over its slots later. Work that ends
// before a waiting dispatch starts is dropped from the count at once, so the
// count of dispatches over the limit is rather too low.
func (m *model) local() {
	queues := m.queues(m.searchers, slots)
	mine := make([]running, m.entries*m.searchers)
	all := make([]running, m.searchers)
	for _, p := range m.parts {
		s := m.leastOwn(mine[p.entry*m.searchers:(p.entry+1)*m.searchers], p.at)
		own := &mine[p.entry*m.searchers+s]
		start := max(p.at, own.freeAt(slots, p.at))
		all[s].until(start)
		end := queues[s].run(start, p.service)
		heap.Push(own, end)
		heap.Push(&all[s], end)
		m.count(all[s].Len())
		m.done(p, end)
	}
}

func (m *model) count(running int) {
	m.dispatched++
	m.peak = max(m.peak, running)
	if running > slots {
		m.overLimit++
	}
}

// leastOwn is the searcher at which the entry itself has the least under way.
func (m *model) leastOwn(own []running, at float64) int {
	best := m.random.IntN(len(own))
	for s := range own {
		own[s].until(at)
		if own[s].Len() < own[best].Len() {
			best = s
		}
	}
	return best
}

func (m *model) queues(n, size int) []servers {
	queues := make([]servers, n)
	for i := range queues {
		queues[i] = newServers(size)
	}
	return queues
}

func (m *model) print(name string) {
	slices.Sort(m.latencies)
	at := func(share float64) float64 { return m.latencies[int(float64(len(m.latencies)-1)*share)] }
	over, peak := 0.0, slots
	if m.dispatched > 0 {
		over, peak = float64(m.overLimit)/float64(m.dispatched), m.peak
	}
	fmt.Printf("%s | %.1f | %.1f | %.1f | %.3f | %d\n", name, at(0.5), at(0.99), at(0.999), over, peak)
}

// running is a heap of the times at which work ends.
type running []float64

// until drops work that has ended by the given time.
func (r *running) until(at float64) {
	for r.Len() > 0 && (*r)[0] <= at {
		heap.Pop(r)
	}
}

// freeAt is when fewer than limit are under way.
func (r *running) freeAt(limit int, at float64) float64 {
	r.until(at)
	for r.Len() >= limit {
		at = heap.Pop(r).(float64)
	}
	return at
}

// Len implements heap.Interface.
func (r running) Len() int { return len(r) }

// Less implements heap.Interface.
func (r running) Less(i, j int) bool { return r[i] < r[j] }

// Swap implements heap.Interface.
func (r running) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *running) Push(x any) { *r = append(*r, x.(float64)) }

// Pop implements heap.Interface.
func (r *running) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
