package gate

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// leavingRetryAfter is when a call refused by a leaving or absent target may
// try again; another gate can take it at once.
const leavingRetryAfter = 100 * time.Millisecond

func (m *Machine) arrive(now time.Time, e Arrive) []Action {
	if refused, ok := m.admitID(e); !ok {
		return []Action{refused}
	}
	if e.ReplayOnly {
		return []Action{m.repeated(e)}
	}
	if reason, closed := m.closed(e); closed {
		return []Action{Refuse{ID: e.ID, Outcome: call.NotRun, Reason: reason, RetryAfter: leavingRetryAfter}}
	}
	if action, known := m.repeat(e); known {
		return []Action{action}
	}
	if !now.Before(e.Deadline) {
		return []Action{m.refusal(waiting{id: e.ID, background: e.Background}, call.ReasonTooLate)}
	}
	if m.canStart() {
		if e.RequireSoftDeadline && now.Add(m.limit.workOf(now, e)).After(e.SoftDeadline) {
			return []Action{m.refusal(waiting{id: e.ID, background: e.Background}, call.ReasonTooLate)}
		}
		m.noteAdmitted(1)
		return []Action{m.start(now, e)}
	}
	return m.enqueue(now, e)
}

// admitID marks the ID as seen. It refuses an ID that was seen or fenced before,
// one under the watermark, and one meant for another incarnation of this gate.
func (m *Machine) admitID(e Arrive) (Action, bool) {
	w := m.windowOf(e.ID)
	late := Refuse{ID: e.ID, Outcome: call.Unknown, Reason: call.ReasonLateArrival}
	if w == nil || w.below(e.ID.Counter) {
		return late, false
	}
	if w.isSeen(e.ID.Counter) {
		_, waits := m.arrivals[e.ID]
		if !waits && !w.isStarted(e.ID.Counter) {
			late.Outcome = call.NotRun
		}
		return late, false
	}
	w.mark(e.ID.Counter)
	if e.GateIncarnation != m.options.Incarnation {
		return Refuse{ID: e.ID, Outcome: call.NotRun, Reason: call.ReasonGateRestarted, RetryAfter: leavingRetryAfter}, false
	}
	return nil, true
}

// windowOf returns the window of the ID's entry, or nil when the entry has
// restarted since.
func (m *Machine) windowOf(id call.ID) *window {
	w := m.windows[id.Entry]
	if w == nil || w.incarnation < id.Incarnation {
		w = &window{incarnation: id.Incarnation}
		m.windows[id.Entry] = w
	}
	if w.incarnation > id.Incarnation {
		return nil
	}
	return w
}

func (m *Machine) closed(e Arrive) (call.Reason, bool) {
	if e.RefuseReason != "" {
		return e.RefuseReason, true
	}
	if m.draining {
		return call.ReasonLeaving, true
	}
	if m.target.Slots == 0 {
		return call.ReasonNoTarget, true
	}
	if !m.target.Ready {
		return call.ReasonLeaving, true
	}
	return "", false
}

// repeat decides on a call whose key the ledger knows.
func (m *Machine) repeat(e Arrive) (Action, bool) {
	if e.Key == "" {
		return nil, false
	}
	if id, waits := m.waitingKeys[e.Key]; waits {
		return m.attach(e, id, m.arrivals[id].Fingerprint), true
	}
	known := m.ledger.keys[e.Key]
	if known == nil {
		return nil, false
	}
	if known.fingerprint == e.Fingerprint && known.done && known.keptBytes < 0 {
		return Refuse{ID: e.ID, Outcome: call.Ran, Reason: call.ReasonConnectionLost}, true
	}
	return m.attach(e, known.id, known.fingerprint), true
}

// repeated decides on a call that must not be started.
func (m *Machine) repeated(e Arrive) Action {
	if action, known := m.repeat(e); known {
		return action
	}
	return Refuse{ID: e.ID, Outcome: call.Unknown, Reason: call.ReasonConnectionLost}
}

// attach gives the call the answer of the earlier one, unless the key stands
// for another request.
func (m *Machine) attach(e Arrive, to call.ID, fingerprint uint64) Action {
	if fingerprint != e.Fingerprint {
		return Refuse{ID: e.ID, Outcome: call.NotRun, Reason: call.ReasonKeyReused}
	}
	return Attach{ID: e.ID, To: to}
}

func (m *Machine) canStart() bool {
	return m.queue.len() == 0 && m.ledger.running < m.limit.current()
}

// waitShare is the part of the time that an answer's aim, or past it the deadline,
// leaves beside the call's own work which it may spend waiting. Service times scatter: of calls that wait
// for longer too many would miss their aim, and hold up those behind them.
const waitShare = 1.0 / 5

