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
	// that has all of them, or cannot be reached, is removed.
	acknowledged map[string]int
}

// leave hands all known claims over to every running gate. This gate records no
// further claims, so the handover is complete.
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

// hasAllClaims reports whether this gate has every claim that was recorded here
// within the retention, including those recorded by its earlier incarnations.
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

// mergeHandOver records the claims of a draining gate. Once it has all of them, this
// gate no longer counts the draining gate as a candidate: claims recorded there are
// now recorded here, and any other claim has its majority among the other
// candidates.
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
// already recorded, the result is contested and expires with the later of the two.
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

// handedOver reports whether this gate has received all claims known to the other
// gate's current incarnation and the earlier ones. This does not hold for a later
// incarnation.
func (g *member) handedOver() bool {
	return g.handedOverIncarnation != 0 && g.handedOverIncarnation == g.Incarnation
}
