package assign

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// The model counts time in ticks. Work is shorter than in a deployment, which
// lets more happen in one run.
const (
	modelLease   = 6
	modelWork    = 3
	modelRemoval = 4
	modelTicks   = 220
	modelBrokers = 9
)

var (
	modelTerms     = LeaseTiming{Lease: modelLease, MaxDeadline: modelWork}
	modelSearchers = []string{"s0", "s1", "s2", "s3"}
)

// stored is one version of the platform's object.
type stored struct {
	record  control.Record
	version uint64
}

// message is a frame under way. It reaches a paused process when that goes on,
// and is lost if its link is cut when it arrives.
type message struct {
	from, to *process
	at       int
	deliver  func()
}

// process is one broker. A foreign one belongs to another failure domain: it
// confirms, and adopts the record when that is not renewed. A process acts only
// on what it has received.
type process struct {
	id string
	// address is that of an ended process if this one took its place.
	address string
	foreign bool
	// offset is the difference between its boot time and the model's ticks.
	offset       int
	rights       *RightTracker
	takeover     *Takeover
	known        stored
	heard        map[string]BrokerHeartbeat
	heardAt      map[string]int
	acked        map[string]uint64
	coordinating bool
	renewed      int
	pausedUntil  int
	dead, gone   bool
	offline      bool
	// used holds, by searcher and tick of dispatch, the slots that may be busy.
	used map[string]map[int]int
}

type model struct {
	random  *rand.Rand
	limits  settings.Limits
	tick    int
	history []stored
	// adoption is how long foreign processes wait for a renewal.
	adoption  int
	outage    bool
	lose      bool
	stale     bool
	processes []*process
	cut       map[[2]string]bool
	messages  []message
}

func newModel(seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), cut: make(map[[2]string]bool)}
	m.adoption = 3 + m.random.IntN(modelLease+modelRemoval)
	m.limits = settings.Limits{Slots: 3, Connections: 3, Cold: settings.Cold{Allowance: 1 + m.random.IntN(2)}}
	for range 3 {
		m.start(true, "")
	}
	for range 3 {
		m.start(false, "")
	}
	return m
}

func (m *model) start(foreign bool, address string) {
	n := len(m.processes)
	id := fmt.Sprintf("p%d-%d", n, m.random.IntN(1000))
	m.processes = append(m.processes, &process{
		id: id, address: cmp.Or(address, id), foreign: foreign, offset: 1000 + m.random.IntN(1000),
		rights: NewRightTracker(id, modelTerms), takeover: NewTakeover(id, modelTerms),
		heard: make(map[string]BrokerHeartbeat), heardAt: make(map[string]int), acked: make(map[string]uint64),
		renewed: m.tick, used: make(map[string]map[int]int),
	})
}

func (m *model) now(p *process) time.Duration { return time.Duration(m.tick + p.offset) }

func (m *model) find(id string) *process {
	i := slices.IndexFunc(m.processes, func(p *process) bool { return p.id == id })
	if i < 0 {
		return nil
	}
	return m.processes[i]
}

// successor returns the living process at the address of an ended one.
func (m *model) successor(p *process) *process {
	i := slices.IndexFunc(m.processes, func(o *process) bool { return o.address == p.address && !o.dead })
	if i < 0 {
		return nil
	}
	return m.processes[i]
}

func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (m *model) send(from, to *process, deliver func()) {
	if to == nil || from == to {
		return
	}
	delay := 0
	if m.random.IntN(4) == 0 {
		delay = m.random.IntN(12)
	}
	if m.random.IntN(12) != 0 {
		m.messages = append(m.messages, message{from, to, m.tick + delay, deliver})
	}
}

// deliver hands over what has arrived; a delivery may send replies.
func (m *model) deliver() {
	for range 4 {
		var later []message
		due := m.messages
		m.messages = nil
		for _, msg := range due {
			switch {
			case msg.to.dead || m.cut[link(msg.from.id, msg.to.id)]:
			case msg.at > m.tick || msg.to.pausedUntil > m.tick:
				later = append(later, msg)
			default:
				msg.deliver()
			}
		}
		m.messages = append(m.messages, later...)
	}
}

// learn takes a record that the platform held.
func (m *model) learn(p *process, s stored) {
	if s.version <= p.known.version {
		return
	}
	p.known = s
	record := s.record
	p.rights.Observe(&record)
	p.takeover.Observe(&record, m.now(p))
	p.renewed = m.tick
	coordinating := record.Coordinator == p.id
	if coordinating && !p.coordinating {
		p.heard = make(map[string]BrokerHeartbeat)
		p.heardAt = make(map[string]int)
		for _, member := range record.Members {
			p.heardAt[member.ID] = m.tick
		}
	}
	p.coordinating = coordinating
}

