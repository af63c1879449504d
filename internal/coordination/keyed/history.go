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
		if g.Running && m.now.Sub(m.begun) <= m.options.Settle {
			// It settles when this gate does.
			held.changed = m.begun.Add(m.options.Settle - m.options.Retention)
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
func (m *Machine) notes(candidates []*member) []Note {
	notes := make([]Note, 0, len(candidates))
	for _, g := range candidates {
		n := Note{Gate: g.Gate, Changed: m.age(g.changed), LostMemory: m.age(g.lost)}
		if g.ID == m.options.Self.ID && g.changed.Equal(m.started) {
			// Others know better when this gate came to be in their tables.
			n.Changed = 0
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
func (m *Machine) takeNotes(notes []Note) {
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
		if at := m.now.Add(-n.LostMemory); n.LostMemory > 0 && at.After(held.lost) && !handedOver {
			held.lost = at
		}
		if at := m.now.Add(-n.Changed); n.Changed > 0 && at.After(held.changed) {
			held.changed = at
		}
	}
}

// introduce asks the running gates for their history after a start.
func (m *Machine) introduce() []Action {
	if m.introduced || m.begun.IsZero() || m.now.Sub(m.begun) < m.options.Settle {
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
		request := Request{Kind: Introduce, ToIncarnation: g.Incarnation, Notes: m.history()}
		actions = append(actions, Ask{To: id, Request: request})
	}
	m.introduced = complete
	slices.SortFunc(actions, func(a, b Action) int { return strings.Compare(a.(Ask).To, b.(Ask).To) })
	return actions
}

func (m *Machine) introducedBy(e Answered) []Action {
	if e.Answer.State != Recorded {
		delete(m.introductions, e.From)
		return nil
	}
	m.introductions[e.From] = true
	return m.introduce()
}

// history tells of the gates that changed or lost their memory within the
// retention, and of this one.
func (m *Machine) history() []Note {
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
