// Package placement is a deterministic model of the instances and searchers of one service. It plays
// a load against the choice by latency (package balance), the choice by expected cost (package cost)
// and a single queue that knows each cost. It contains what an instance knows and when, so that
// a change of the choices can be judged without the noise of a machine. It is used by tests and
// measurements only.
package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/cost"
)

const (
	// Domains is the number of failure domains. The instances are spread evenly over them.
	Domains = 3
	// near and far are the round trips within a failure domain and between two.
	near = 300 * time.Microsecond
	far  = 2 * time.Millisecond
	// randomFactor is that of balance.Choose.
	randomFactor = 0.05
	// medianStep is the share by which the followed median latency of a service moves with each reply.
	medianStep = 0.02
)

// Load is a load on one service.
type Load struct {
	Instances int
	// PerSecond is the rate of an instance in a domain at a time.
	PerSecond func(now time.Duration, domain int) float64
	Searchers []Searcher
	Kinds     []Kind
	// Sigma is the standard deviation of the logarithm of the costs of a kind.
	Sigma float64
	// Target is the time in which a request should be answered.
	Target time.Duration
	// Duration is the length of a run. The runs with all Seeds are taken together.
	Duration time.Duration
	Seeds    []uint64
}

// Searcher is a searcher. Factor multiplies the time of its requests.
type Searcher struct {
	Domain, Slots int
	Factor        func(now time.Duration) float64
}

// Kind is a kind of requests with its mean cost and its share of the requests.
type Kind struct {
	Cost  time.Duration
	Share float64
}

// Policy chooses the searchers.
type Policy int

// Policies.
const (
	// ByLatency uses package balance alone, ByCost package cost where that decides.
	ByLatency Policy = iota
	ByCost
	// AllKnown is a single queue next to all searchers that knows each cost.
	AllKnown
)

// String returns the name of the policy.
func (p Policy) String() string { return [...]string{"latency", "cost", "all known"}[p] }

// Outcome sums up a group of requests.
type Outcome struct {
	latencies      []time.Duration
	inAim, crossed int
}

func (o *Outcome) add(latency, target time.Duration, crossed bool) {
	o.latencies = append(o.latencies, latency)
	if latency <= target {
		o.inAim++
	}
	if crossed {
		o.crossed++
	}
}

// Quantile returns the latency below which the share p of the requests lies.
func (o *Outcome) Quantile(p float64) time.Duration {
	slices.Sort(o.latencies)
	return o.latencies[int(p*float64(len(o.latencies)-1))]
}

// InAim returns the share of the requests that were answered within the target.
func (o *Outcome) InAim() float64 { return float64(o.inAim) / float64(len(o.latencies)) }

// Crossed returns the share of the requests that went to another failure domain.
func (o *Outcome) Crossed() float64 { return float64(o.crossed) / float64(len(o.latencies)) }

// String returns the figures of the group.
func (o *Outcome) String() string {
	return fmt.Sprintf("%6d requests, p50 %6.1f ms, p99 %7.1f ms, in aim %.4f, to other domains %.3f", len(o.latencies),
		o.Quantile(0.5).Seconds()*1000, o.Quantile(0.99).Seconds()*1000, o.InAim(), o.Crossed())
}

// Result holds the outcomes of a load.
type Result struct {
	All     Outcome
	Kinds   []Outcome
	Domains [Domains]Outcome
}

// run is the state of one run.
type run struct {
	*Load
	policy Policy
	result *Result
	now    time.Duration
	// choices draws the random numbers of the choices. Those of the load are drawn elsewhere, so that
	// each policy gets the same requests.
	choices   *rand.Rand
	instances []*instance
	// free holds the times at which the slots of the searchers are free. Searchers run requests in
	// the order in which they are sent.
	free    [][]time.Duration
	replies replies
}

type instance struct {
	domain    int
	costs     cost.Model
	median    time.Duration
	searchers []searcherState
}

// searcherState is what an instance knows of a searcher.
type searcherState struct {
	stats   balance.Stats
	cost    cost.Searcher
	running []*reply
}

type reply struct {
	at, sentAt     time.Duration
	instance       *instance
	searcher, kind int
	work           cost.Request
}

type replies []*reply

// Len implements heap.Interface.
func (r replies) Len() int { return len(r) }

// Less implements heap.Interface.
func (r replies) Less(i, j int) bool { return r[i].at < r[j].at }

// Swap implements heap.Interface.
func (r replies) Swap(i, j int) { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *replies) Push(x any) { *r = append(*r, x.(*reply)) }

// Pop implements heap.Interface.
func (r *replies) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// Play plays the load under a policy. The same requests come for each policy.
func (l *Load) Play(p Policy) *Result {
	result := &Result{Kinds: make([]Outcome, len(l.Kinds))}
	for _, seed := range l.Seeds {
		r := &run{Load: l, policy: p, result: result, choices: rand.New(rand.NewPCG(seed, 2)), free: make([][]time.Duration, len(l.Searchers))}
		for i, s := range l.Searchers {
			r.free[i] = make([]time.Duration, s.Slots)
		}
		for i := range l.Instances {
			in := &instance{domain: i % Domains, searchers: make([]searcherState, len(l.Searchers))}
			for j := range in.searchers {
				in.searchers[j].cost.ObserveDial(r.roundTrip(in, j))
			}
			r.instances = append(r.instances, in)
		}
		r.play(rand.New(rand.NewPCG(seed, 1)))
	}
	return result
}

