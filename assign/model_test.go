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

// The model counts time in ticks. Its maximum deadline is shorter than in a deployment, so
// that more happens in one run.
const (
	modelLease        = 6
	modelMaxDeadline  = 3
	modelRemovalDelay = 4
	modelTicks        = 220
	// modelProcessBase is the number of processes on which applyEvent bases its limits for
	// starting and replacing processes.
	modelProcessBase = 9
)

var (
	modelTiming    = LeaseTiming{Lease: modelLease, MaxDeadline: modelMaxDeadline}
	modelSearchers = []string{"s0", "s1", "s2", "s3"}
)

// objectVersion is one version of the platform's object that holds the record.
type objectVersion struct {
	record  control.Record
	version uint64
}

// message is in transit between two processes. It waits while its receiver is paused, and
// is lost if its link is cut or its receiver ends before it is delivered.
type message struct {
	from, to *process
	at       int
	deliver  func()
}

// process is one broker of the record's own failure domain or of another one. Brokers of
// the other domain confirm epochs, and adopt the record when nobody renews it. A process
// acts only on what it has received.
type process struct {
	id string
	// address equals id, or the address of an ended process if this one replaces it.
	address     string
	otherDomain bool
	// offset is how many ticks the process's clock, which counts from boot, shows at tick
	// zero of the model.
	offset         int
	rights         *RightTracker
	takeover       *TakeoverTracker
	known          objectVersion
	heartbeats     map[string]BrokerHeartbeat
	heardAt        map[string]int
	acked          map[string]uint64
	coordinating   bool
	renewedAt      int
	pausedUntil    int
	ended, leaving bool
	platformCut    bool
	// dispatched holds, by searcher and tick of dispatch, how many slots may be busy.
	dispatched map[string]map[int]int
}

type model struct {
	random   *rand.Rand
	limits   settings.Limits
	tick     int
	versions []objectVersion
	// adoptionDelay is how many ticks processes of the other domain wait for a renewal
	// before they adopt the record.
	adoptionDelay int
	outage        bool
	loseReplies   bool
	staleReads    bool
	processes     []*process
	cutLinks      map[[2]string]bool
	messages      []message
}

func newModel(seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), cutLinks: make(map[[2]string]bool)}
	m.adoptionDelay = 3 + m.random.IntN(modelLease+modelRemovalDelay)
	m.limits = settings.Limits{Slots: 3, Connections: 3, Cold: settings.Cold{Allowance: 1 + m.random.IntN(2)}}
	for range 3 {
		m.startProcess(true, "")
	}
	for range 3 {
		m.startProcess(false, "")
	}
	return m
}

func (m *model) startProcess(otherDomain bool, address string) {
	n := len(m.processes)
	id := fmt.Sprintf("p%d-%d", n, m.random.IntN(1000))
	m.processes = append(m.processes, &process{
		id: id, address: cmp.Or(address, id), otherDomain: otherDomain, offset: 1000 + m.random.IntN(1000),
		rights: NewRightTracker(id, modelTiming), takeover: NewTakeoverTracker(id, modelTiming),
		heartbeats: make(map[string]BrokerHeartbeat), heardAt: make(map[string]int), acked: make(map[string]uint64),
		renewedAt: m.tick, dispatched: make(map[string]map[int]int),
	})
}

func (m *model) now(p *process) time.Duration { return time.Duration(m.tick + p.offset) }

func (m *model) processByID(id string) *process {
	i := slices.IndexFunc(m.processes, func(p *process) bool { return p.id == id })
	if i < 0 {
		return nil
	}
	return m.processes[i]
}

// replacement returns the running process at the address of p, or nil if there is none.
func (m *model) replacement(p *process) *process {
	i := slices.IndexFunc(m.processes, func(o *process) bool { return o.address == p.address && !o.ended })
	if i < 0 {
		return nil
	}
	return m.processes[i]
}

