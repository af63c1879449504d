package keyed

import (
	"slices"
	"strings"
	"time"
)

func (m *Machine) setGates(gates []Gate) {
	if m.begun.IsZero() {
		m.begun = m.now
	}
	m.dropFormer()
	present := make(map[string]bool, len(gates))
	for _, g := range gates {
		present[g.ID] = true
		m.note(g)
	}
	for id, held := range m.members {
		if !present[id] && held.Running && id != m.options.Self.ID {
			gone := held.Gate
			gone.Running = false
			m.note(gone)
		}
	}
}

// note takes in what is known of a gate now.
func (m *Machine) note(g Gate) {
	if g.ID == m.options.Self.ID {
		return
	}
	held := m.members[g.ID]
	if held == nil {
		held = &member{Gate: g, changed: m.now}
		if g.Running && m.now.Sub(m.begun) <= m.options.StartupPeriod {
			// It settles when this gate does.
			held.changed = m.begun.Add(m.options.StartupPeriod - m.options.Retention)
		}
		m.members[g.ID] = held
		return
	}
	if g.Incarnation < held.Incarnation {
		return
	}
	if g.Incarnation > held.Incarnation {
		held.lost = m.now
	}
	if held.Running != g.Running {
		held.changed = m.now
	}
	held.Gate = g
}

// notes tells what is known of the candidates.
func (m *Machine) notes(candidates []*member) []GateHistory {
	notes := make([]GateHistory, 0, len(candidates))
	for _, g := range candidates {
		n := GateHistory{Gate: g.Gate, SinceMembershipChange: m.age(g.changed), SinceRestart: m.age(g.lost)}
		if g.ID == m.options.Self.ID && g.changed.Equal(m.started) {
			// Others know better when this gate came to be in their tables.
			n.SinceMembershipChange = 0
		}
		notes = append(notes, n)
	}
	return notes
}

func (m *Machine) age(at time.Time) time.Duration {
	if !m.recent(at) {
		return 0
	}
	return max(1, m.now.Sub(at))
}

// takeNotes merges another gate's history into this one's.
func (m *Machine) takeNotes(notes []GateHistory) {
	for _, n := range notes {
		held := m.members[n.Gate.ID]
		if held == nil {
			held = &member{Gate: n.Gate, changed: m.now}
			m.members[n.Gate.ID] = held
		}
		if n.Gate.Incarnation < held.Incarnation {
			// The other knows a former process.
			held.lost = m.now
		}
		if n.Gate.Incarnation > held.Incarnation && n.Gate.ID != m.options.Self.ID {
			held.Incarnation = n.Gate.Incarnation
			held.lost = m.now
		}
		handedOver := held.handedOver() && n.Gate.Incarnation == held.Incarnation
		if at := m.now.Add(-n.SinceRestart); n.SinceRestart > 0 && at.After(held.lost) && !handedOver {
			held.lost = at
		}
		if at := m.now.Add(-n.SinceMembershipChange); n.SinceMembershipChange > 0 && at.After(held.changed) {
			held.changed = at
		}
	}
}

// introduce asks the running gates for their history after a start.
func (m *Machine) introduce() []Action {
	if m.introduced || m.begun.IsZero() || m.now.Sub(m.begun) < m.options.StartupPeriod {
		return nil
	}
	var actions []Action
	complete := true
	for id, g := range m.members {
		if id == m.options.Self.ID || !g.Running || m.introductions[id] {
			continue
		}
		complete = false
		if _, asked := m.introductions[id]; asked {
			continue
		}
		m.introductions[id] = false
		request := Request{Kind: SyncHistory, ToIncarnation: g.Incarnation, History: m.history()}
		actions = append(actions, SendRequest{To: id, Request: request})
	}
	m.introduced = complete
	slices.SortFunc(actions, func(a, b Action) int { return strings.Compare(a.(SendRequest).To, b.(SendRequest).To) })
	return actions
}

func (m *Machine) introducedBy(e ResponseReceived) []Action {
	if e.Response.State != Recorded {
		delete(m.introductions, e.From)
		return nil
	}
	m.introductions[e.From] = true
	return m.introduce()
}

// history tells of the gates that changed or lost their memory within the
// retention, and of this one.
func (m *Machine) history() []GateHistory {
	var past []*member
	for _, g := range m.members {
		if m.recent(g.changed) || m.recent(g.lost) || g.ID == m.options.Self.ID {
			past = append(past, g)
		}
	}
	slices.SortFunc(past, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
	return m.notes(past)
}

// dropFormer forgets the gates that have been gone for the retention.
func (m *Machine) dropFormer() {
	for id, g := range m.members {
		if !g.Running && !m.recent(g.changed) && !m.recent(g.lost) {
			delete(m.members, id)
		}
	}
}
