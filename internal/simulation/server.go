package simulation

import (
	"slices"
	"time"

	"github.com/wisteriawharf/wisteriawharf/route"
)

type server struct {
	slots   int
	running int
	queue   []*job
	mean    time.Duration
}

// held is the part of an attempt's time that does not count for hedges.
func (r *run) held(j *job) time.Duration {
	switch {
	case r.Estimate:
		return j.wait
	case r.Started && j.running:
		return j.started - j.sent
	case r.Started:
		return r.now - j.sent
	}
	return 0
}

func (r *run) enqueue(j *job) {
	s := r.servers[j.shard][j.replica]
	if j.done {
		return
	}
	q := j.query
	if r.margin(q.entry) > 0 && !j.hedge && q.returns[j.shard] < replicas-1 && r.state(s).QueueWait > j.wait+r.margin(q.entry) {
		r.returned++
		state := r.state(s)
		r.after(r.hop(), func() { r.sendBack(j, state) })
		return
	}
	s.queue = append(s.queue, j)
	r.dispatch(s)
}

// margin is how much longer than assumed a part may wait.
func (r *run) margin(entry int) time.Duration {
	return time.Duration(r.Margin) * r.policies[entry].Median() / slots
}

// sendBack takes a part that its owner returned and sends it again, now that
// the entry knows the wait there.
func (r *run) sendBack(j *job, state route.Load) {
	if j.done {
		return
	}
	q := j.query
	j.done = true
	r.learn(q.entry, j.shard, j.replica, state)
	q.open[j.shard] = slices.DeleteFunc(q.open[j.shard], func(o *job) bool { return o == j })
	q.returns[j.shard]++
	r.send(q, j.shard, false)
}

func (r *run) dispatch(s *server) {
	for s.running < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		j.running, j.started = true, r.now
		took := j.service
		if r.Choice != ChooseShared {
			took += r.Handling
		}
		r.after(took, func() {
			if !j.ended {
				r.end(s, j)
			}
		})
	}
}

// end frees the slot of work and sends its reply with the state after it.
func (r *run) end(s *server, j *job) {
	j.ended = true
	s.running--
	s.mean += time.Duration(float64(r.now-j.started-s.mean) * meanShare)
	r.dispatch(s)
	state := r.state(s)
	r.after(r.hop(), func() { r.reply(j, state) })
}

// state is what an owner reports, as in package slot.
func (r *run) state(s *server) route.Load {
	l := route.Load{Known: true, ReportedAt: r.now, FreeSlots: max(s.slots-s.running-len(s.queue), 0)}
	if ahead := len(s.queue) + s.running - s.slots + 1; ahead > 0 {
		l.QueueWait = s.mean * time.Duration(ahead) / time.Duration(s.slots)
	}
	return l
}