func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// send schedules a message that calls deliver on arrival. At random the message is delayed
// or lost. Nothing is sent if to is nil or the sender itself.
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

// deliver delivers the messages that are due. It makes several rounds, because a delivery may
// send replies.
func (m *model) deliver() {
	for range 4 {
		var later []message
		due := m.messages
		m.messages = nil
		for _, msg := range due {
			switch {
			case msg.to.ended || m.cutLinks[linkKey(msg.from.id, msg.to.id)]:
			case msg.at > m.tick || msg.to.pausedUntil > m.tick:
				later = append(later, msg)
			default:
				msg.deliver()
			}
		}
		m.messages = append(m.messages, later...)
	}
}

// receiveRecord delivers a version of the object to p. A version that is not newer than the
// known one is ignored.
func (m *model) receiveRecord(p *process, s objectVersion) {
	if s.version <= p.known.version {
		return
	}
	p.known = s
	record := s.record
	p.rights.Observe(&record)
	p.takeover.Observe(&record, m.now(p))
	p.renewedAt = m.tick
	coordinating := record.Coordinator == p.id
	if coordinating && !p.coordinating {
		p.heartbeats = make(map[string]BrokerHeartbeat)
		p.heardAt = make(map[string]int)
		for _, member := range record.Members {
			p.heardAt[member.ID] = m.tick
		}
	}
	p.coordinating = coordinating
}

func (m *model) reachesPlatform(p *process) bool { return !m.outage && !p.platformCut }

// read lets p read the object from the platform. While reads are stale, p may get one of the
// versions before the newest.
func (m *model) read(p *process) {
	if !m.reachesPlatform(p) || len(m.versions) == 0 {
		return
	}
	i := len(m.versions) - 1
	if m.staleReads {
		i = max(0, i-m.random.IntN(4))
	}
	m.receiveRecord(p, m.versions[i])
}

// write replaces the object if its version is the one that p knows; otherwise p only reads
// the object. The reply to a write may be lost or arrive late.
func (m *model) write(p *process, update RecordUpdate) {
	if !m.reachesPlatform(p) {
		return
	}
	var version uint64
	if len(m.versions) > 0 {
		version = m.versions[len(m.versions)-1].version
	}
	if version != p.known.version {
		m.read(p)
		return
	}
	next := objectVersion{NextRecord("x", p.known.record, update), version + 1}
	m.versions = append(m.versions, next)
	if m.loseReplies && m.random.IntN(2) == 0 {
		return
	}
	delay := 0
	if m.random.IntN(6) == 0 {
		delay = m.random.IntN(10)
	}
	m.messages = append(m.messages, message{p, p, m.tick + delay, func() { m.receiveRecord(p, next) }})
}

func (m *model) step(p *process) {
	if p.ended || p.pausedUntil > m.tick {
		return
	}
	if m.random.IntN(3) == 0 {
		to := m.processes[m.random.IntN(len(m.processes))]
		known := p.known
		m.send(p, to, func() { m.receiveRecord(to, known) })
	}
	if p.otherDomain && !m.participates(p) {
		return
	}
	m.sendHeartbeat(p)
	if m.tick%2 == 0 {
		m.coordinate(p)
	}
	m.requestConfirmations(p)
	m.requestAcknowledgements(p)
	m.release(p)
	m.dispatch(p)
}

func (m *model) newHeartbeat(p *process) BrokerHeartbeat {
	heartbeat := BrokerHeartbeat{ID: p.id, Address: p.address, SentNs: int64(m.now(p)), KnownEpoch: p.takeover.Epoch()}
	if p.otherDomain {
		heartbeat.Domain = "y"
	}
	return heartbeat
}

