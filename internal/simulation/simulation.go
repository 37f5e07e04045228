// Package simulation is a deterministic queueing model of one search service: entries
// that choose replicas and hedge by the packages route and hedge, and owners that
// keep the slots and the queue of a searcher each. It contains what an entry
// knows and when, so that a change of the decisions can be judged without the
// noise of a shared machine. It is used by tests and measurements only.
package simulation

import (
	"math"
	"math/rand"
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/hedge"
	"github.com/wisteriawharf/wisteriawharf/route"
)

const (
	replicas = 3
	slots    = 3
	// The service time is lognormal, as that of the searchers' stand-in.
	medianService = 20 * time.Millisecond
	sigma         = 0.4
	slowFactor    = 10
	// hop is the time of one message in one direction.
	hop = 500 * time.Microsecond
	// meanShare is the weight of one piece of work in the mean that an owner
	// learns, as in package slot.
	meanShare = 1.0 / 16
	// maxQueued is the multiple of the hedge delay after which a part that waits
	// is hedged although it has not started.
	maxQueued = 3
	// defaultStatus is the time between reports of entry.
	defaultStatus = 250 * time.Millisecond
)

// Choices of a replica.
const (
	// ChooseRoute uses package route, as entries do.
	ChooseRoute = ""
	// ChooseRandom, ChooseTwo and ChooseLeast take one at random, the shorter
	// wait of two, and the shortest wait.
	ChooseRandom = "random"
	ChooseTwo    = "two"
	ChooseLeast  = "least"
	// ChooseShared has one queue for all replicas of a shard, without hops.
	ChooseShared = "shared"
)

// Config describes one run. The zero values of the fields from Status on are
// what entries and brokers do.
type Config struct {
	Shards  int
	Entries int
	// Load is a share of the capacity, counted with the stragglers' work.
	Load float64
	// Stragglers is the share of work that takes ten times as long, and Budget
	// the extra load that hedges may cause.
	Stragglers float64
	Budget     float64
	Queries    int
	Seed       int64

	// Handling is added to the service time: the slot is held for as long as the
	// request and the reply are under way and handled.
	Handling time.Duration
	// Choice is one of the constants.
	Choice string
	// Status is the time between reports of all searchers; zero is 250 ms.
	Status time.Duration
	// Exact gives entries the present state of each searcher.
	Exact bool
	// NoPiggyback leaves the searcher's state out of replies.
	NoPiggyback bool
	// Siblings adds the states of so many other searchers of the broker to each
	// reply.
	Siblings int
	// ServicePerPart uses the mean service time for parts sent since the report,
	// in place of the median latency of parts.
	ServicePerPart bool
	// Margin is the number of parts by which a queue may be longer than the entry
	// assumed before its owner returns a part, up to twice. At zero none is.
	Margin int
	// Estimate counts the hedge delay from when the part was assumed to start, and
	// Started from when it does, which the owner tells.
	Estimate bool
	Started  bool
	// NoRefund keeps the price of a hedge of which one part was cancelled in the
	// queue.
	NoRefund bool
}

// Outcome is what a run measured: quantiles of the time of queries, the hedges
// as a share of parts, the work begun for nothing as a share of the work of
// which the result was used, and messages returned as a share of parts.
type Outcome struct {
	P50, P99, P999 time.Duration
	Hedges         float64
	Extra          float64
	Returned       float64
}

type job struct {
	query   *search
	shard   int
	replica int
	hedge   bool
	sent    time.Duration
	reports int
	wait    time.Duration
	service time.Duration
	done    bool
	started time.Duration
	running bool
	ended   bool
}

type search struct {
	entry    int
	began    time.Duration
	pending  int
	answered []bool
	open     [][]*job
	hedges   []int
	returns  []int
	// services are the times that the attempts at each shard take.
	services [][replicas]time.Duration
}

// known is what one entry knows of one searcher.
type known struct {
	load    route.Load
	reports int
}