// enqueue lets the call wait, or refuses it at once when it would not start in
// time. Calls that it overtakes and that would start too late now are refused, as
// is the last one that it overtakes in a full queue.
func (m *Machine) enqueue(now time.Time, e Arrive) []Action {
	item := waiting{
		id: e.ID, background: e.Background, idempotent: e.Idempotent,
		rank: rankOf(now, e),
		work: m.limit.workOf(now, e), latest: m.latestStart(now, e),
	}
	full := m.queue.len() >= m.target.QueueLength
	if full && !m.queue.yields(item) {
		return []Action{m.refusal(item, call.ReasonQueueFull)}
	}
	wait := m.estimate(item)
	if now.Add(wait).After(item.latest) || e.RequireSoftDeadline && now.Add(wait+item.work).After(e.SoftDeadline) {
		return []Action{m.refusal(item, call.ReasonTooLate)}
	}
	var actions []Action
	if full {
		last := m.queue.takeBehind(item)
		m.leaveQueue(last.id)
		actions = append(actions, m.refusal(last, call.ReasonQueueFull))
	}
	m.noteAdmitted(1)
	m.arrivals[e.ID] = e
	if e.Key != "" {
		m.waitingKeys[e.Key] = e.ID
	}
	m.queue.push(item)
	return append(actions, m.refuseLate(now)...)
}

// latestStart is until when the call may wait.
func (m *Machine) latestStart(now time.Time, e Arrive) time.Time {
	work := m.limit.workOf(now, e)
	latest := now.Add(m.target.QueueTimeout)
	if byDeadline := e.Deadline.Add(-work); byDeadline.Before(latest) {
		latest = byDeadline
	}
	if e.Nested || e.SoftDeadline.IsZero() {
		return latest
	}
	slack := e.SoftDeadline.Sub(now) - work
	if slack <= 0 {
		// The answer comes late anyhow: what counts is that it comes.
		slack = e.Deadline.Sub(now) - work
	}
	if byAim := now.Add(time.Duration(float64(slack) * waitShare)); byAim.Before(latest) {
		latest = byAim
	}
	return latest
}

// refuseLate refuses the waiting calls that would start too late.
func (m *Machine) refuseLate(now time.Time) []Action {
	slots := max(1, m.limit.current())
	var actions []Action
	for _, item := range m.queue.takeLate(now, slots, m.limit.meanOf(false)/time.Duration(slots)) {
		m.leaveQueue(item.id)
		actions = append(actions, m.refusal(item, call.ReasonTooLate))
	}
	return actions
}

// estimate returns how long a call like the item that arrives now would wait.
func (m *Machine) estimate(item waiting) time.Duration {
	limit := max(1, m.limit.current())
	meanInteractive := m.limit.meanOf(false)
	meanBackground := m.limit.meanOf(true)
	waits := time.Duration(len(m.queue.background))
	if !item.background {
		calls, work := m.queue.ahead(item.rank)
		work += meanInteractive
		work += min(waits, time.Duration(calls/m.queue.bound)) * meanBackground
		return work / time.Duration(limit)
	}
	work := (waits + 1) * meanBackground
	if len(m.queue.interactive) > 0 {
		work += (waits + 1) * time.Duration(m.queue.bound) * meanInteractive
	}
	return work / time.Duration(limit)
}

const (
	// minRetryAfter and maxRetryAfter bound when a refused call may try again. An
	// entry tells its caller less where the caller's time is short.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// minAdmitted bounds by how much a lasting overload stretches that time.
	minAdmitted = 0.1
	// admittedWeight is the weight of one call in the share that is admitted.
	admittedWeight = 1.0 / 64
	// retryAfterSpread is by how much of it callers are spread, so that those who
	// were refused together do not return together.
	retryAfterSpread = 0.5
)

// noteAdmitted takes in whether a call found room.
func (m *Machine) noteAdmitted(admitted float64) {
	m.admitted += (admitted - m.admitted) * admittedWeight
}

// retryAfter returns when a call like the refused one is likely to find room:
// when what waits before it has started, and later the fewer calls find room.
func (m *Machine) retryAfter(item waiting) time.Duration {
	wait := time.Duration(float64(m.estimate(item)) / max(minAdmitted, m.admitted))
	wait = min(maxRetryAfter, max(minRetryAfter, wait))
	m.refusals++
	turn := float64(m.refusals%retryAfterTurns) / retryAfterTurns
	return time.Duration(float64(wait) * (1 - retryAfterSpread/2 + retryAfterSpread*turn))
}

// retryAfterTurns is over how many refusals the spread is dealt out.
const retryAfterTurns = 16