// participates reports whether a process of the other domain takes part in the record. If
// nobody renews the record, the process adopts it after adoptionDelay. The model draws that
// delay at random, because the limits have to hold for any delay. An adopter starts to leave
// when a broker of the record's own domain is a member.
func (m *model) participates(p *process) bool {
	record := p.known.record
	_, member := record.Member(p.id)
	if !member && p.leaving {
		p.leaving = false
	}
	if member && !record.Adopted() {
		p.leaving = true
	}
	if member || record.Adopted() || p.coordinating {
		return true
	}
	if p.known.version > 0 && m.tick >= p.renewedAt+m.adoptionDelay {
		update := RecordUpdate{Writer: p.id, Heartbeats: []BrokerHeartbeat{m.newHeartbeat(p)}, Acked: map[string]uint64{p.id: p.takeover.Epoch()}}
		for _, lost := range record.Members {
			update.Lost = append(update.Lost, lost.ID)
		}
		m.addOtherDomain(&update)
		m.write(p, update)
	}
	return false
}

// addOtherDomain adds the brokers of the other domain to update.
func (m *model) addOtherDomain(update *RecordUpdate) {
	update.Addresses = make(map[string]string)
	for _, p := range m.processes {
		if p.otherDomain {
			update.OtherDomainBrokers = append(update.OtherDomainBrokers, p.id)
			update.Addresses[p.id] = p.address
		}
	}
}

func (m *model) sendHeartbeat(p *process) {
	heartbeat := m.newHeartbeat(p)
	if p.leaving {
		return
	}
	to := m.processByID(p.known.record.Coordinator)
	m.send(p, to, func() {
		if !to.coordinating {
			return
		}
		to.heartbeats[p.id], to.heardAt[p.id] = heartbeat, m.tick
		to.acked[p.id] = max(to.acked[p.id], heartbeat.KnownEpoch)
		member, _ := to.known.record.Member(p.id)
		epoch := to.known.record.Epoch
		m.send(to, p, func() {
			if leaseStart := time.Duration(member.GrantedNs); leaseStart > 0 {
				if leaseStart > p.rights.LeaseStart() {
					p.renewedAt = m.tick
				}
				p.rights.ObserveRenewal(epoch, leaseStart)
			}
		})
	})
}

func (m *model) coordinate(p *process) {
	record := p.known.record
	recordUpdate := RecordUpdate{Writer: p.id, Heartbeats: []BrokerHeartbeat{m.newHeartbeat(p)}, Acked: map[string]uint64{p.id: p.takeover.Epoch()}}
	m.addOtherDomain(&recordUpdate)
	_, member := record.Member(p.id)
	switch {
	case p.otherDomain && !member && !p.coordinating:
		return
	case p.leaving && !member:
		p.ended = true
		return
	case p.leaving && m.anyBusy(p):
		return
	case p.leaving:
		recordUpdate.Heartbeats, recordUpdate.Left = nil, []string{p.id}
	case p.known.version == 0:
		m.read(p)
	case !p.coordinating && m.tick < p.renewedAt+modelLease/2:
		return
	}
	if p.coordinating {
		recordUpdate.Fenced = p.takeover.Fenced(m.now(p))
		for id, epoch := range p.acked {
			recordUpdate.Acked[id] = max(recordUpdate.Acked[id], epoch)
		}
		for _, member := range record.Members {
			if member.ID != p.id && m.tick >= p.heardAt[member.ID]+modelRemovalDelay {
				recordUpdate.Lost = append(recordUpdate.Lost, member.ID)
			}
		}
		for id, h := range p.heartbeats {
			if !slices.Contains(recordUpdate.Lost, id) && m.tick < p.heardAt[id]+modelRemovalDelay {
				recordUpdate.Heartbeats = append(recordUpdate.Heartbeats, h)
			}
		}
		slices.SortFunc(recordUpdate.Heartbeats, func(a, b BrokerHeartbeat) int { return int(a.SentNs - b.SentNs) })
	}
	m.write(p, recordUpdate)
}