func (r *run) play(random *rand.Rand) {
	for r.now < r.Duration {
		var rates [Domains]float64
		total := 0.0
		for d := range rates {
			rates[d] = r.PerSecond(r.now, d) * float64(r.inDomain(d))
			total += rates[d]
		}
		r.now += time.Duration(random.ExpFloat64() / total * float64(time.Second))
		domain, drawn := 0, random.Float64()*total
		for domain < Domains-1 && drawn >= rates[domain] {
			drawn -= rates[domain]
			domain++
		}
		in := r.instances[domain+Domains*random.IntN(r.inDomain(domain))]
		kind, drawn := 0, random.Float64()
		for kind < len(r.Kinds)-1 && drawn >= r.Kinds[kind].Share {
			drawn -= r.Kinds[kind].Share
			kind++
		}
		work := float64(r.Kinds[kind].Cost) * math.Exp(r.Sigma*random.NormFloat64()-r.Sigma*r.Sigma/2)
		for len(r.replies) > 0 && r.replies[0].at <= r.now {
			r.end(heap.Pop(&r.replies).(*reply))
		}
		r.send(in, kind, work)
	}
	for len(r.replies) > 0 {
		r.end(heap.Pop(&r.replies).(*reply))
	}
}

// inDomain returns the number of instances in a domain.
func (r *run) inDomain(domain int) int { return (r.Instances - domain + Domains - 1) / Domains }

// roundTrip returns the time of the network between an instance and a searcher.
func (r *run) roundTrip(in *instance, searcher int) time.Duration {
	if r.policy == AllKnown || r.Searchers[searcher].Domain == in.domain {
		return near
	}
	return far
}

// kindOf returns the kind of a request as the instances see it.
func kindOf(kind int) cost.Kind { return cost.Kind{Size: cost.SizeClass(kind)} }

// send chooses a searcher for a request and has it run there.
func (r *run) send(in *instance, kind int, work float64) {
	chosen := r.choose(in, kind, work)
	p := &reply{sentAt: r.now, instance: in, searcher: chosen, kind: kind}
	hop := r.roundTrip(in, chosen) / 2
	slot, end := r.earliest(chosen, hop, work)
	r.free[chosen][slot] = end
	p.at = end + hop
	if s := &in.searchers[chosen]; r.policy != AllKnown {
		p.work = in.costs.Start(r.now, &s.cost, kindOf(kind), r.Searchers[chosen].Slots)
		s.running = append(s.running, p)
	}
	heap.Push(&r.replies, p)
}

// earliest returns the slot of a searcher that is free first, and when it would end some work.
func (r *run) earliest(searcher int, hop time.Duration, work float64) (int, time.Duration) {
	free := r.free[searcher]
	slot := slices.Index(free, slices.Min(free))
	start := max(r.now+hop, free[slot])
	return slot, start + time.Duration(work*r.Searchers[searcher].Factor(start))
}

// choose returns the index of the searcher that gets a request.
func (r *run) choose(in *instance, kind int, work float64) int {
	if r.policy == AllKnown {
		return r.lowest(func(i int) float64 {
			_, end := r.earliest(i, near/2, work)
			return float64(end)
		})
	}
	candidates := make([]balance.Candidate, len(r.Searchers))
	for i, s := range r.Searchers {
		state := &in.searchers[i]
		candidates[i] = balance.Candidate{Stats: &state.stats, Outstanding: len(state.running), Slots: s.Slots, SameDomain: s.Domain == in.domain, Connected: true}
		if len(state.running) > 0 {
			candidates[i].OldestWait = r.now - state.running[0].sentAt
		}
	}
	if r.policy == ByLatency || !in.costs.Active(r.now) {
		// As balance.Choose, with reproducible random numbers.
		return r.lowest(func(i int) float64 {
			return candidates[i].Cost(r.now, in.median) * (1 + randomFactor*r.choices.Float64())
		})
	}
	estimate := in.costs.Estimate(r.now, kindOf(kind))
	options := make([]cost.Option, len(candidates))
	for i := range candidates {
		c, state := &candidates[i], &in.searchers[i]
		var slowness float64
		c.Expected, slowness = estimate.Completion(&state.cost, c.Slots)
		if len(state.running) > 0 {
			c.OldestExpected = time.Duration(slowness * float64(state.running[0].work.Cost))
		}
		options[i] = cost.Option{Cost: c.Cost(r.now, in.median) * cost.Lateness(c.Expected, r.Target), Capacity: float64(c.Slots) / slowness}
	}
	return cost.Choose(options, r.choices.Float64())
}

// lowest returns the index of the searcher with the lowest value.
func (r *run) lowest(value func(searcher int) float64) int {
	best, bestValue := -1, math.Inf(1)
	for i := range r.Searchers {
		if v := value(i); v < bestValue {
			best, bestValue = i, v
		}
	}
	return best
}

// end records a reply.
func (r *run) end(p *reply) {
	in, latency := p.instance, p.at-p.sentAt
	crossed := r.Searchers[p.searcher].Domain != in.domain
	r.result.All.add(latency, r.Target, crossed)
	r.result.Kinds[p.kind].add(latency, r.Target, crossed)
	r.result.Domains[in.domain].add(latency, r.Target, crossed)
	if r.policy == AllKnown {
		return
	}
	if step := time.Duration(medianStep * float64(in.median)); latency > in.median {
		in.median += max(step, time.Microsecond)
	} else {
		in.median -= step
	}
	s := &in.searchers[p.searcher]
	s.running = slices.DeleteFunc(s.running, func(o *reply) bool { return o == p })
	s.stats.ObserveReply(p.at, latency, true)
	s.cost.End(p.work)
	in.costs.ObserveReply(p.at, &s.cost, p.work, latency)
}
