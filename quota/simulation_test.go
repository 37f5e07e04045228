package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// simulatedEntry is the time from the start of an instance until the others count it.
const simulatedEntry = 700 * time.Millisecond

// testBounds are the bounds of the deployments.
var testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// event is something that happens in a simulation.
type event struct {
	at  time.Duration
	n   int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is an instance in a simulation. A restart makes another one in its place.
type node struct {
	name        string
	started     time.Duration
	delegator   *Delegator
	coordinator *Coordinator
	holder      *Holder
	dead        bool
	// leaves says that a planned stop has begun.
	leaves bool
	// resumes is when the process goes on after a pause.
	resumes time.Duration
}

// simAccount is an account with what became of its requests.
type simAccount struct {
	name   string
	limit  Limit
	ran    []time.Duration
	needed int // requests
	// refused is the number of refused requests, needless of those that the quota allowed.
	refused, needless int
}

// simulation is a deployment with messages that are delayed and lost.
type simulation struct {
	random   *rand.Rand
	now      time.Duration
	queue    events
	n        int
	nodes    []*node
	serving  []int
	accounts []*simAccount
	loss     float64
	// side says on which side of a network partition an instance is.
	side func(i int) int
	// measured is from when on refusals count.
	measured time.Duration
	sent     int
}

func newSimulation(seed uint64, instances int, limits []Limit) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 2)), loss: 0.003, side: func(int) int { return 0 }}
	s.nodes = make([]*node, instances)
	for i := range instances {
		s.start(i)
	}
	for i := range max(instances/5, min(instances, 5)) {
		s.serving = append(s.serving, i*instances/max(instances/5, min(instances, 5)))
	}
	for i, l := range limits {
		s.accounts = append(s.accounts, &simAccount{name: fmt.Sprint("account", i), limit: l})
	}
	return s
}

func (s *simulation) at(t time.Duration, run func()) {
	s.n++
	heap.Push(&s.queue, event{max(t, s.now), s.n, run})
}

func (s *simulation) runUntil(t time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= t {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = t
}

// start starts the process of an instance, or another one in its place.
func (s *simulation) start(i int) {
	if old := s.nodes[i]; old != nil {
		old.dead = true
	}
	n := &node{name: fmt.Sprintf("n%03d", i), started: s.now, delegator: NewDelegator(testBounds.Window, s.now), coordinator: NewCoordinator(testBounds), holder: NewHolder(testBounds, uint64(s.now))}
	s.nodes[i] = n
	var members []Member
	for k := range s.nodes {
		members = append(members, Member{Name: fmt.Sprintf("n%03d", k), FailureDomain: string(rune('a' + k%3)), Cores: 0.2 + float64(k%5)/10})
	}
	candidates := Candidates(members)
	n.delegator.SetCandidates(candidates)
	if slices.Contains(candidates, n.name) {
		s.at(s.now+time.Duration(s.random.Int64N(int64(AskInterval))), func() { s.solicit(i, n) })
	}
}

// send delivers a message to the process of an instance after a delay, unless it is lost.
func (s *simulation) send(from, to int, deliver func(*node)) {
	s.sent++
	if s.side(from) != s.side(to) || s.random.Float64() < s.loss {
		return
	}
	delay := 100 * time.Microsecond
	if from%3 != to%3 {
		delay = 1500*time.Microsecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond)))
	}
	var arrive func()
	arrive = func() {
		n := s.nodes[to]
		if n.dead {
			return
		}
		if s.now < n.resumes { // the message waits in the socket
			s.at(n.resumes, arrive)
			return
		}
		deliver(n)
	}
	s.at(s.now+delay, arrive)
}

func (s *simulation) solicit(i int, n *node) {
	if n.dead {
		return
	}
	askedAt := max(s.now, n.resumes)
	s.at(askedAt+n.coordinator.NextAsk(n.delegator, n.name, s.now), func() { s.solicit(i, n) })
	if s.now < n.resumes {
		return
	}
	for k := range s.nodes {
		claims := n.coordinator.Holds(s.nodes[k].name, s.now)
		s.send(i, k, func(d *node) {
			if n.leaves {
				d.delegator.Leaves(n.name, claims, s.now)
				return
			}
			mask, credit := d.delegator.Asked(n.name, int64(n.started), claims, s.now-d.started >= simulatedEntry, s.now)
			d.holder.Heard(func(b int) bool { return d.delegator.Coordinator(b, s.now) == n.name })
			s.send(k, i, func(c *node) {
				if c == n {
					c.coordinator.Delegate(d.name, mask, credit, len(s.nodes), askedAt, s.now)
				}
			})
		})
	}
}

