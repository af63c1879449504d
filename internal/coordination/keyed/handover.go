package keyed

import (
	"slices"
	"strings"
)

// handOverBatch is how many claims one HandOver holds; with keys of the usual
// size it stays far below the bound of a message.
const handOverBatch = 1000

// handOverState is the sending of this gate's claims before it ends.
type handOverState struct {
	started bool
	done    bool
	// claims are in the order in which they are sent.
	claims []HandedClaim
	// acknowledged counts the claims that each gate acknowledged; a gate that has all of
	// them, or cannot be reached, is no longer in it.
	acknowledged map[string]int
}

// leave hands all known claims to every running gate. From now on this gate
// records no further claim, so that none is missing from what it hands over.
func (m *Machine) leave() []Action {
	h := &m.handOver
	if h.started {
		return nil
	}
	h.started = true
	h.acknowledged = make(map[string]int)
	for key, recorded := range m.claims {
		handed := HandedClaim{Key: key, Holder: recorded.id, Age: m.now.Sub(recorded.recordedAt)}
		if recorded.contested {
			handed.Holder = Holder{}
		}
		h.claims = append(h.claims, handed)
	}
	slices.SortFunc(h.claims, func(a, b HandedClaim) int { return strings.Compare(a.Key, b.Key) })
	var gates []string
	for id, g := range m.members {
		if g.Running && id != m.options.Self.ID {
			gates = append(gates, id)
			h.acknowledged[id] = 0
		}
	}
	slices.Sort(gates)
	var actions []Action
	for _, id := range gates {
		actions = append(actions, m.sendHandOver(id))
	}
	return append(actions, m.finishHandOver()...)
}

// sendHandOver sends the next part of the claims to the gate.
func (m *Machine) sendHandOver(id string) Action {
	from := m.handOver.acknowledged[id]
	to := min(from+handOverBatch, len(m.handOver.claims))
	return Ask{To: id, Request: Request{
		Kind:          HandOver,
		Holder:        Holder{Gate: m.options.Self.ID, Incarnation: m.options.Self.Incarnation},
		ToIncarnation: m.members[id].Incarnation,
		Handed:        m.handOver.claims[from:to],
		Last:          to == len(m.handOver.claims) && m.hasAllClaims(),
	}}
}

// hasAllClaims reports whether this gate knows every claim that was recorded
// here within the retention, also by its former processes.
func (m *Machine) hasAllClaims() bool {
	return m.historySynced && !m.withinRetention(m.members[m.options.Self.ID].restartedAt)
}

func (m *Machine) handleHandOverResponse(e Answered) []Action {
	acknowledged, pending := m.handOver.acknowledged[e.From]
	if !pending {
		return nil
	}
	acknowledged += handOverBatch
	if e.Answer.State != Recorded || acknowledged >= len(m.handOver.claims) {
		return m.endHandOverTo(e.From)
	}
	m.handOver.acknowledged[e.From] = acknowledged
	return []Action{m.sendHandOver(e.From)}
}

// endHandOverTo goes on without the gate. One that did not get all claims counts
// this gate as one that lost its memory.
func (m *Machine) endHandOverTo(id string) []Action {
	delete(m.handOver.acknowledged, id)
	return m.finishHandOver()
}

func (m *Machine) finishHandOver() []Action {
	if m.handOver.done || len(m.handOver.acknowledged) > 0 {
		return nil
	}
	m.handOver.done = true
	return []Action{HandedOver{}}
}

// mergeHandOver keeps the claims of a gate that leaves. With the last of them the
// gate is no candidate here any more: a claim that it recorded is met here, and
// one that it did not record has its majority among the other candidates.
func (m *Machine) mergeHandOver(r Request) {
	for _, handed := range r.Handed {
		m.mergeHandedClaim(handed)
	}
	g := m.members[r.Holder.Gate]
	if r.Last && g != nil && g.Incarnation == r.Holder.Incarnation {
		g.handedOverIncarnation = g.Incarnation
	}
}

func (m *Machine) mergeHandedClaim(handed HandedClaim) {
	recordedAt := m.now.Add(-handed.Age)
	existing, known := m.claims[handed.Key]
	if !m.withinRetention(recordedAt) || known && existing.id == handed.Holder && !existing.recordedAt.Before(recordedAt) {
		return
	}
	merged := claim{id: handed.Holder, recordedAt: recordedAt, contested: handed.Holder == Holder{}}
	if known && m.withinRetention(existing.recordedAt) && existing.id != handed.Holder {
		merged.contested = true
		if existing.recordedAt.After(recordedAt) {
			merged.recordedAt = existing.recordedAt
		}
	}
	m.claims[handed.Key] = merged
	m.expiries = append(m.expiries, expiry{key: handed.Key, recordedAt: merged.recordedAt})
}

// handedOver reports whether all that the gate and its former processes knew was
// handed to this gate. A later process of the gate is not covered.
func (g *member) handedOver() bool {
	return g.handedOverIncarnation != 0 && g.handedOverIncarnation == g.Incarnation
}