// requestConfirmations asks the confirmers to confirm the epoch that p knows, unless p has a
// lease of which less than half is over.
func (m *model) requestConfirmations(p *process) {
	if m.now(p) < p.rights.LeaseStart()+modelLease/2 {
		return
	}
	epoch, asked := p.known.record.Epoch, m.now(p)
	for _, id := range p.known.record.Confirmers {
		c := m.processByID(id)
		m.send(p, c, func() {
			if m.reachesPlatform(c) {
				m.read(c)
				return
			}
			if c.known.record.Epoch == epoch {
				m.send(c, p, func() { p.rights.ObserveConfirmation(epoch, c.id, asked) })
			}
		})
	}
}

// requestAcknowledgements asks the confirmers and the departed members to acknowledge the
// removals, if p is the coordinator. The replacement of an ended process answers for it.
func (m *model) requestAcknowledgements(p *process) {
	if !p.coordinating {
		return
	}
	known := p.known
	for _, d := range known.record.Departed {
		for _, id := range d.Asked() {
			c := m.processByID(id)
			if c.ended && known.record.Addresses[id] == c.address {
				c = m.replacement(c)
			}
			if c == p && id != p.id {
				p.acked[id] = max(p.acked[id], known.record.Epoch)
			}
			m.send(p, c, func() {
				m.receiveRecord(c, known)
				epoch := c.known.record.Epoch
				if c.id != id {
					epoch = known.record.Epoch
				}
				m.send(c, p, func() { p.acked[id] = max(p.acked[id], epoch) })
			})
		}
	}
}

// release ends p's work on searchers that have moved to another owner, possibly before the
// deadline of the work, and tells the next owner. At random it leaves a searcher for a later
// tick.
func (m *model) release(p *process) {
	record := p.known.record
	for _, s := range modelSearchers {
		to, ok := ReleaseTarget(&record, p.id, s)
		if p.leaving {
			remaining := slices.DeleteFunc(slices.Clone(record.Members), func(o control.Member) bool { return o.ID == p.id })
			to, ok = Owner(remaining, s)
		}
		if !ok || m.random.IntN(3) == 0 {
			continue
		}
		delete(p.dispatched, s)
		next := m.processByID(to.ID)
		m.send(p, next, func() {
			if next.takeover.Epoch() >= record.Epoch {
				next.takeover.ObserveRelease(p.id, record.Epoch, s)
			}
		})
	}
}

func (m *model) dispatch(p *process) {
	if p.leaving {
		return
	}
	for _, s := range modelSearchers {
		grant := NewGrant(p.rights.At(m.now(p)), p.takeover.Share(s, m.now(p)))
		if n := grant.Slots(m.limits); n > 0 {
			if p.dispatched[s] == nil {
				p.dispatched[s] = make(map[int]int)
			}
			p.dispatched[s][m.tick] = n
		}
	}
}

// busySlots returns how many slots of a searcher may be occupied by work of p. Dispatched
// work ends by its deadline, even if p is paused in between.
func (m *model) busySlots(p *process, s string) int {
	highest := 0
	for at, n := range p.dispatched[s] {
		if m.tick <= at+modelMaxDeadline {
			highest = max(highest, n)
		}
	}
	return highest
}

func (m *model) anyBusy(p *process) bool {
	return slices.ContainsFunc(modelSearchers, func(s string) bool { return m.busySlots(p, s) > 0 })
}

func (m *model) checkLimits(t *rapid.T) {
	for _, s := range modelSearchers {
		sum := 0
		detail := ""
		for _, p := range m.processes {
			if n := m.busySlots(p, s); n > 0 {
				sum += n
				detail += fmt.Sprintf(" %s=%d(right %d, epoch %d)", p.id, n, p.rights.At(m.now(p)), p.takeover.Epoch())
			}
		}
		if sum > m.limits.Slots {
			t.Fatalf("tick %d: %s has %d of %d slots in use:%s", m.tick, s, sum, m.limits.Slots, detail)
		}
	}
}