func (m *model) reaches(p *process) bool { return !m.outage && !p.offline }

// read returns the object, or an earlier version of it.
func (m *model) read(p *process) {
	if !m.reaches(p) || len(m.history) == 0 {
		return
	}
	i := len(m.history) - 1
	if m.stale {
		i = max(0, i-m.random.IntN(4))
	}
	m.learn(p, m.history[i])
}

// write replaces the object if its version is the one that p knows. The reply
// may be lost or arrive late.
func (m *model) write(p *process, c RecordUpdate) {
	if !m.reaches(p) {
		return
	}
	var version uint64
	if len(m.history) > 0 {
		version = m.history[len(m.history)-1].version
	}
	if version != p.known.version {
		m.read(p)
		return
	}
	next := stored{NextRecord("x", p.known.record, c), version + 1}
	m.history = append(m.history, next)
	if m.lose && m.random.IntN(2) == 0 {
		return
	}
	delay := 0
	if m.random.IntN(6) == 0 {
		delay = m.random.IntN(10)
	}
	m.messages = append(m.messages, message{p, p, m.tick + delay, func() { m.learn(p, next) }})
}

func (m *model) step(p *process) {
	if p.dead || p.pausedUntil > m.tick {
		return
	}
	if m.random.IntN(3) == 0 {
		to := m.processes[m.random.IntN(len(m.processes))]
		known := p.known
		m.send(p, to, func() { m.learn(to, known) })
	}
	if p.foreign && !m.adopts(p) {
		return
	}
	m.heartbeat(p)
	if m.tick%2 == 0 {
		m.coordinate(p)
	}
	m.confirm(p)
	m.acknowledge(p)
	m.release(p)
	m.dispatch(p)
}

func (m *model) beat(p *process) BrokerHeartbeat {
	beat := BrokerHeartbeat{ID: p.id, Address: p.address, SentNs: int64(m.now(p)), KnownEpoch: p.takeover.Epoch()}
	if p.foreign {
		beat.Domain = "y"
	}
	return beat
}

// adopts reports whether a foreign process takes part in the record. One that
// nobody renews is adopted after a wait of any length, because no limit rests
// on the wait. An adopter leaves when a broker of the domain is a member.
func (m *model) adopts(p *process) bool {
	record := p.known.record
	_, member := record.Member(p.id)
	if !member && p.gone {
		p.gone = false
	}
	if member && !record.Adopted() {
		p.gone = true
	}
	if member || record.Adopted() || p.coordinating {
		return true
	}
	if p.known.version > 0 && m.tick >= p.renewed+m.adoption {
		c := RecordUpdate{Writer: p.id, Heartbeats: []BrokerHeartbeat{m.beat(p)}, Acked: map[string]uint64{p.id: p.takeover.Epoch()}}
		for _, lost := range record.Members {
			c.Lost = append(c.Lost, lost.ID)
		}
		m.others(&c)
		m.write(p, c)
	}
	return false
}

// others names the brokers of the other domain.
func (m *model) others(c *RecordUpdate) {
	c.Addresses = make(map[string]string)
	for _, p := range m.processes {
		if p.foreign {
			c.OtherDomainBrokers = append(c.OtherDomainBrokers, p.id)
			c.Addresses[p.id] = p.address
		}
	}
}

func (m *model) heartbeat(p *process) {
	beat := m.beat(p)
	if p.gone {
		return
	}
	to := m.find(p.known.record.Coordinator)
	m.send(p, to, func() {
		if !to.coordinating {
			return
		}
		to.heard[p.id], to.heardAt[p.id] = beat, m.tick
		to.acked[p.id] = max(to.acked[p.id], beat.KnownEpoch)
		member, _ := to.known.record.Member(p.id)
		epoch := to.known.record.Epoch
		m.send(to, p, func() {
			if granted := time.Duration(member.GrantedNs); granted > 0 {
				if granted > p.rights.LeaseStart() {
					p.renewed = m.tick
				}
				p.rights.ObserveRenewal(epoch, granted)
			}
		})
	})
}