type run struct {
	Config
	agenda
	random *rand.Rand
	// work draws arrivals and service times. Drawn apart from the decisions, they
	// are the same in runs that differ only in these.
	work     *rand.Rand
	servers  [][]*server
	known    [][][]known
	policies []*hedge.Policy
	parts    int
	hedges   int
	returned int
	useful   int
	wasted   int
	took     []time.Duration
}

// Run carries out the model and returns its outcome.
func (c Config) Run() Outcome {
	if c.Status == 0 {
		c.Status = defaultStatus
	}
	r := &run{Config: c, random: rand.New(rand.NewSource(2*c.Seed + 1)), work: rand.New(rand.NewSource(2*c.Seed + 2))}
	for range c.Shards {
		var servers []*server
		for range replicas {
			servers = append(servers, &server{slots: slots, mean: meanOf(0)})
		}
		if c.Choice == ChooseShared {
			servers = []*server{{slots: replicas * slots}}
		}
		r.servers = append(r.servers, servers)
	}
	for range c.Entries {
		table := make([][]known, c.Shards)
		for s := range table {
			table[s] = make([]known, len(r.servers[s]))
		}
		r.known = append(r.known, table)
		r.policies = append(r.policies, hedge.NewPolicy(c.Budget))
	}
	r.reportAll()
	r.arrive()
	for len(r.took) < c.Queries {
		r.step()
	}
	return r.outcome()
}

func (r *run) outcome() Outcome {
	// The first tenth learns the latencies.
	took := r.took[len(r.took)/10:]
	slices.Sort(took)
	at := func(p float64) time.Duration { return took[int(p*float64(len(took)-1))] }
	share := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	return Outcome{
		P50: at(0.5), P99: at(0.99), P999: at(0.999),
		Hedges: share(r.hedges, r.parts), Extra: share(r.wasted, r.useful), Returned: share(r.returned, r.parts),
	}
}

func meanOf(stragglers float64) time.Duration {
	return time.Duration(medianService.Seconds() * math.Exp(sigma*sigma/2) * (1 + stragglers*(slowFactor-1)) * float64(time.Second))
}

