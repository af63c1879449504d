package keyed

import (
	"slices"
	"strings"
)

// handOverBatch is the most claims in one HandOver. With keys of the usual size
// such a message is far below the maximum message size.
const handOverBatch = 1000

// handOverState is the progress of handing over this gate's claims before it
// stops.
type handOverState struct {
	started bool
	done    bool
	// claims are in the order in which they are sent.
	claims []HandedClaim
	// acknowledged is the number of claims that each gate has acknowledged. A gate
	// that has all of them, declined or cannot be reached is removed.
	acknowledged map[string]int
}

// leave hands all known claims over to every running gate. From now on this gate
// makes no claims and declines Record requests. Claims that another draining gate
// hands over to it later are not passed on: that gate sends them to every running gate
// itself.
func (m *Machine) leave() []Action {
	h := &m.handOver
	if h.started {
		return nil
	}
	h.started = true
	h.acknowledged = make(map[string]int)
	for key, recorded := range m.claims {
		handed := HandedClaim{Key: key, ClaimID: recorded.id, Age: m.now.Sub(recorded.recordedAt)}
		if recorded.contested {
			handed.ClaimID = ClaimID{}
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

// sendHandOver sends the next batch of claims to the gate.
func (m *Machine) sendHandOver(id string) Action {
	from := m.handOver.acknowledged[id]
	to := min(from+handOverBatch, len(m.handOver.claims))
	return SendRequest{To: id, Request: Request{
		Kind:          HandOver,
		ClaimID:       ClaimID{Gate: m.options.Self.ID, Incarnation: m.options.Self.Incarnation},
		ToIncarnation: m.members[id].Incarnation,
		Claims:        m.handOver.claims[from:to],
		Last:          to == len(m.handOver.claims) && m.hasAllClaims(),
	}}
}

// hasAllClaims reports whether this gate has every claim that was recorded at it
// within the retention. If it restarted within the retention, as other gates report
// in their histories, it has not: the claims of its earlier incarnation are lost.
func (m *Machine) hasAllClaims() bool {
	return m.historySynced && !m.withinRetention(m.members[m.options.Self.ID].restartedAt)
}

func (m *Machine) handleHandOverResponse(e ResponseReceived) []Action {
	acknowledged, pending := m.handOver.acknowledged[e.From]
	if !pending {
		return nil
	}
	acknowledged += handOverBatch
	if e.Response.State != Recorded || acknowledged >= len(m.handOver.claims) {
		return m.endHandOverTo(e.From)
	}
	m.handOver.acknowledged[e.From] = acknowledged
	return []Action{m.sendHandOver(e.From)}
}

// endHandOverTo ends the handover to one gate. A gate that has not received all
// claims treats this gate as one whose claims are lost.
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

// mergeHandOver records the claims of a draining gate. Once this gate has all of them,
// it no longer counts the draining gate as a candidate: a claim that the draining gate
// had recorded is now recorded here too, and any other claim reached its majority
// without that gate.
func (m *Machine) mergeHandOver(r Request) {
	for _, handed := range r.Claims {
		m.mergeHandedClaim(handed)
	}
	g := m.members[r.ClaimID.Gate]
	if r.Last && g != nil && g.Incarnation == r.ClaimID.Incarnation {
		g.handedOverIncarnation = g.Incarnation
	}
}

// mergeHandedClaim records a handed-over claim. If a different claim on the key is
// already recorded, the result is contested and expires with the later of the two. The
// same claim with a later time replaces the recorded one, even a contested one.
func (m *Machine) mergeHandedClaim(handed HandedClaim) {
	recordedAt := m.now.Add(-handed.Age)
	existing, known := m.claims[handed.Key]
	if !m.withinRetention(recordedAt) || known && existing.id == handed.ClaimID && !existing.recordedAt.Before(recordedAt) {
		return
	}
	merged := claim{id: handed.ClaimID, recordedAt: recordedAt, contested: handed.ClaimID == ClaimID{}}
	if known && m.withinRetention(existing.recordedAt) && existing.id != handed.ClaimID {
		merged.contested = true
		if existing.recordedAt.After(recordedAt) {
			merged.recordedAt = existing.recordedAt
		}
	}
	m.claims[handed.Key] = merged
	m.expiries = append(m.expiries, expiry{key: handed.Key, recordedAt: merged.recordedAt})
}

// handedOver reports whether the current incarnation of g has handed all claims that
// were recorded at g over to this machine's gate. It becomes false when a later
// incarnation of g is known.
func (g *member) handedOver() bool {
	return g.handedOverIncarnation != 0 && g.handedOverIncarnation == g.Incarnation
}
