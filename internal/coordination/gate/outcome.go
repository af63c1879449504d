package gate

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// finished ends a started call. The record of an idempotent call is dropped, and so
// is that of a call that did not run, which may be sent again.
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

// cancelled refuses a queued call that its caller cancelled, or cancels a running one
// without an idempotency key. A running call with a key continues, since a retry with
// the key may request its response.
func (m *Machine) cancelled(id call.ID) []Action {
	if m.removeQueued(id) {
		return []Action{Refuse{ID: id, Outcome: call.NotRun, Reason: call.ReasonCancelled}}
	}
	if r := m.ledger.records[id]; r != nil && !r.done && r.key == "" {
		return []Action{Cancel{ID: id}}
	}
	return nil
}

// cancelledIfQueued refuses the call if it is queued; its entry is draining.
func (m *Machine) cancelledIfQueued(id call.ID) []Action {
	if !m.removeQueued(id) {
		return nil
	}
	return []Action{Refuse{ID: id, Outcome: call.NotRun, Reason: call.ReasonLeaving, RetryAfter: unavailableRetryAfter}}
}

// disconnected treats a call whose connection was lost as cancelled, unless it is
// running and not idempotent: that response is retained and can still be fetched.
func (m *Machine) disconnected(id call.ID) []Action {
	if r := m.ledger.records[id]; r != nil && !r.idempotent {
		return nil
	}
	return m.cancelled(id)
}

// removeQueued removes the call from the queue and reports whether it was queued.
func (m *Machine) removeQueued(id call.ID) bool {
	if !m.queue.remove(id) {
		return false
	}
	m.forgetQueued(id)
	return true
}

// resolve returns the outcome of a call and fences a call that was not started. The
// outcome of a call sent to another incarnation of this gate is Unknown: that
// incarnation may have run it.
func (m *Machine) resolve(e Resolve) []Action {
	resolved := Resolved{ID: e.ID, Token: e.Token, Outcome: call.Unknown}
	if e.GateIncarnation != m.options.Incarnation {
		return []Action{resolved}
	}
	var actions []Action
	if m.removeQueued(e.ID) {
		actions = append(actions, Refuse{ID: e.ID, Outcome: call.NotRun, Reason: call.ReasonCancelled})
	}
	resolved.Outcome = m.outcomeOf(e.ID)
	return append(actions, resolved)
}

// outcomeOf returns the outcome of a call that is not queued. It fences an unseen
// call.
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
	case r.retainedBytes < 0:
		return call.Ran
	default:
		return call.Done
	}
}
