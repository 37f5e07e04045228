package cost

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wisteriawharf/wisteriawharf/balance"
)

const (
	simDomains = 3
	// simNear and simFar are the round trips within a failure domain and between two.
	simNear = 300 * time.Microsecond
	simFar  = 2 * time.Millisecond
	// simDuration is the length of a run. The runs of a load with simSeeds seeds are taken together.
	simDuration = 3 * time.Minute
	simSeeds    = 2
	simFirst    = 1
)

// load is a load on one service, in simulated time.
type load struct {
	instances int
	// perSecond is the rate of an instance in a domain at a time.
	perSecond func(now time.Duration, domain int) float64
	servers   []simServer
	kinds     []simKind
	// sigma is the standard deviation of the logarithm of the costs of a kind.
	sigma  float64
	target time.Duration
}

// simServer is a searcher: factor multiplies the time of its requests.
type simServer struct {
	domain, slots int
	factor        func(now time.Duration) float64
}

type simKind struct {
	cost  time.Duration
	share float64
}

// policy chooses the searcher in a simulation.
type policy int

const (
	byLatency policy = iota // balance.Choose
	byCost                  // this package
	allKnown                // a single queue that knows each cost
)

var policyNames = [...]string{"latency", "cost", "all known"}

type simInstance struct {
	domain  int
	model   Model
	stats   []balance.Stats
	costs   []Searcher
	running [][]*simReply
	latency simMedian
}

// simMedian follows the median latency of a service.
type simMedian time.Duration

func (m *simMedian) add(latency time.Duration) {
	if latency > time.Duration(*m) {
		*m += max(*m/50, 1000)
	} else {
		*m -= *m / 50
	}
}

type simReply struct {
	at, sentAt   time.Duration
	instance     *simInstance
	server, kind int
	request      Request
}

type simReplies []*simReply

func (r simReplies) Len() int           { return len(r) }
func (r simReplies) Less(i, j int) bool { return r[i].at < r[j].at }
func (r simReplies) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *simReplies) Push(x any)        { *r = append(*r, x.(*simReply)) }
func (r *simReplies) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// outcome sums up the requests of a group.
type outcome struct {
	latencies      []time.Duration
	inAim, crossed float64
}

func (o *outcome) add(latency, target time.Duration, crossed bool) {
	o.latencies = append(o.latencies, latency)
	if latency <= target {
		o.inAim++
	}
	if crossed {
		o.crossed++
	}
}

func (o *outcome) quantile(p float64) time.Duration {
	slices.Sort(o.latencies)
	return o.latencies[int(p*float64(len(o.latencies)-1))]
}
func (o *outcome) share(n float64) float64 { return n / float64(len(o.latencies)) }
func (o *outcome) String() string {
	return fmt.Sprintf("%6d requests, p50 %6.1f ms, p99 %7.1f ms, in aim %.4f, to other domains %.3f", len(o.latencies),
		o.quantile(0.5).Seconds()*1000, o.quantile(0.99).Seconds()*1000, o.share(o.inAim), o.share(o.crossed))
}

// simResult holds the outcomes of one run.
type simResult struct {
	all     outcome
	kinds   [2]outcome
	domains [simDomains]outcome
}

// play runs a load under a policy with all seeds.
func (l load) play(p policy) *simResult {
	result := &simResult{}
	for seed := range uint64(simSeeds) {
		l.run(p, seed+simFirst, result)
	}
	return result
}

