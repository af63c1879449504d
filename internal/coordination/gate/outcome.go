package gate

import (
	"slices"
	"time"

	"jasminegate/internal/coordination/call"
)

// finished ends a started call. The record of a call that did not run is dropped, as it
// may be sent again, and so is that of an idempotent call without a complete response.
func (m *Machine) finished(now time.Time, e Finished) []Action {
	r := m.ledger.records[e.ID]
	if r == nil || r.done {
		return nil
	}
	m.removeOrphan(e.ID)
	if m.shed != nil && m.shed.ended(now, r.route, r.started) && e.Result == Completed {
		m.limit.remeasure(r.route, now.Sub(r.started))
	}
	m.limit.observe(now, r, e.Result, m.ledger.running)
	if e.Result == NotSent || e.Result == RejectedByTarget {
		m.clearStarted(e.ID)
		m.ledger.finish(now, r, false, 0)
		return []Action{Evict{ID: e.ID}}
	}
	keep := !r.idempotent || e.RetainedBytes >= 0
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

// orphanGrace is how long a running idempotent call continues after its connection was
// lost, and how long its response is retained. An entry that takes the gate for lost,
// although it is only slow or the connection is silent, asks for the response over a new
// connection. An entry whose caller left cancels the call instead.
const orphanGrace = 300 * time.Millisecond

// orphan is a running idempotent call for whose response no entry waits.
type orphan struct {
	id call.ID
	// until is when the call is cancelled.
	until time.Time
}

// disconnected treats a queued call whose connection was lost as cancelled. A running
// one that is not idempotent continues: its response is retained and can still be
// fetched. An idempotent one continues for orphanGrace, unless its entry retries it
// elsewhere: the slot is then better used for other calls.
func (m *Machine) disconnected(now time.Time, id call.ID) []Action {
	r := m.ledger.records[id]
	if r == nil || r.done {
		return m.cancelled(id)
	}
	r.connections--
	if !r.idempotent || r.connections > 0 {
		return nil
	}
	if r.retriedIfLost {
		return m.cancelled(id)
	}
	m.orphans = append(m.orphans, orphan{id: id, until: now.Add(orphanGrace)})
	return nil
}

// fetched notes that an entry waits for the response of a started call.
func (m *Machine) fetched(id call.ID) {
	if r := m.ledger.records[id]; r != nil {
		r.connections++
		m.removeOrphan(id)
	}
}

func (m *Machine) removeOrphan(id call.ID) {
	m.orphans = slices.DeleteFunc(m.orphans, func(o orphan) bool { return o.id == id })
}

// cancelOrphans cancels the running calls that no entry has asked for in time.
func (m *Machine) cancelOrphans(now time.Time) []Action {
	var actions []Action
	for len(m.orphans) > 0 && !now.Before(m.orphans[0].until) {
		id := m.orphans[0].id
		m.orphans = m.orphans[1:]
		actions = append(actions, m.cancelled(id)...)
	}
	return actions
}

// nextOrphan returns when the next orphaned call is cancelled, and false if there is
// none.
func (m *Machine) nextOrphan() (time.Time, bool) {
	if len(m.orphans) == 0 {
		return time.Time{}, false
	}
	return m.orphans[0].until, true
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
	if e.Fetch {
		m.fetched(e.ID)
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
