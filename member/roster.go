package member

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/wisteriawharf/wisteriawharf/control"
)

// rosterDue says whether a coordinator has to make the roster. It is guarded by
// Member.mu.
type rosterDue struct {
	// changed is set if the roster may differ from the one offered last, urgent
	// if what changed is a suspicion or that a process leaves. Others send
	// traffic there until they know, so that it does not wait for the interval.
	changed, urgent bool
	// checked is the known roster that was found to be that of this coordinator.
	checked *control.Roster
	// offered is when a roster was last offered.
	offered time.Duration
}

// noteChange marks the roster for the next offer.
func (d *rosterDue) noteChange(urgent bool) {
	d.changed = true
	d.urgent = d.urgent || urgent
}

// due reports whether the roster has to be made now: at once after an urgent
// change, and at most once per interval after others or if another roster is
// known.
func (d *rosterDue) due(known *control.Roster, now, interval time.Duration) bool {
	return d.urgent || (d.changed || known == nil || known != d.checked) && (d.offered == 0 || now >= d.offered+interval)
}

// isRosterDue reports whether publishRoster has anything to do. The caller holds
// Member.mu.
func (m *membership) isRosterDue(view *control.View, now time.Duration) bool {
	return m.coordinating && m.due.due(view.Rosters[m.domain], now, m.config.Timing.Heartbeat)
}

// publishRoster offers the roster as the coordinator sees it, if it is due and
// differs from the one that is known.
func (m *membership) publishRoster() {
	m.rosterMu.Lock()
	defer m.rosterMu.Unlock()
	view := m.config.State.View()
	roster, ok := m.dueRoster(view)
	if !ok {
		return
	}
	value, err := json.Marshal(roster)
	if err != nil {
		m.config.Log.Error("roster not encoded", "error", err)
		return
	}
	name := control.PrefixRoster + m.domain
	known, _ := m.config.State.Item(name)
	record := view.Records[m.domain]
	m.offer([]control.Item{{Name: name, Major: max(known.Major, record.Epoch), Minor: known.Minor + 1, Value: value}})
}

// dueRoster returns the roster to offer. It reports false if none is due, or if
// the known one is equal.
func (m *membership) dueRoster(view *control.View) (control.Roster, bool) {
	now := m.config.Clock.Boottime()
	known := view.Rosters[m.domain]
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isRosterDue(view, now) {
		return control.Roster{}, false
	}
	roster := m.roster()
	m.due.changed, m.due.urgent = false, false
	if known != nil && reflect.DeepEqual(*known, roster) {
		m.due.checked = known
		return control.Roster{}, false
	}
	m.due.offered = now
	return roster, true
}

// roster returns the processes of the domain that were heard. The caller holds
// Member.mu.
func (m *membership) roster() control.Roster {
	roster := control.Roster{Coordinator: m.config.Self.ID}
	for id, h := range m.heard {
		if h.Domain != m.domain {
			// An adopter is in the roster of its own domain.
			continue
		}
		roster.Instances = append(roster.Instances, h.instance(m.detector.Suspected(id)))
	}
	slices.SortFunc(roster.Instances, func(a, b control.Instance) int { return strings.Compare(a.ID, b.ID) })
	return roster
}

// instance returns the sender as the roster lists it.
func (h heartbeat) instance(suspected bool) control.Instance {
	state := control.Live
	if h.Leaving {
		state = control.Leaving
	}
	if suspected {
		state = control.Suspected
	}
	return control.Instance{
		ID: h.ID, Role: control.Role(h.Role), FailureDomain: h.Domain,
		CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, OperatorAddress: h.OperatorAddress,
		State: state,
	}
}