func (m *model) coordinate(p *process) {
	record := p.known.record
	self := RecordUpdate{Writer: p.id, Heartbeats: []BrokerHeartbeat{m.beat(p)}, Acked: map[string]uint64{p.id: p.takeover.Epoch()}}
	m.others(&self)
	_, member := record.Member(p.id)
	switch {
	case p.foreign && !member && !p.coordinating:
		return
	case p.gone && !member:
		p.dead = true
		return
	case p.gone && m.anyBusy(p):
		return
	case p.gone:
		self.Heartbeats, self.Left = nil, []string{p.id}
	case p.known.version == 0:
		m.read(p)
	case !p.coordinating && m.tick < p.renewed+modelLease/2:
		return
	}
	if p.coordinating {
		self.Fenced = p.takeover.Fenced(m.now(p))
		for id, epoch := range p.acked {
			self.Acked[id] = max(self.Acked[id], epoch)
		}
		for _, member := range record.Members {
			if member.ID != p.id && m.tick >= p.heardAt[member.ID]+modelRemoval {
				self.Lost = append(self.Lost, member.ID)
			}
		}
		for id, h := range p.heard {
			if !slices.Contains(self.Lost, id) && m.tick < p.heardAt[id]+modelRemoval {
				self.Heartbeats = append(self.Heartbeats, h)
			}
		}
		slices.SortFunc(self.Heartbeats, func(a, b BrokerHeartbeat) int { return int(a.SentNs - b.SentNs) })
	}
	m.write(p, self)
}

func (m *model) confirm(p *process) {
	if m.now(p) < p.rights.LeaseStart()+modelLease/2 {
		return
	}
	epoch, asked := p.known.record.Epoch, m.now(p)
	for _, id := range p.known.record.Confirmers {
		c := m.find(id)
		m.send(p, c, func() {
			if m.reaches(c) {
				m.read(c)
				return
			}
			if c.known.record.Epoch == epoch {
				m.send(c, p, func() { p.rights.ObserveConfirmation(epoch, c.id, asked) })
			}
		})
	}
}

func (m *model) acknowledge(p *process) {
	if !p.coordinating {
		return
	}
	known := p.known
	for _, d := range known.record.Departed {
		for _, id := range d.Asked() {
			c := m.find(id)
			if c.dead && known.record.Addresses[id] == c.address {
				c = m.successor(c)
			}
			if c == p && id != p.id {
				p.acked[id] = max(p.acked[id], known.record.Epoch)
			}
			m.send(p, c, func() {
				m.learn(c, known)
				epoch := c.known.record.Epoch
				if c.id != id {
					epoch = known.record.Epoch
				}
				m.send(c, p, func() { p.acked[id] = max(p.acked[id], epoch) })
			})
		}
	}
}

// release ends the work on searchers that moved, possibly before its deadline,
// and tells the next owner.
func (m *model) release(p *process) {
	record := p.known.record
	for _, s := range modelSearchers {
		to, ok := ReleaseTarget(&record, p.id, s)
		if p.gone {
			remaining := slices.DeleteFunc(slices.Clone(record.Members), func(o control.Member) bool { return o.ID == p.id })
			to, ok = Owner(remaining, s)
		}
		if !ok || m.random.IntN(3) == 0 {
			continue
		}
		delete(p.used, s)
		next := m.find(to.ID)
		m.send(p, next, func() {
			if next.takeover.Epoch() >= record.Epoch {
				next.takeover.ObserveRelease(p.id, record.Epoch, s)
			}
		})
	}
}

func (m *model) dispatch(p *process) {
	if p.gone {
		return
	}
	for _, s := range modelSearchers {
		grant := NewGrant(p.rights.At(m.now(p)), p.takeover.Share(s, m.now(p)))
		if n := grant.Slots(m.limits); n > 0 {
			if p.used[s] == nil {
				p.used[s] = make(map[int]int)
			}
			p.used[s][m.tick] = n
		}
	}
}

// busy returns the slots of a searcher that work of p may occupy. Work that was
// dispatched ends by its deadline even if p was paused meanwhile.
func (m *model) busy(p *process, s string) int {
	most := 0
	for at, n := range p.used[s] {
		if m.tick <= at+modelWork {
			most = max(most, n)
		}
	}
	return most
}

func (m *model) anyBusy(p *process) bool {
	return slices.ContainsFunc(modelSearchers, func(s string) bool { return m.busy(p, s) > 0 })
}

func (m *model) check(t *rapid.T) {
	for _, s := range modelSearchers {
		sum := 0
		detail := ""
		for _, p := range m.processes {
			if n := m.busy(p, s); n > 0 {
				sum += n
				detail += fmt.Sprintf(" %s=%d(right %d, epoch %d)", p.id, n, p.rights.At(m.now(p)), p.takeover.Epoch())
			}
		}
		if sum > m.limits.Slots {
			t.Fatalf("tick %d: %s has %d of %d slots in use:%s", m.tick, s, sum, m.limits.Slots, detail)
		}
	}
}
