package member

import (
	"time"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/detect"
	"github.com/wisteriawharf/wisteriawharf/peer"
)

// membership is the part that a process takes in the record of one failure
// domain: its own, or one whose searchers it adopted. Its fields are guarded by
// Member.mu.
type membership struct {
	*Member
	domain string
	// wakeRelease is signalled after changes of the state.
	wakeRelease chan struct{}

	rights   *assign.RightTracker
	takeover *assign.TakeoverTracker
	// renewed is when the domain's record or this process's lease was last seen
	// to be renewed.
	renewed  time.Duration
	renewal  uint64
	version  uint64
	detector *detect.Detector
	// heard holds the last heartbeat of each process, while this one coordinates.
	heard        map[string]heartbeat
	acked        map[string]uint64
	coordinating bool
	due          rosterDue
	// given holds searchers that were drained on leaving.
	given map[string]bool
	// handed holds releases that were accepted, with the epoch at which the
	// receiver had joined.
	handed map[handover]uint64
	used   map[string]bool
	// settled is the state for which every release was accepted.
	settled settlement
	// gone is set once this process dispatches nothing any more, left once the
	// coordinator has said that its record names this process no more.
	gone bool
	left bool
}

// heartbeat is one received heartbeat with the time of its arrival.
type heartbeat struct {
	peer.Heartbeat
	at time.Duration
}

func newMembership(m *Member, domain string) *membership {
	t := m.config.Timing
	terms := assign.LeaseTiming{Lease: t.Lease, MaxDeadline: t.Work}
	return &membership{
		Member:      m,
		domain:      domain,
		wakeRelease: make(chan struct{}, 1),
		rights:      assign.NewRightTracker(m.config.Self.ID, terms),
		takeover:    assign.NewTakeoverTracker(m.config.Self.ID, terms),
		renewed:     m.config.Clock.Boottime(),
		detector:    detect.New(detect.Timing{ProbeAfter: t.Silence, SuspicionTimeout: t.Removal, HeartbeatTimeout: t.Lease}),
		heard:       make(map[string]heartbeat),
		acked:       make(map[string]uint64),
		given:       make(map[string]bool),
		handed:      make(map[handover]uint64),
		used:        make(map[string]bool),
	}
}

// adopted reports whether the record is that of another failure domain.
func (m *membership) adopted() bool { return m.domain != m.config.Self.FailureDomain }

// foreign returns the failure domain of a broker as the record names it: empty
// for the record's own.
func (m *membership) foreign(domain string) string {
	if domain == m.domain {
		return ""
	}
	return domain
}

// record returns the newest known record of the failure domain and the
// version of its object; nil if none is known.
func (m *membership) record() (*control.Record, uint64) {
	// The item may be newer than the view read before it, which makes the
	// conditional update fail, so it is read first.
	item, _ := m.config.State.Item(control.PrefixDomain + m.domain)
	return m.config.State.View().Records[m.domain], item.Minor
}

// observeRecord brings rights and takeover up to the newest known record.
func (m *membership) observeRecord() {
	now := m.config.Clock.Boottime()
	m.mu.Lock()
	record, version := m.record()
	if record != nil && version >= m.version {
		m.version = version
		m.rights.Observe(record)
		m.takeover.Observe(record, now)
		if record.Renewal > m.renewal {
			m.renewal, m.renewed = record.Renewal, now
		}
		m.mayAdoptAgain(record)
		m.setCoordinating(record.Coordinator == m.config.Self.ID, now)
	}
	m.mu.Unlock()
}

// setCoordinating starts the duties of a coordinator with no member suspected:
// one that has just begun has not had time to hear the others.
func (m *membership) setCoordinating(coordinating bool, now time.Duration) {
	if coordinating == m.coordinating {
		return
	}
	m.coordinating = coordinating
	t := m.config.Timing
	m.detector = detect.New(detect.Timing{ProbeAfter: t.Silence, SuspicionTimeout: t.Removal, HeartbeatTimeout: t.Lease})
	m.heard = make(map[string]heartbeat)
	m.due = rosterDue{changed: true}
	m.followRoster(now)
	m.config.Log.Info("coordinator changed", "domain", m.domain, "self", coordinating)
}

// followRoster keeps the processes of the former coordinator's roster listed
// until they are heard or found lost. What is known of them renews no lease.
func (m *membership) followRoster(now time.Duration) {
	roster := m.config.State.View().Rosters[m.domain]
	if !m.coordinating || roster == nil {
		return
	}
	for _, i := range roster.Instances {
		m.heard[i.ID] = heartbeat{at: now - m.config.Timing.Removal, Heartbeat: peer.Heartbeat{
			ID: i.ID, Role: string(i.Role), Domain: i.FailureDomain,
			PeerAddress: i.PeerAddress, CallerAddress: i.CallerAddress, OperatorAddress: i.OperatorAddress,
			Leaving: i.State == control.Leaving,
		}}
		m.detector.Track(i.ID, now)
	}
}

func (m *membership) isCoordinating() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.coordinating
}
