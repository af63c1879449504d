package keyed

import (
	"slices"
	"strings"
	"time"
)

// setGates updates the members from the member table. A running member that is
// missing from the table has left.
func (m *Machine) setGates(gates []Gate) {
	if m.firstTableAt.IsZero() {
		m.firstTableAt = m.now
	}
	m.forgetDeparted()
	present := make(map[string]bool, len(gates))
	for _, g := range gates {
		present[g.ID] = true
		m.updateMember(g)
	}
	for id, known := range m.members {
		if !present[id] && known.Running && id != m.options.Self.ID {
			departed := known.Gate
			departed.Running = false
			m.updateMember(departed)
		}
	}
}

// updateMember applies a gate's current entry of the member table. An entry of an
// earlier incarnation is ignored.
func (m *Machine) updateMember(g Gate) {
	if g.ID == m.options.Self.ID {
		return
	}
	known := m.members[g.ID]
	if known == nil {
		known = &member{Gate: g, changedAt: m.now}
		if g.Running && m.now.Sub(m.firstTableAt) <= m.options.StartupPeriod {
			// Part of the first tables after this gate's start, so it is taken as
			// an established gate from the end of the startup period on.
			known.changedAt = m.firstTableAt.Add(m.options.StartupPeriod - m.options.Retention)
		}
		m.members[g.ID] = known
		return
	}
	if g.Incarnation < known.Incarnation {
		return
	}
	if g.Incarnation > known.Incarnation {
		known.restartedAt = m.now
	}
	if known.Running != g.Running {
		known.changedAt = m.now
	}
	known.Gate = g
}

// historyOf returns the history of the gates, in the same order.
func (m *Machine) historyOf(gates []*member) []GateHistory {
	history := make([]GateHistory, 0, len(gates))
	for _, g := range gates {
		h := GateHistory{Gate: g.Gate, SinceMembershipChange: m.age(g.changedAt), SinceRestart: m.age(g.restartedAt)}
		if g.ID == m.options.Self.ID && g.changedAt.Equal(m.startedAt) {
			// The start of this process need not be when the gate joined: it may have
			// restarted while other gates' tables listed it as running. Other gates know
			// when it joined their tables.
			h.SinceMembershipChange = 0
		}
		history = append(history, h)
	}
	return history
}

// age returns the time since at, at least 1 ns, or 0 if that is longer than the
// retention.
func (m *Machine) age(at time.Time) time.Duration {
	if !m.withinRetention(at) {
		return 0
	}
	return max(1, m.now.Sub(at))
}

// mergeHistory merges the history that another gate sent into the members. Of each
// gate's joins and leaves the latest known one is kept, and likewise of its restarts.
// A restart is ignored if the incarnation that it started has handed its claims over
// to this gate. A gate that is not yet a member counts as having joined now.
func (m *Machine) mergeHistory(history []GateHistory) {
	for _, h := range history {
		known := m.members[h.Gate.ID]
		if known == nil {
			known = &member{Gate: h.Gate, changedAt: m.now}
			m.members[h.Gate.ID] = known
		}
		if h.Gate.Incarnation < known.Incarnation {
			// The sender knows an earlier incarnation, so the gate has restarted.
			known.restartedAt = m.now
		}
		if h.Gate.Incarnation > known.Incarnation && h.Gate.ID != m.options.Self.ID {
			known.Incarnation = h.Gate.Incarnation
			known.restartedAt = m.now
		}
		handedOver := known.handedOver() && h.Gate.Incarnation == known.Incarnation
		if at := m.now.Add(-h.SinceRestart); h.SinceRestart > 0 && at.After(known.restartedAt) && !handedOver {
			known.restartedAt = at
		}
		if at := m.now.Add(-h.SinceMembershipChange); h.SinceMembershipChange > 0 && at.After(known.changedAt) {
			known.changedAt = at
		}
	}
}

// syncHistory asks the running gates that it has not asked yet for the gate histories
// that they know, once the startup period is over. It sets historySynced when every
// running gate has responded.
func (m *Machine) syncHistory() []Action {
	if m.historySynced || m.firstTableAt.IsZero() || m.now.Sub(m.firstTableAt) < m.options.StartupPeriod {
		return nil
	}
	var actions []Action
	complete := true
	for id, g := range m.members {
		if id == m.options.Self.ID || !g.Running || m.historyRequests[id] {
			continue
		}
		complete = false
		if _, pending := m.historyRequests[id]; pending {
			continue
		}
		m.historyRequests[id] = false
		request := Request{Kind: SyncHistory, ToIncarnation: g.Incarnation, History: m.history()}
		actions = append(actions, SendRequest{To: id, Request: request})
	}
	m.historySynced = complete
	slices.SortFunc(actions, func(a, b Action) int { return strings.Compare(a.(SendRequest).To, b.(SendRequest).To) })
	return actions
}

func (m *Machine) handleSyncHistoryResponse(e ResponseReceived) []Action {
	if e.Response.State != Recorded {
		delete(m.historyRequests, e.From)
		return nil
	}
	m.historyRequests[e.From] = true
	return m.syncHistory()
}

// history returns the history of this gate and of those that joined, left or
// restarted within the retention.
func (m *Machine) history() []GateHistory {
	var recent []*member
	for _, g := range m.members {
		if m.withinRetention(g.changedAt) || m.withinRetention(g.restartedAt) || g.ID == m.options.Self.ID {
			recent = append(recent, g)
		}
	}
	slices.SortFunc(recent, func(a, b *member) int { return strings.Compare(a.ID, b.ID) })
	return m.historyOf(recent)
}

// forgetDeparted removes the gates that are not running and neither joined, left
// nor restarted within the retention.
func (m *Machine) forgetDeparted() {
	for id, g := range m.members {
		if !g.Running && !m.withinRetention(g.changedAt) && !m.withinRetention(g.restartedAt) {
			delete(m.members, id)
		}
	}
}
