package keyed

import "jasminegate/internal/coordination/call"

func (m *Machine) handleResponse(e ResponseReceived) []Action {
	m.mergeHistory(e.Response.History)
	switch e.Kind {
	case HandOver:
		return m.handleHandOverResponse(e)
	case SyncHistory:
		return m.handleSyncHistoryResponse(e)
	}
	a := m.attempts[e.Serial]
	if a == nil || !a.outstanding[e.From] {
		return nil
	}
	confirming := a.confirming != (ClaimID{})
	if confirming != (e.Kind == Confirm) {
		return nil
	}
	delete(a.outstanding, e.From)
	switch e.Response.State {
	case Recorded:
		a.results[e.From] = true
	case Held:
		if confirming {
			return m.refuse(a, call.ReasonKeyClaimed)
		}
		return m.confirmConflict(a, e.Response.ClaimID)
	case NotHeld:
		return m.conflictReleased(a)
	default: // Declined
		if confirming {
			return m.refuse(a, call.ReasonKeyClaimed)
		}
		a.results[e.From] = false
	}
	return m.advanceAttempt(a)
}

func (m *Machine) handleFailedRequest(e RequestFailed) []Action {
	switch e.Kind {
	case HandOver:
		return m.endHandOverTo(e.From)
	case SyncHistory:
		delete(m.historyRequests, e.From)
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
	if a.noResponse[e.From] {
		a.results[e.From] = false
	}
	a.noResponse[e.From] = true
	return m.advanceAttempt(a)
}

// confirmConflict asks the claimant of a conflicting claim whether it still holds
// that claim. Only the claimant itself, in the same incarnation, can release it.
func (m *Machine) confirmConflict(a *attempt, conflict ClaimID) []Action {
	g := m.members[conflict.Gate]
	unavailable := g == nil || !g.Running || g.Incarnation != conflict.Incarnation
	// The gate that reported a conflict with an own claim, or with one that its claimant
	// has already released, may have recorded that claim as contested; no claimant can
	// release it then.
	if unavailable || a.released[conflict] || m.isOwnClaim(conflict) {
		return m.refuse(a, call.ReasonKeyClaimed)
	}
	a.confirming = conflict
	// Responses to Record requests in flight are ignored during the Confirm;
	// advanceAttempt sends these requests again after it.
	a.outstanding = map[string]bool{conflict.Gate: true}
	request := Request{Kind: Confirm, Key: a.key, ClaimID: conflict, ToIncarnation: conflict.Incarnation}
	return []Action{SendRequest{Serial: a.claimID.Serial, To: conflict.Gate, Request: request}}
}

// conflictReleased continues the attempt once the claimant has confirmed that it
// does not hold the conflicting claim.
func (m *Machine) conflictReleased(a *attempt) []Action {
	a.lastReleased = a.confirming
	a.confirming = ClaimID{}
	a.released[a.lastReleased] = true
	// A different claim may have been recorded here during the Confirm.
	recorded, ok := m.claims[a.key]
	if ok && (recorded.contested || recorded.id != a.lastReleased && recorded.id != a.claimID) {
		return m.refuse(a, call.ReasonKeyClaimed)
	}
	m.recordClaim(a.key, a.claimID)
	a.results[m.options.Self.ID] = true
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
		refused.Candidates = append(refused.Candidates, Candidate{GateHistory: history, Recorded: a.results[id], NoResponse: a.noResponse[id]})
	}
	return m.finish(a, refused)
}

// finish ends the attempt and returns the decision for each call that waits for
// it. If the attempt is admitted, only its first call may run; the others are
// ReplayOnly. If it is refused, its claim is withdrawn.
func (m *Machine) finish(a *attempt, decision Action) []Action {
	delete(m.attempts, a.claimID.Serial)
	delete(m.attemptsByKey, a.key)
	var actions []Action
	if _, refused := decision.(Refused); refused {
		actions = m.withdraw(a.key, a.claimID)
	}
	for i, token := range a.tokens {
		switch v := decision.(type) {
		case Admitted:
			actions = append(actions, Admitted{Token: token, Serial: a.claimID.Serial, ReplayOnly: i > 0})
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
func (m *Machine) withdraw(key string, id ClaimID) []Action {
	m.removeClaim(key, id)
	var actions []Action
	for _, g := range m.candidates(key) {
		if g.Running && g.ID != m.options.Self.ID {
			request := Request{Kind: Withdraw, Key: key, ClaimID: id, ToIncarnation: g.Incarnation}
			actions = append(actions, SendRequest{To: g.ID, Request: request})
		}
	}
	return actions
}

// handleRequest returns the response to another gate's request.
func (m *Machine) handleRequest(r Request) Response {
	if r.ToIncarnation != m.options.Self.Incarnation {
		return Response{State: Declined}
	}
	m.mergeHistory(r.History)
	recorded, ok := m.claims[r.Key]
	switch r.Kind {
	case Withdraw:
		m.removeClaim(r.Key, r.ClaimID)
		return Response{State: NotHeld}
	case SyncHistory:
		return Response{State: Recorded, History: m.history()}
	case HandOver:
		m.mergeHandOver(r)
		return Response{State: Recorded}
	case Confirm:
		// A pending attempt counts as held even if its claim is not recorded here yet: it
		// may still be admitted. So does a contested claim: either call may have run.
		if m.attempts[r.ClaimID.Serial] != nil || ok && (recorded.contested || recorded.id == r.ClaimID) {
			return Response{State: Held, ClaimID: r.ClaimID}
		}
		return Response{State: NotHeld}
	}
	// The remaining kind is Record.
	history := m.historyOf(m.candidates(r.Key))
	if m.handOver.started {
		return Response{State: Declined, History: history}
	}
	if ok && recorded.contested {
		return Response{State: Held, ClaimID: recorded.id, History: history}
	}
	if ok && recorded.id != r.Released && !sameOrLater(r.ClaimID, recorded.id) {
		return Response{State: Held, ClaimID: recorded.id, History: history}
	}
	m.recordClaim(r.Key, r.ClaimID)
	return Response{State: Recorded, ClaimID: r.ClaimID, History: history}
}

// sameOrLater reports whether the claim is the recorded one or a later claim of the
// same process, which makes a later claim only after the earlier one was released or
// expired there.
func sameOrLater(claim, recorded ClaimID) bool {
	return claim.Gate == recorded.Gate && claim.Incarnation == recorded.Incarnation && claim.Serial >= recorded.Serial
}
