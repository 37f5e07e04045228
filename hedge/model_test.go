package hedge_test

import (
	"container/heap"
	"math"
	"math/rand"
	"sort"
	"time"

	"github.com/wisteriawharf/wisteriawharf/hedge"
	"github.com/wisteriawharf/wisteriawharf/route"
)

// model is a queueing model of one service: shards of 3 searchers with 3 slots,
// each with one queue at its owner, before several entries. It measures the
// decision packages; a part's service time is lognormal with a mean of 10 ms.
type model struct {
	shards     int
	entries    int
	load       float64
	stragglers float64
	budget     float64
	queries    int
	choice     string
}

const (
	replicas    = 3
	slots       = 3
	meanService = 10 * time.Millisecond
	sigma       = 0.5
	slowFactor  = 10
	hop         = 500 * time.Microsecond
	reportEvery = 250 * time.Millisecond
)

type outcome struct {
	p50, p99, p999 time.Duration
	extra          float64
}

type job struct {
	query   *search
	shard   int
	replica int
	hedge   bool
	sent    time.Duration
	done    bool
	running bool
}

type search struct {
	entry   int
	began   time.Duration
	pending int
	open    [][]*job
}

type server struct {
	running int
	queue   []*job
}

type occurrence struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []occurrence

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(occurrence)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type run struct {
	model
	random   *rand.Rand
	now      time.Duration
	seq      int
	agenda   agenda
	servers  [][]*server
	loads    [][][]route.Load
	policies []*hedge.Policy
	parts    int
	hedges   int
	took     []time.Duration
}

func (m model) run(seed int64) outcome {
	r := &run{model: m, random: rand.New(rand.NewSource(seed))}
	for range m.shards {
		var servers []*server
		for range replicas {
			servers = append(servers, &server{})
		}
		r.servers = append(r.servers, servers)
	}
	for range m.entries {
		loads := make([][]route.Load, m.shards)
		for s := range loads {
			loads[s] = make([]route.Load, replicas)
		}
		r.loads = append(r.loads, loads)
		r.policies = append(r.policies, hedge.NewPolicy(m.budget))
	}
	r.at(0, r.report)
	r.at(0, r.arrive)
	for len(r.agenda) > 0 && len(r.took) < m.queries {
		next := heap.Pop(&r.agenda).(occurrence)
		r.now = next.at
		next.do()
	}
	// The first tenth learns the latencies.
	took := r.took[len(r.took)/10:]
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	at := func(p float64) time.Duration { return took[int(p*float64(len(took)-1))] }
	return outcome{at(0.5), at(0.99), at(0.999), float64(r.hedges) / float64(r.parts)}
}

func (r *run) at(after time.Duration, do func()) {
	r.seq++
	heap.Push(&r.agenda, occurrence{r.now + after, r.seq, do})
}

// arrive starts a query and plans the next one: Poisson arrivals at the load,
// counted with the stragglers' work.
func (r *run) arrive() {
	mean := meanService.Seconds() * (1 + r.stragglers*(slowFactor-1))
	rate := r.load * replicas * slots / mean
	r.at(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	q := &search{entry: r.random.Intn(r.entries), began: r.now, pending: r.shards, open: make([][]*job, r.shards)}
	for s := range r.shards {
		r.parts++
		r.policies[q.entry].Budget.Earn(1)
		r.send(q, s, false)
	}
}

func (r *run) pick(q *search, shard int) int {
	var left []int
	var loads []route.Load
	for i, l := range r.loads[q.entry][shard] {
		if used(q.open[shard], i) {
			continue
		}
		l.PerPart = meanService / slots
		left = append(left, i)
		loads = append(loads, l)
	}
	if len(left) == 0 {
		return -1
	}
	switch r.choice {
	case "random":
		return left[r.random.Intn(len(left))]
	case "least":
		best := 0
		for i := range loads {
			if loads[i].Wait(r.now) < loads[best].Wait(r.now) {
				best = i
			}
		}
		return left[best]
	default:
		return left[route.Choose(r.random, loads, r.now)]
	}
}

func used(jobs []*job, replica int) bool {
	for _, j := range jobs {
		if j.replica == replica {
			return true
		}
	}
	return false
}

func (r *run) send(q *search, shard int, isHedge bool) {
	i := r.pick(q, shard)
	if i < 0 {
		return
	}
	policy := r.policies[q.entry]
	if isHedge {
		if !policy.Budget.Take() {
			return
		}
		r.hedges++
	}
	j := &job{query: q, shard: shard, replica: i, hedge: isHedge, sent: r.now}
	q.open[shard] = append(q.open[shard], j)
	r.loads[q.entry][shard][i].Sent++
	r.at(hop, func() { r.enqueue(j) })
	delay, ok := policy.Delay(len(q.open[shard]) - 1)
	if ok && len(q.open[shard]) < replicas {
		r.at(delay, func() {
			if !j.done {
				r.send(q, shard, true)
			}
		})
	}
}

func (r *run) enqueue(j *job) {
	s := r.servers[j.shard][j.replica]
	s.queue = append(s.queue, j)
	r.dispatch(s)
}

func (r *run) dispatch(s *server) {
	for s.running < slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.done {
			continue
		}
		s.running++
		j.running = true
		service := meanService.Seconds() * math.Exp(sigma*r.random.NormFloat64()-sigma*sigma/2)
		if r.random.Float64() < r.stragglers {
			service *= slowFactor
		}
		r.at(time.Duration(service*float64(time.Second)), func() {
			if j.running {
				j.running = false
				s.running--
				r.dispatch(s)
				r.at(hop, func() { r.reply(j) })
			}
		})
	}
}

// reply ends a shard: the first answer counts and the others are cancelled.
func (r *run) reply(j *job) {
	if j.done {
		return
	}
	r.state(j.query.entry, j.shard, j.replica)
	for _, other := range j.query.open[j.shard] {
		if other.done {
			continue
		}
		other.done = true
		if !other.hedge {
			r.policies[j.query.entry].Latency.Add(r.now, r.now-other.sent)
		}
		if other.running {
			r.at(hop, func() { r.cancel(other) })
		}
	}
	j.query.pending--
	if j.query.pending == 0 {
		r.took = append(r.took, r.now-j.query.began)
	}
}

func (r *run) cancel(j *job) {
	if j.running {
		j.running = false
		s := r.servers[j.shard][j.replica]
		s.running--
		r.dispatch(s)
	}
}

func (r *run) report() {
	for e := range r.loads {
		for s := range r.servers {
			for i := range r.servers[s] {
				r.state(e, s, i)
			}
		}
	}
	r.at(reportEvery, r.report)
}

func (r *run) state(entry, shard, i int) {
	s := r.servers[shard][i]
	l := route.Load{Known: true, Reported: r.now, Free: slots - s.running}
	if l.Free == 0 {
		l.QueueWait = time.Duration(len(s.queue)+1) * meanService / slots
	}
	r.loads[entry][shard][i] = l
}
