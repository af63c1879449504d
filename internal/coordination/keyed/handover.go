package keyed

import (
	"slices"
	"strings"
)

// handOverBatch is how many claims one HandOver holds; with keys of the usual
// size it stays far below the bound of a message.
const handOverBatch = 1000

// handingOver is the sending of this gate's claims before it ends.
type handingOver struct {
	begun bool
	done  bool
	// claims are in the order in which they are sent.
	claims []HandedClaim
	// sent counts the claims that each gate acknowledged; a gate that has all of
	// them, or cannot be reached, is no longer in it.
	sent map[string]int
}

// leave hands all known claims to every running gate. From now on this gate
// records no further claim, so that none is missing from what it hands over.
func (m *Machine) leave() []Action {
	h := &m.handingOver
	if h.begun {
		return nil
	}
	h.begun = true
	h.sent = make(map[string]int)
	for key, held := range m.claims {
		handed := HandedClaim{Key: key, ClaimID: held.holder, Age: m.now.Sub(held.at)}
		if held.contested {
			handed.ClaimID = ClaimID{}
		}
		h.claims = append(h.claims, handed)
	}
	slices.SortFunc(h.claims, func(a, b HandedClaim) int { return strings.Compare(a.Key, b.Key) })
	var gates []string
	for id, g := range m.members {
		if g.Running && id != m.options.Self.ID {
			gates = append(gates, id)
			h.sent[id] = 0
		}
	}
	slices.Sort(gates)
	var actions []Action
	for _, id := range gates {
		actions = append(actions, m.handOver(id))
	}
	return append(actions, m.handOverDone()...)
}

// handOver sends the next part of the claims to the gate.
func (m *Machine) handOver(id string) Action {
	from := m.handingOver.sent[id]
	to := min(from+handOverBatch, len(m.handingOver.claims))
	return SendRequest{To: id, Request: Request{
		Kind:          HandOver,
		ClaimID:       ClaimID{Gate: m.options.Self.ID, Incarnation: m.options.Self.Incarnation},
		ToIncarnation: m.members[id].Incarnation,
		Claims:        m.handingOver.claims[from:to],
		Last:          to == len(m.handingOver.claims) && m.remembersAll(),
	}}
}

// remembersAll reports whether this gate knows every claim that was recorded
// here within the retention, also by its former processes.
func (m *Machine) remembersAll() bool {
	return m.introduced && !m.recent(m.members[m.options.Self.ID].lost)
}

func (m *Machine) handOverAnswered(e ResponseReceived) []Action {
	sent, waits := m.handingOver.sent[e.From]
	if !waits {
		return nil
	}
	sent += handOverBatch
	if e.Response.State != Recorded || sent >= len(m.handingOver.claims) {
		return m.handOverEnded(e.From)
	}
	m.handingOver.sent[e.From] = sent
	return []Action{m.handOver(e.From)}
}

// handOverEnded goes on without the gate. One that did not get all claims counts
// this gate as one that lost its memory.
func (m *Machine) handOverEnded(id string) []Action {
	delete(m.handingOver.sent, id)
	return m.handOverDone()
}

func (m *Machine) handOverDone() []Action {
	if m.handingOver.done || len(m.handingOver.sent) > 0 {
		return nil
	}
	m.handingOver.done = true
	return []Action{HandedOver{}}
}

// takeHandOver keeps the claims of a gate that leaves. With the last of them the
// gate is no candidate here any more: a claim that it recorded is met here, and
// one that it did not record has its majority among the other candidates.
func (m *Machine) takeHandOver(r Request) {
	for _, handed := range r.Claims {
		m.takeHanded(handed)
	}
	g := m.members[r.ClaimID.Gate]
	if r.Last && g != nil && g.Incarnation == r.ClaimID.Incarnation {
		g.handed = g.Incarnation
	}
}

func (m *Machine) takeHanded(handed HandedClaim) {
	at := m.now.Add(-handed.Age)
	held, known := m.claims[handed.Key]
	if !m.recent(at) || known && held.holder == handed.ClaimID && !held.at.Before(at) {
		return
	}
	taken := claim{holder: handed.ClaimID, at: at, contested: handed.ClaimID == ClaimID{}}
	if known && m.recent(held.at) && held.holder != handed.ClaimID {
		taken.contested = true
		if held.at.After(at) {
			taken.at = held.at
		}
	}
	m.claims[handed.Key] = taken
	m.expiries = append(m.expiries, expiry{key: handed.Key, at: taken.at})
}

// handedOver reports whether all that the gate and its former processes knew was
// handed to this gate. A later process of the gate is not covered.
func (g *member) handedOver() bool { return g.handed != 0 && g.handed == g.Incarnation }