// run runs a load under a policy. The same requests come for each policy.
func (l load) run(p policy, seed uint64, result *simResult) {
	random, choices := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	instances := make([]*simInstance, l.instances)
	for i := range instances {
		instances[i] = &simInstance{domain: i % simDomains, stats: make([]balance.Stats, len(l.servers)), costs: make([]Searcher, len(l.servers)), running: make([][]*simReply, len(l.servers))}
	}
	for _, in := range instances {
		for i := range l.servers {
			in.costs[i].ObserveDial(l.network(in.domain, i, p))
		}
	}
	free := make([][]time.Duration, len(l.servers))
	for i, s := range l.servers {
		free[i] = make([]time.Duration, s.slots)
	}
	var replies simReplies
	now := time.Duration(0)
	for now < simDuration {
		var rates [simDomains]float64
		total := 0.0
		for d := range rates {
			rates[d] = l.perSecond(now, d) * float64(l.inDomain(d))
			total += rates[d]
		}
		now += time.Duration(random.ExpFloat64() / total * float64(time.Second))
		domain, drawn := 0, random.Float64()*total
		for domain < simDomains-1 && drawn >= rates[domain] {
			drawn -= rates[domain]
			domain++
		}
		in := instances[domain+simDomains*random.IntN(l.inDomain(domain))]
		kind, draw := 0, random.Float64()
		for kind < len(l.kinds)-1 && draw >= l.kinds[kind].share {
			draw -= l.kinds[kind].share
			kind++
		}
		work := float64(l.kinds[kind].cost) * math.Exp(l.sigma*random.NormFloat64()-l.sigma*l.sigma/2)
		for len(replies) > 0 && replies[0].at <= now {
			heap.Pop(&replies).(*simReply).end(l, p, result)
		}
		server := l.choose(p, in, now, kind, work, free, choices)
		r := &simReply{sentAt: now, instance: in, server: server, kind: kind}
		hop := l.network(in.domain, server, p) / 2
		slot := slices.Index(free[server], slices.Min(free[server]))
		start := max(now+hop, free[server][slot])
		free[server][slot] = start + time.Duration(work*l.servers[server].factor(start))
		r.at = free[server][slot] + hop
		if p != allKnown {
			r.request = in.model.Start(now, &in.costs[server], l.kind(kind), l.servers[server].slots)
			in.running[server] = append(in.running[server], r)
		}
		heap.Push(&replies, r)
	}
	for len(replies) > 0 {
		heap.Pop(&replies).(*simReply).end(l, p, result)
	}
}

// inDomain returns the number of instances in a domain.
func (l load) inDomain(domain int) int { return (l.instances - domain + simDomains - 1) / simDomains }

func (l load) kind(i int) Kind { return Kind{Route: [...]string{"r0", "r1"}[i]} }

// network returns the round trip to a searcher. The single queue is next to all searchers.
func (l load) network(domain, server int, p policy) time.Duration {
	if p == allKnown || l.servers[server].domain == domain {
		return simNear
	}
	return simFar
}

func (l load) choose(p policy, in *simInstance, now time.Duration, kind int, work float64, free [][]time.Duration, random *rand.Rand) int {
	if p == allKnown {
		done := make([]time.Duration, len(free))
		for i := range free {
			start := max(now+simNear/2, slices.Min(free[i]))
			done[i] = start + time.Duration(work*l.servers[i].factor(start))
		}
		return slices.Index(done, slices.Min(done))
	}
	candidates := make([]balance.Candidate, len(l.servers))
	for i, s := range l.servers {
		candidates[i] = balance.Candidate{Stats: &in.stats[i], Outstanding: len(in.running[i]), Slots: s.slots, SameDomain: s.domain == in.domain, Connected: true}
		if len(in.running[i]) > 0 {
			candidates[i].OldestWait = now - in.running[i][0].sentAt
		}
	}
	if p == byLatency || !in.model.Active(now) {
		// As balance.Choose, with reproducible random numbers.
		best, bestCost := -1, math.Inf(1)
		for i := range candidates {
			if c := candidates[i].Cost(now, time.Duration(in.latency)) * (1 + 0.05*random.Float64()); c < bestCost {
				best, bestCost = i, c
			}
		}
		return best
	}
	estimate := in.model.Estimate(now, l.kind(kind))
	options := make([]Option, len(candidates))
	for i := range candidates {
		var slowness float64
		candidates[i].Expected, slowness = estimate.Completion(&in.costs[i], l.servers[i].slots)
		if len(in.running[i]) > 0 {
			candidates[i].OldestExpected = time.Duration(slowness * float64(in.running[i][0].request.Cost))
		}
		options[i] = Option{Cost: candidates[i].Cost(now, time.Duration(in.latency)) * Lateness(candidates[i].Expected, l.target), Capacity: float64(l.servers[i].slots) / slowness}
	}
	return Choose(options, random.Float64())
}

// end records a reply.
func (r *simReply) end(l load, p policy, result *simResult) {
	in, latency := r.instance, r.at-r.sentAt
	crossed := l.servers[r.server].domain != in.domain
	result.kinds[r.kind].add(latency, l.target, crossed)
	result.domains[in.domain].add(latency, l.target, crossed)
	result.all.add(latency, l.target, crossed)
	if p == allKnown {
		return
	}
	in.running[r.server] = slices.DeleteFunc(in.running[r.server], func(o *simReply) bool { return o == r })
	in.latency.add(latency)
	in.stats[r.server].ObserveReply(r.at, latency, true)
	in.costs[r.server].End(r.request)
	in.model.ObserveReply(r.at, &in.costs[r.server], r.request, latency)
}