// arrive starts a query and plans the next one, as a Poisson process.
func (r *run) arrive() {
	rate := r.Load * replicas * slots / meanOf(r.Stragglers).Seconds()
	r.after(time.Duration(r.work.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	q := &search{
		entry: r.work.Intn(r.Entries), began: r.now, pending: r.Shards, answered: make([]bool, r.Shards),
		open: make([][]*job, r.Shards), hedges: make([]int, r.Shards), returns: make([]int, r.Shards),
		services: make([][replicas]time.Duration, r.Shards),
	}
	for s := range r.Shards {
		for i := range replicas {
			q.services[s][i] = r.service()
		}
	}
	for s := range r.Shards {
		r.parts++
		r.policies[q.entry].Budget.Earn(1)
		r.send(q, s, false)
	}
}

// pick returns a replica without a part of the query, and the wait there.
func (r *run) pick(q *search, shard int) (int, time.Duration) {
	var left []int
	var loads []route.Load
	for i := range r.servers[shard] {
		if slices.ContainsFunc(q.open[shard], func(j *job) bool { return j.replica == i }) {
			continue
		}
		l := r.known[q.entry][shard][i].load
		if r.Exact {
			l = r.state(r.servers[shard][i])
		}
		l.WaitPerPart = r.policies[q.entry].Median() / slots
		if r.ServicePerPart {
			l.WaitPerPart = meanOf(r.Stragglers) / slots
		}
		left = append(left, i)
		loads = append(loads, l)
	}
	if len(left) == 0 {
		return -1, 0
	}
	i := r.choose(loads)
	return left[i], loads[i].Wait(r.now)
}

func (r *run) choose(loads []route.Load) int {
	switch r.Choice {
	case ChooseRandom, ChooseShared:
		return r.random.Intn(len(loads))
	case ChooseRoute:
		return route.Choose(r.random, loads, r.now)
	}
	order := r.random.Perm(len(loads))
	if r.Choice == ChooseTwo {
		order = order[:min(2, len(order))]
	}
	best := order[0]
	for _, i := range order[1:] {
		wi, wb := loads[i].Wait(r.now), loads[best].Wait(r.now)
		if wi < wb || wi == wb && loads[i].Outstanding < loads[best].Outstanding {
			best = i
		}
	}
	return best
}

// service draws the time that one attempt takes at a searcher.
func (r *run) service() time.Duration {
	seconds := medianService.Seconds() * math.Exp(sigma*r.work.NormFloat64())
	if r.work.Float64() < r.Stragglers {
		seconds *= slowFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

func (r *run) hop() time.Duration {
	if r.Choice == ChooseShared {
		return 0
	}
	return hop
}

func (r *run) send(q *search, shard int, isHedge bool) {
	i, wait := r.pick(q, shard)
	if i < 0 {
		return
	}
	policy := r.policies[q.entry]
	if isHedge {
		if !policy.Budget.Take() {
			r.planHedge(q, shard)
			return
		}
		r.hedges++
		q.hedges[shard]++
	}
	k := &r.known[q.entry][shard][i]
	j := &job{query: q, shard: shard, replica: i, hedge: isHedge, sent: r.now, reports: k.reports, wait: wait,
		service: q.services[shard][q.hedges[shard]]}
	q.open[shard] = append(q.open[shard], j)
	k.load.Outstanding++
	r.after(r.hop(), func() { r.enqueue(j) })
	r.planHedge(q, shard)
}

// reply ends a shard: the first answer counts and the others are cancelled.
func (r *run) reply(j *job, state route.Load) {
	if j.done {
		r.wasted++
		return
	}
	r.useful++
	q := j.query
	if !r.NoPiggyback {
		r.learn(q.entry, j.shard, j.replica, state)
		for n := range r.Siblings {
			// A broker owns searchers of one domain, here the same replica of
			// neighbouring shards.
			shard := j.shard - j.shard%(r.Siblings+1) + n
			if shard >= j.shard {
				shard++
			}
			if shard < r.Shards {
				r.learn(q.entry, shard, j.replica, r.state(r.servers[shard][j.replica]))
			}
		}
	}
	q.answered[j.shard] = true
	for _, other := range q.open[j.shard] {
		r.settle(other, other != j)
	}
	q.pending--
	if q.pending == 0 {
		r.took = append(r.took, r.now-q.began)
	}
}

// settle ends an attempt as entries do, and cancels it unless it was answered.
func (r *run) settle(j *job, cut bool) {
	if j.done {
		return
	}
	j.done = true
	k := &r.known[j.query.entry][j.shard][j.replica]
	if k.reports == j.reports && k.load.Outstanding > 0 {
		k.load.Outstanding--
	}
	if cut {
		r.after(r.hop(), func() { r.cancel(j) })
	}
	if j.hedge {
		return
	}
	policy := r.policies[j.query.entry]
	latency := max(r.now-j.sent-r.held(j), 0)
	if delay, _ := policy.Delay(0); cut && latency < delay {
		return
	}
	policy.Latency.Add(r.now, latency)
}

// cancel takes work out of the queue, or frees its slot when the searcher has
// answered that the work is done.
func (r *run) cancel(j *job) {
	s := r.servers[j.shard][j.replica]
	if !j.running {
		s.queue = slices.DeleteFunc(s.queue, func(o *job) bool { return o == j })
		if !r.NoRefund {
			r.after(r.hop(), r.policies[j.query.entry].Budget.Refund)
		}
		return
	}
	r.after(2*r.hop(), func() {
		if !j.ended {
			j.ended = true
			r.wasted++
			s.running--
			r.dispatch(s)
		}
	})
}
