package keyed

import "jasminegate/internal/coordination/call"

func (m *Machine) answered(e ResponseReceived) []Action {
	m.takeNotes(e.Response.History)
	switch e.Kind {
	case HandOver:
		return m.handOverAnswered(e)
	case SyncHistory:
		return m.introducedBy(e)
	}
	a := m.attempts[e.Serial]
	if a == nil || !a.outstanding[e.From] {
		return nil
	}
	confirms := a.confirming != (ClaimID{})
	if confirms != (e.Kind == Confirm) {
		return nil
	}
	delete(a.outstanding, e.From)
	switch e.Response.State {
	case Recorded:
		a.recorded[e.From] = true
	case Held:
		if confirms {
			return m.refuse(a, call.ReasonKeyClaimed)
		}
		return m.inTheWay(a, e.Response.ClaimID)
	case NotHeld:
		return m.dismissed(a)
	default:
		if confirms {
			return m.refuse(a, call.ReasonKeyClaimed)
		}
		a.recorded[e.From] = false
	}
	return m.pursue(a)
}

func (m *Machine) missed(e RequestFailed) []Action {
	switch e.Kind {
	case HandOver:
		return m.handOverEnded(e.From)
	case SyncHistory:
		delete(m.introductions, e.From)
		return nil
	}
	a := m.attempts[e.Serial]
	if a == nil || !a.outstanding[e.From] {
		return nil
	}
	delete(a.outstanding, e.From)
	if a.confirming != (ClaimID{}) {
		return m.refuse(a, call.ReasonKeyClaimed)
	}
	if a.unheard[e.From] {
		a.recorded[e.From] = false
	}
	a.unheard[e.From] = true
	return m.pursue(a)
}

// inTheWay asks the claimant of another claim whether it still holds it. Only
// the claimant's own word, in the same incarnation, frees the key.
func (m *Machine) inTheWay(a *attempt, holder ClaimID) []Action {
	g := m.members[holder.Gate]
	gone := g == nil || !g.Running || g.Incarnation != holder.Incarnation
	if gone || a.dismissed[holder] || m.mine(holder) {
		return m.refuse(a, call.ReasonKeyClaimed)
	}
	a.confirming = holder
	a.outstanding = map[string]bool{holder.Gate: true}
	request := Request{Kind: Confirm, Key: a.key, ClaimID: holder, ToIncarnation: holder.Incarnation}
	return []Action{SendRequest{Serial: a.holder.Serial, To: holder.Gate, Request: request}}
}

// dismissed goes on with the claim out of the way.
func (m *Machine) dismissed(a *attempt) []Action {
	a.gone = a.confirming
	a.confirming = ClaimID{}
	a.dismissed[a.gone] = true
	held, ok := m.claims[a.key]
	if ok && (held.contested || held.holder != a.gone && held.holder != a.holder) {
		return m.refuse(a, call.ReasonKeyClaimed)
	}
	m.hold(a.key, a.holder)
	a.recorded[m.options.Self.ID] = true
	return m.pursue(a)
}

func (m *Machine) refuse(a *attempt, reason call.Reason) []Action {
	return m.finish(a, Refused{Outcome: call.Unknown, Reason: reason})
}

// uncertain refuses the attempt, telling what is known of the candidates.
func (m *Machine) uncertain(a *attempt, candidates []*member) []Action {
	refused := Refused{Outcome: call.Unknown, Reason: call.ReasonKeyUncertain}
	for i, n := range m.notes(candidates) {
		id := candidates[i].ID
		refused.Candidates = append(refused.Candidates, Candidate{GateHistory: n, Recorded: a.recorded[id], NoResponse: a.unheard[id]})
	}
	return m.finish(a, refused)
}

// finish tells all calls that wait for the attempt. The first one admitted is
// the one that may start.
func (m *Machine) finish(a *attempt, verdict Action) []Action {
	delete(m.attempts, a.holder.Serial)
	delete(m.byKey, a.key)
	var actions []Action
	if _, refused := verdict.(Refused); refused {
		actions = m.withdraw(a.key, a.holder)
	}
	for i, token := range a.tokens {
		switch v := verdict.(type) {
		case Admitted:
			actions = append(actions, Admitted{Token: token, Serial: a.holder.Serial, ReplayOnly: i > 0})
		case Refused:
			v.Token = token
			actions = append(actions, v)
		}
	}
	return actions
}

// release gives up the claim of a call that was not run.
func (m *Machine) release(e Release) []Action {
	held, ok := m.claims[e.Key]
	if !ok || !m.mine(held.holder) || held.holder.Serial != e.Serial {
		return nil
	}
	return m.withdraw(e.Key, held.holder)
}

func (m *Machine) withdraw(key string, holder ClaimID) []Action {
	m.drop(key, holder)
	var actions []Action
	for _, g := range m.candidates(key) {
		if g.Running && g.ID != m.options.Self.ID {
			request := Request{Kind: Withdraw, Key: key, ClaimID: holder, ToIncarnation: g.Incarnation}
			actions = append(actions, SendRequest{To: g.ID, Request: request})
		}
	}
	return actions
}

// answer serves another gate's question.
func (m *Machine) answer(r Request) Response {
	if r.ToIncarnation != m.options.Self.Incarnation {
		return Response{State: Declined}
	}
	m.takeNotes(r.History)
	held, ok := m.claims[r.Key]
	switch r.Kind {
	case Withdraw:
		m.drop(r.Key, r.ClaimID)
		return Response{State: NotHeld}
	case SyncHistory:
		return Response{State: Recorded, History: m.history()}
	case HandOver:
		m.takeHandOver(r)
		return Response{State: Recorded}
	case Confirm:
		if m.attempts[r.ClaimID.Serial] != nil || ok && (held.contested || held.holder == r.ClaimID) {
			return Response{State: Held, ClaimID: r.ClaimID}
		}
		return Response{State: NotHeld}
	}
	notes := m.notes(m.candidates(r.Key))
	if m.handingOver.begun {
		return Response{State: Declined, History: notes}
	}
	if ok && held.contested {
		return Response{State: Held, ClaimID: held.holder, History: notes}
	}
	if ok && held.holder != r.Released && !newer(r.ClaimID, held.holder) {
		return Response{State: Held, ClaimID: held.holder, History: notes}
	}
	m.hold(r.Key, r.ClaimID)
	return Response{State: Recorded, ClaimID: r.ClaimID, History: notes}
}

// newer reports whether the claim is the same process's same or later one: it
// makes a later one only after it gave up the earlier.
func newer(claim, held ClaimID) bool {
	return claim.Gate == held.Gate && claim.Incarnation == held.Incarnation && claim.Serial >= held.Serial
}
