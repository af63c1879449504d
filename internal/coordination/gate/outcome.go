package gate

import (
	"time"

	"jasminegate/internal/coordination/call"
)

func (m *Machine) finished(now time.Time, e Finished) []Action {
	r := m.ledger.records[e.ID]
	if r == nil || r.done {
		return nil
	}
	m.limit.observe(now, r, e.Result, m.ledger.running)
	if e.Result == NotSent || e.Result == RejectedByTarget {
		m.clearStarted(e.ID)
		m.ledger.finish(now, r, false, 0)
		return []Action{Evict{ID: e.ID}}
	}
	keep := !r.idempotent
	m.ledger.finish(now, r, keep, e.RetainedBytes)
	if !keep {
		return []Action{Evict{ID: e.ID}}
	}
	return nil
}

func (m *Machine) clearStarted(id call.ID) {
	if w := m.windowOf(id); w != nil {
		w.setStarted(id.Counter, false)
	}
}

// cancelled withdraws a call that its caller gave up. A running call with a key
// goes on, since a repeat may ask for its answer.
func (m *Machine) cancelled(id call.ID) []Action {
	if m.withdraw(id) {
		return []Action{Refuse{ID: id, Outcome: call.NotRun, Reason: call.ReasonCancelled}}
	}
	if r := m.ledger.records[id]; r != nil && !r.done && r.key == "" {
		return []Action{Cancel{ID: id}}
	}
	return nil
}

func (m *Machine) recalled(id call.ID) []Action {
	if !m.withdraw(id) {
		return nil
	}
	return []Action{Refuse{ID: id, Outcome: call.NotRun, Reason: call.ReasonLeaving, RetryAfter: leavingRetryAfter}}
}

// detached withdraws a waiting call, and cancels a running one that nobody can
// ask for again: the answers of idempotent calls are not kept.
func (m *Machine) detached(id call.ID) []Action {
	if r := m.ledger.records[id]; r != nil && !r.idempotent {
		return nil
	}
	return m.cancelled(id)
}

func (m *Machine) withdraw(id call.ID) bool {
	if !m.queue.remove(id) {
		return false
	}
	m.leaveQueue(id)
	return true
}

// resolve tells what became of a call, fencing one that was not started.
func (m *Machine) resolve(e Resolve) []Action {
	answer := Resolved{ID: e.ID, Token: e.Token, Outcome: call.Unknown}
	if e.GateIncarnation != m.options.Incarnation {
		return []Action{answer}
	}
	var actions []Action
	if m.withdraw(e.ID) {
		actions = append(actions, Refuse{ID: e.ID, Outcome: call.NotRun, Reason: call.ReasonCancelled})
	}
	answer.Outcome = m.outcomeOf(e.ID)
	return append(actions, answer)
}

func (m *Machine) outcomeOf(id call.ID) call.Outcome {
	if r := m.ledger.records[id]; r != nil {
		return r.outcome()
	}
	w := m.windowOf(id)
	if w == nil || w.below(id.Counter) {
		return call.Unknown
	}
	if w.isStarted(id.Counter) {
		return call.Ran
	}
	w.mark(id.Counter)
	return call.NotRun
}

func (r *record) outcome() call.Outcome {
	switch {
	case !r.done:
		return call.Running
	case r.keptBytes < 0:
		return call.Ran
	default:
		return call.Done
	}
}
