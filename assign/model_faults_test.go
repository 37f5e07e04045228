package assign

import (
	"testing"

	"pgregory.net/rapid"
)

// applyEvent applies an event to the links, the processes or the platform, or none if the
// number stands for no event. Most events last until a later event undoes them. This leaves
// time for a right to end, which takes as long as a lease.
func (m *model) applyEvent(event int) {
	p := m.processes[m.random.IntN(len(m.processes))]
	o := m.processes[m.random.IntN(len(m.processes))]
	switch event {
	case 1, 2:
		m.cutLinks[linkKey(p.id, o.id)] = !m.cutLinks[linkKey(p.id, o.id)]
	case 3:
		// The group of p and o is cut off from all others.
		for _, a := range m.processes {
			for _, b := range m.processes {
				if a == p || a == o {
					m.cutLinks[linkKey(a.id, b.id)] = b != p && b != o
				}
			}
		}
	case 4:
		m.cutLinks = make(map[[2]string]bool)
	case 5:
		m.outage = !m.outage
	case 6, 7:
		p.platformCut = !p.platformCut
	case 8:
		p.pausedUntil = m.tick + m.random.IntN(25)
	case 9:
		m.loseReplies = !m.loseReplies
	case 10:
		m.staleReads = !m.staleReads
	case 11:
		if len(m.processes) < modelProcessBase+2 {
			m.startProcess(false, "")
		}
	case 12:
		if !p.otherDomain {
			p.leaving = true
		}
	case 13:
		if !p.otherDomain {
			p.ended = true
		}
	case 14:
		m.isolateRandomGroup()
	case 15:
		m.endDomain()
	case 16:
		p.ended = true
	case 17:
		if p.ended && m.replacement(p) == nil && len(m.processes) < modelProcessBase+6 {
			m.startProcess(p.otherDomain, p.address)
		}
	}
}

// endDomain ends all brokers of the record's domain.
func (m *model) endDomain() {
	for _, p := range m.processes {
		p.ended = p.ended || !p.otherDomain
	}
}

// isolateRandomGroup cuts a random group of processes off from the others and from the
// platform. The group stays connected within, so its members may confirm an old epoch to
// each other.
func (m *model) isolateRandomGroup() {
	inside := make(map[*process]bool)
	for _, p := range m.processes {
		inside[p] = m.random.IntN(2) == 0
		p.platformCut = inside[p]
	}
	for _, a := range m.processes {
		for _, b := range m.processes {
			m.cutLinks[linkKey(a.id, b.id)] = inside[a] != inside[b]
		}
	}
}

// run advances the model until done reports true or the given tick is reached. It calls
// beforeTick at the start of each tick and checks the limits at its end.
func (m *model) run(t *rapid.T, end int, beforeTick func(), done func() bool) {
	for ; m.tick < end && !done(); m.tick++ {
		beforeTick()
		m.deliver()
		for _, p := range m.processes {
			m.step(p)
		}
		m.deliver()
		m.checkLimits(t)
	}
}

// TestLimitsHoldInModel guards against brokers that together exceed the limits of a searcher
// when messages are lost or late, links are cut, the platform fails, or processes are paused,
// ended or replaced.
func TestLimitsHoldInModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"))
		maxEvent := rapid.IntRange(18, 120).Draw(t, "maxEvent")
		m.run(t, modelTicks, func() {
			if m.tick > 10 {
				m.applyEvent(rapid.IntRange(0, maxEvent).Draw(t, "event"))
			}
		}, func() bool { return false })
	})
}

// countFullyUsed counts the searchers whose full limits were used in the previous tick. It
// considers running processes of the other domain if otherDomain is true, and those of the
// record's own domain otherwise.
func (m *model) countFullyUsed(otherDomain bool) int {
	n := 0
	for _, p := range m.processes {
		for _, s := range modelSearchers {
			if !p.ended && p.otherDomain == otherDomain && p.dispatched[s][m.tick-1] == m.limits.Slots {
				n++
			}
		}
	}
	return n
}

// TestAdoptionEndsInModel guards against searchers that stay without an owner after all
// brokers of their domain have ended together, and against adopters that keep the searchers
// after a broker of the domain has come back.
//
// With seed 0x34af, a departed broker of the adopting domain became the coordinator of the
// record and removed all members, although it could not join the record itself.
func TestAdoptionEndsInModel(t *testing.T) {
	seeds := rapid.OneOf(rapid.Just(uint64(0x34af)), rapid.Uint64())
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(seeds.Draw(t, "seed"))
		m.runUntilFullyUsed(t, false)
		m.endDomain()
		m.runUntilFullyUsed(t, true)
		m.startProcess(false, "")
		m.runUntilFullyUsed(t, false)
	})
}

// runUntilFullyUsed runs the model until countFullyUsed finds that the full limits of all
// searchers are used. It fails the test if that takes longer than modelTicks.
func (m *model) runUntilFullyUsed(t *rapid.T, otherDomain bool) {
	m.run(t, m.tick+modelTicks, func() {}, func() bool { return m.countFullyUsed(otherDomain) == len(modelSearchers) })
	if n := m.countFullyUsed(otherDomain); n != len(modelSearchers) {
		t.Fatalf("tick %d: %d of %d searchers in use, by adopters: %t", m.tick, n, len(modelSearchers), otherDomain)
	}
}

// TestSearchersOwnedAfterFullRestartInModel guards against searchers that stay without an
// owner after all processes have ended at once and been restarted. No former process is left
// that could acknowledge the removal of the former owners.
func TestSearchersOwnedAfterFullRestartInModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"))
		m.runUntilFullyUsed(t, false)
		formerProcesses := m.processes
		for _, p := range formerProcesses {
			p.ended = true
		}
		for _, p := range formerProcesses {
			m.startProcess(p.otherDomain, p.address)
		}
		m.runUntilFullyUsed(t, false)
	})
}