func (r *simResult) log(t *testing.T, name string, kinds []simKind) {
	t.Logf("%-10s all          %v", name, &r.all)
	for i := range kinds {
		t.Logf("%-10s kind %-7v %v", "", kinds[i].cost, &r.kinds[i])
	}
	for i := range r.domains {
		t.Logf("%-10s domain %-5d %v", "", i, &r.domains[i])
	}
}

func steady(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// shard returns the searchers of a shard, one in each failure domain.
func shard(slots int) []simServer {
	return []simServer{{0, slots, steady(0.8)}, {1, slots, steady(1)}, {2, slots, steady(1.3)}}
}

func evenly(perSecond float64) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return perSecond }
}

// TestLoads guards against a choice by expected cost that serves a load worse than the choice by
// latency, or no better where costs or speeds differ much.
func TestLoads(t *testing.T) {
	between := func(from, to time.Duration, inside, outside float64) func(time.Duration) float64 {
		return func(now time.Duration) float64 {
			if now >= from && now < to {
				return inside
			}
			return outside
		}
	}
	slows, returns, single := shard(4), shard(6), make([]simServer, 27)
	slows[1].factor = between(time.Minute, time.Hour, 8, 1)
	returns[0].factor = between(time.Minute, 2*time.Minute, 8, 0.8)
	for i := range single {
		single[i] = simServer{i % simDomains, 2, steady([]float64{0.8, 1, 1.3}[i/simDomains%3])}
	}
	moves := func(now time.Duration, domain int) float64 {
		if now >= time.Minute && now < 2*time.Minute {
			return []float64{1, 1, 19}[domain]
		}
		return 7
	}
	const ms = time.Millisecond
	twoKinds, cheapKinds := []simKind{{28 * ms, 0.3}, {9 * ms, 0.7}}, []simKind{{7500 * time.Microsecond, 0.3}, {2500 * time.Microsecond, 0.7}}
	earlier := func(before, after *outcome) bool { return after.quantile(0.99) < before.quantile(0.99) }
	nearer := func(before, after *outcome) bool {
		return after.share(after.crossed) < 0.6*before.share(before.crossed)
	}
	for _, c := range []struct {
		name string
		load load
		// better tells what the choice by cost must do better. It is nil where it need only be as good.
		better func(before, after *outcome) bool
	}{
		{"one kind twenty times dearer", load{16, evenly(5), shard(4), []simKind{{100 * ms, 0.05}, {5 * ms, 0.95}}, 0.3, 200 * ms}, nearer},
		{"one kind twenty times dearer, busy", load{16, evenly(20), shard(3), []simKind{{200 * ms, 0.05}, {10 * ms, 0.95}}, 0.3, 400 * ms}, nil},
		{"shards, two kinds", load{16, evenly(8), shard(4), twoKinds, 0.3, 60 * ms}, earlier},
		{"shards, two kinds, busy", load{16, evenly(22), shard(3), twoKinds, 0.3, 60 * ms}, earlier},
		{"shards, two cheap kinds", load{16, evenly(8), shard(4), cheapKinds, 0.3, 60 * ms}, nil},
		{"a searcher slows by eight", load{16, evenly(6), slows, twoKinds, 0.3, 60 * ms}, earlier},
		{"60 instances, a searcher slows and returns", load{60, evenly(3), returns, twoKinds, 0.3, 60 * ms}, earlier},
		{"single requests of one kind", load{16, evenly(5), single, []simKind{{220 * ms, 1}}, 0.5, 600 * ms}, nil},
		{"demand moves to another domain", load{16, moves, shard(4), twoKinds, 0.3, 60 * ms}, earlier},
	} {
		t.Run(c.name, func(t *testing.T) {
			var results [3]*simResult
			for p := range results {
				results[p] = c.load.play(policy(p))
				results[p].log(t, policyNames[p], c.load.kinds)
			}
			before, after := &results[byLatency].all, &results[byCost].all
			qt.Check(t, after.share(after.inAim) >= before.share(before.inAim)-0.001, qt.IsTrue, qt.Commentf("fewer in aim"))
			qt.Check(t, after.quantile(0.99) <= before.quantile(0.99)*102/100, qt.IsTrue, qt.Commentf("later"))
			qt.Check(t, after.share(after.crossed) <= before.share(before.crossed)+0.02, qt.IsTrue, qt.Commentf("more to other domains"))
			qt.Check(t, c.better == nil || c.better(before, after), qt.IsTrue, qt.Commentf("no better"))
		})
	}
}