// request is a request of an account at an instance.
func (s *simulation) request(i int, a *simAccount) {
	n := s.nodes[i]
	if n.dead || s.now < n.resumes {
		return
	}
	contact := func() Contact {
		position := float64(slices.Index(s.serving, i)) / float64(len(s.serving))
		return Contact{Reachable: n.delegator.Coordinator(BucketOf(a.name), s.now) != "", Instances: len(s.serving), Position: max(position, 0), TimeOfDay: time.UnixMilli(1.7e12).Add(s.now)}
	}
	if s.now >= s.measured {
		a.needed++
	}
	o := n.holder.Arrive(a.name, a.limit, contact(), s.now)
	if o.Decision != Waiting {
		s.decide(a, o)
		return
	}
	w := &Waiter{Decided: make(chan Outcome, 1)}
	q, asks := n.holder.Wait(a.name, a.limit, w, s.now)
	s.ask(i, n, a, q, asks, contact)
	var poll func()
	end := s.now + MaxWait
	poll = func() {
		if n.dead {
			return
		}
		select {
		case o := <-w.Decided:
			s.decide(a, o)
			return
		default:
		}
		if s.now >= max(end, n.resumes) {
			o, _ := n.holder.GiveUp(a.name, w, contact(), s.now)
			s.decide(a, o)
			return
		}
		s.at(max(s.now+200*time.Microsecond, n.resumes), poll)
	}
	s.at(s.now+200*time.Microsecond, poll)
}

// ask sends a question, and sends it again if there is no reply.
func (s *simulation) ask(i int, n *node, a *simAccount, q Question, asks bool, contact func() Contact) {
	if !asks || n.dead {
		return
	}
	coordinator := n.delegator.Coordinator(BucketOf(a.name), s.now)
	to := slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == coordinator })
	if to < 0 {
		return
	}
	send := func() {
		s.send(i, to, func(c *node) {
			g := c.coordinator.Answer(q, a.limit, s.now)
			s.send(to, i, func(h *node) {
				if h == n {
					next, asks := n.holder.Receive(g, a.limit, contact(), s.now)
					s.ask(i, n, a, next, asks, contact)
				}
			})
		})
	}
	end := s.now + MaxWait
	var resend func()
	resend = func() {
		if s.now < end && !n.dead && n.holder.Unanswered(q) {
			send()
			s.at(s.now+ResendAfter, resend)
		}
	}
	resend()
}

// decide records what became of a request.
func (s *simulation) decide(a *simAccount, o Outcome) {
	if o.Decision == Granted || o.Decision == FromReserve {
		a.ran = append(a.ran, s.now)
		return
	}
	if s.now < s.measured {
		return
	}
	a.refused++
	if a.allowed(s.now) {
		a.needless++
	}
}

// allowed reports whether the quota alone, without overage and slack, allows one more request.
func (a *simAccount) allowed(now time.Duration) bool {
	i, _ := slices.BinarySearch(a.ran, now-testBounds.Window)
	return float64(len(a.ran)-i+1) <= a.limit.PerSecond*testBounds.Window.Seconds()+a.limit.Burst
}

// load sends requests of an account until a time, at instances drawn by the given function.
func (s *simulation) load(a *simAccount, perSecond float64, until time.Duration, at func() int, request func(int, *simAccount)) {
	var next func()
	next = func() {
		if s.now < until {
			request(at(), a)
			s.at(s.now+time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
	}
	s.at(s.now+time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), next)
}

// worst returns the most requests in a window, and the greatest ratio of them to what is allowed.
func (s *simulation) worst() (over, ratio float64) {
	over = math.Inf(-1)
	for _, a := range s.accounts {
		first := 0
		slices.Sort(a.ran)
		for i, at := range a.ran {
			for at-a.ran[first] >= testBounds.Window {
				first++
			}
			n := float64(i - first + 1)
			over = max(over, n-testBounds.Allowed(a.limit))
			ratio = max(ratio, n/testBounds.Allowed(a.limit))
		}
	}
	return over, ratio
}

// shares returns the greatest share of a bucket that all processes together may grant from, dead ones
// excepted.
func (s *simulation) shares() float64 {
	most := 0.0
	for b := range Buckets {
		sum := 0.0
		for _, n := range s.nodes {
			if !n.dead {
				sum += n.coordinator.Share(b, s.now)
			}
		}
		most = max(most, sum)
	}
	return most
}

// fault makes some instances, or the network, fail in one of faultKinds ways. share is the part of the
// instances that fail.
func (s *simulation) fault(kind int, share float64) {
	cut := make(map[int]int)
	for i, n := range s.nodes {
		if s.random.Float64() >= share {
			continue
		}
		switch kind {
		case 0: // they restart within a second
			s.at(s.now+time.Duration(s.random.Int64N(int64(time.Second))), func() { s.start(i) })
		case 1: // they are paused
			n.resumes = s.now + time.Duration(s.random.Int64N(int64(3*time.Second)))
		case 2: // they are killed and start again later
			n.dead = true
			s.at(s.now+time.Duration(s.random.Int64N(int64(2*time.Second))), func() { s.start(i) })
		case 3: // they are cut off
			cut[i] = 1
		case 5: // coordinators stop as planned and start again
			if len(n.coordinator.delegators) > 0 {
				n.leaves = true
				s.at(s.now+2*time.Second, func() { s.start(i) })
			}
		case 4: // coordinators restart
			if len(n.coordinator.delegators) > 0 {
				s.start(i)
			}
		}
	}
	s.side = func(i int) int { return cut[i] }
}

const faultKinds = 6

// powerLaw returns the limits of 75 accounts with rates from 40 to 1 a second, and of one that is smaller.
func powerLaw() []Limit {
	limits := []Limit{{PerSecond: 0.5, Burst: 0.5, Version: 1}}
	for k := 1; k <= 75; k++ {
		r := max(40*math.Pow(float64(k), -1.2), 1)
		limits = append(limits, Limit{PerSecond: r, Burst: r, Version: 1})
	}
	return limits
}
