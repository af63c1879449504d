package keyed

import "jasminegate/internal/coordination/call"

func (m *Machine) handleResponse(e Answered) []Action {
	m.mergeHistory(e.Answer.Notes)
	switch e.Kind {
	case HandOver:
		return m.handleHandOverResponse(e)
	case Introduce:
		return m.handleHistory(e)
	}
	a := m.attempts[e.Serial]
	if a == nil || !a.outstanding[e.From] {
		return nil
	}
	confirming := a.confirming != (Holder{})
	if confirming != (e.Kind == Confirm) {
		return nil
	}
	delete(a.outstanding, e.From)
	switch e.Answer.State {
	case Recorded:
		a.recorded[e.From] = true
	case Held:
		if confirming {
			return m.refuse(a, call.ReasonKeyClaimed)
		}
		return m.confirmConflict(a, e.Answer.Holder)
	case DismissedClaim:
		return m.conflictReleased(a)
	default:
		if confirming {
			return m.refuse(a, call.ReasonKeyClaimed)
		}
		a.recorded[e.From] = false
	}
	return m.advanceAttempt(a)
}

func (m *Machine) handleFailedRequest(e Lost) []Action {
	switch e.Kind {
	case HandOver:
		return m.endHandOverTo(e.From)
	case Introduce:
		delete(m.historyRequests, e.From)
		return nil
	}
	a := m.attempts[e.Serial]
	if a == nil || !a.outstanding[e.From] {
		return nil
	}
	delete(a.outstanding, e.From)
	if a.confirming != (Holder{}) {
		return m.refuse(a, call.ReasonKeyClaimed)
	}
	if a.unanswered[e.From] {
		a.recorded[e.From] = false
	}
	a.unanswered[e.From] = true
	return m.advanceAttempt(a)
}

// confirmConflict asks the claimant of a conflicting claim whether it still holds
// that claim. Only the claimant itself, in the same incarnation, can release it.
func (m *Machine) confirmConflict(a *attempt, conflict Holder) []Action {
	g := m.members[conflict.Gate]
	unavailable := g == nil || !g.Running || g.Incarnation != conflict.Incarnation
	if unavailable || a.released[conflict] || m.isOwnClaim(conflict) {
		return m.refuse(a, call.ReasonKeyClaimed)
	}
	a.confirming = conflict
	a.outstanding = map[string]bool{conflict.Gate: true}
	request := Request{Kind: Confirm, Key: a.key, Holder: conflict, ToIncarnation: conflict.Incarnation}
	return []Action{Ask{Serial: a.claimID.Serial, To: conflict.Gate, Request: request}}
}

// conflictReleased continues the attempt once the claimant has confirmed that it
// does not hold the conflicting claim.
func (m *Machine) conflictReleased(a *attempt) []Action {
	a.lastReleased = a.confirming
	a.confirming = Holder{}
	a.released[a.lastReleased] = true
	recorded, ok := m.claims[a.key]
	if ok && (recorded.contested || recorded.id != a.lastReleased && recorded.id != a.claimID) {
		return m.refuse(a, call.ReasonKeyClaimed)
	}
	m.recordClaim(a.key, a.claimID)
	a.recorded[m.options.Self.ID] = true
	return m.advanceAttempt(a)
}

func (m *Machine) refuse(a *attempt, reason call.Reason) []Action {
	return m.finish(a, Refused{Outcome: call.Unknown, Reason: reason})
}

// refuseUncertain refuses the attempt with ReasonKeyUncertain and the state of
// each candidate.
func (m *Machine) refuseUncertain(a *attempt, candidates []*member) []Action {
	refused := Refused{Outcome: call.Unknown, Reason: call.ReasonKeyUncertain}
	for i, history := range m.historyOf(candidates) {
		id := candidates[i].ID
		refused.Candidates = append(refused.Candidates, Candidate{Note: history, Recorded: a.recorded[id], Unheard: a.unanswered[id]})
	}
	return m.finish(a, refused)
}

// finish ends the attempt and returns the decision for each call that waits for
// it. If it is admitted, only the first call may start; the others are repeats.
func (m *Machine) finish(a *attempt, verdict Action) []Action {
	delete(m.attempts, a.claimID.Serial)
	delete(m.attemptsByKey, a.key)
	var actions []Action
	if _, refused := verdict.(Refused); refused {
		actions = m.withdraw(a.key, a.claimID)
	}
	for i, token := range a.tokens {
		switch v := verdict.(type) {
		case Admitted:
			actions = append(actions, Admitted{Token: token, Serial: a.claimID.Serial, Repeat: i > 0})
		case Refused:
			v.Token = token
			actions = append(actions, v)
		}
	}
	return actions
}

// release withdraws the claim of a call that was not run.
func (m *Machine) release(e Release) []Action {
	recorded, ok := m.claims[e.Key]
	if !ok || !m.isOwnClaim(recorded.id) || recorded.id.Serial != e.Serial {
		return nil
	}
	return m.withdraw(e.Key, recorded.id)
}

// withdraw removes the claim here and at the key's other running candidates.
func (m *Machine) withdraw(key string, id Holder) []Action {
	m.removeClaim(key, id)
	var actions []Action
	for _, g := range m.candidates(key) {
		if g.Running && g.ID != m.options.Self.ID {
			request := Request{Kind: Withdraw, Key: key, Holder: id, ToIncarnation: g.Incarnation}
			actions = append(actions, Ask{To: g.ID, Request: request})
		}
	}
	return actions
}

// handleRequest returns the response to another gate's request.
func (m *Machine) handleRequest(r Request) Answer {
	if r.ToIncarnation != m.options.Self.Incarnation {
		return Answer{State: Restarted}
	}
	m.mergeHistory(r.Notes)
	recorded, ok := m.claims[r.Key]
	switch r.Kind {
	case Withdraw:
		m.removeClaim(r.Key, r.Holder)
		return Answer{State: DismissedClaim}
	case Introduce:
		return Answer{State: Recorded, Notes: m.history()}
	case HandOver:
		m.mergeHandOver(r)
		return Answer{State: Recorded}
	case Confirm:
		if m.attempts[r.Holder.Serial] != nil || ok && (recorded.contested || recorded.id == r.Holder) {
			return Answer{State: Held, Holder: r.Holder}
		}
		return Answer{State: DismissedClaim}
	}
	history := m.historyOf(m.candidates(r.Key))
	if m.handOver.started {
		return Answer{State: Restarted, Notes: history}
	}
	if ok && recorded.contested {
		return Answer{State: Held, Holder: recorded.id, Notes: history}
	}
	if ok && recorded.id != r.Dismissed && !sameOrLater(r.Holder, recorded.id) {
		return Answer{State: Held, Holder: recorded.id, Notes: history}
	}
	m.recordClaim(r.Key, r.Holder)
	return Answer{State: Recorded, Holder: r.Holder, Notes: history}
}

// sameOrLater reports whether the claim is the recorded one or a later claim of the
// same process, which makes a later claim only after it released the earlier one.
func sameOrLater(claim, recorded Holder) bool {
	return claim.Gate == recorded.Gate && claim.Incarnation == recorded.Incarnation && claim.Serial >= recorded.Serial
}
