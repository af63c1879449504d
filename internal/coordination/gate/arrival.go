package gate

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// leavingRetryAfter is the retry delay of a call refused for a reason other than
// load, such as a draining or absent target. It is short because another gate can
// take the call at once.
const leavingRetryAfter = 100 * time.Millisecond

func (m *Machine) arrive(now time.Time, e Arrive) []Action {
	if refused, ok := m.admitID(e); !ok {
		return []Action{refused}
	}
	if e.Repeat {
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
		if e.InTime && now.Add(m.limit.workOf(now, e)).After(e.Aim) {
			return []Action{m.refusal(waiting{id: e.ID, background: e.Background}, call.ReasonTooLate)}
		}
		m.noteAdmitted(1)
		return []Action{m.start(now, e)}
	}
	return m.enqueue(now, e)
}

// admitID marks the ID as seen. It refuses an ID that was seen or fenced before,
// one below the window, and one sent to another incarnation of this gate.
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
	if e.Gate != m.options.Incarnation {
		return Refuse{ID: e.ID, Outcome: call.NotRun, Reason: call.ReasonRestarted, RetryAfter: leavingRetryAfter}, false
	}
	return nil, true
}

// windowOf returns the window of the ID's entry, or nil if the ID belongs to an
// earlier incarnation of the entry. A new incarnation starts an empty window.
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

// closed reports whether the gate starts no calls at present, and why.
func (m *Machine) closed(e Arrive) (call.Reason, bool) {
	if e.Refuse != "" {
		return e.Refuse, true
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

// repeat answers a call whose key belongs to a queued or recorded call. It
// reports false if there is none.
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
		return Refuse{ID: e.ID, Outcome: call.Ran, Reason: call.ReasonLost}, true
	}
	return m.attach(e, known.id, known.fingerprint), true
}

// repeated answers a call that must not be started. Without a record of the
// earlier call, its outcome is unknown.
func (m *Machine) repeated(e Arrive) Action {
	if action, known := m.repeat(e); known {
		return action
	}
	return Refuse{ID: e.ID, Outcome: call.Unknown, Reason: call.ReasonLost}
}

// attach gives the call the answer of the earlier call to, unless the key was
// reused for a different request.
func (m *Machine) attach(e Arrive, to call.ID, fingerprint uint64) Action {
	if fingerprint != e.Fingerprint {
		return Refuse{ID: e.ID, Outcome: call.NotRun, Reason: call.ReasonKeyReused}
	}
	return Attach{ID: e.ID, To: to}
}

func (m *Machine) canStart() bool {
	return m.queue.len() == 0 && m.ledger.running < m.limit.current()
}

// waitShare is the share of a call's slack that it may spend in the queue. The
// slack is the time to the soft deadline, less the expected service time; if that
// leaves nothing, the hard deadline counts instead. Service times vary: too many
// calls that use more of their slack would miss the soft deadline and delay the
// calls behind them.
const waitShare = 1.0 / 5

// enqueue queues the call, or refuses it at once if it is not expected to start
// in time. It also refuses queued calls that now would start too late because the
// new call overtakes them. If the queue is full, the new call displaces the last
// call ranked behind it.
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
	if now.Add(wait).After(item.latest) || e.InTime && now.Add(wait+item.work).After(e.Aim) {
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

// latestStart returns the time until which the call may be queued: the earliest of
// the queue timeout, the deadline less the service time, and waitShare of the
// slack. Nested calls and calls without a soft deadline have no slack limit.
func (m *Machine) latestStart(now time.Time, e Arrive) time.Time {
	work := m.limit.workOf(now, e)
	latest := now.Add(m.target.QueueTimeout)
	if byDeadline := e.Deadline.Add(-work); byDeadline.Before(latest) {
		latest = byDeadline
	}
	if e.Nested || e.Aim.IsZero() {
		return latest
	}
	slack := e.Aim.Sub(now) - work
	if slack <= 0 {
		// The soft deadline cannot be met; use the time left to the hard deadline.
		slack = e.Deadline.Sub(now) - work
	}
	if byAim := now.Add(time.Duration(float64(slack) * waitShare)); byAim.Before(latest) {
		latest = byAim
	}
	return latest
}

// refuseLate refuses the queued interactive calls that would start too late.
func (m *Machine) refuseLate(now time.Time) []Action {
	slots := max(1, m.limit.current())
	var actions []Action
	for _, item := range m.queue.takeLate(now, slots, m.limit.meanOf(false)/time.Duration(slots)) {
		m.leaveQueue(item.id)
		actions = append(actions, m.refusal(item, call.ReasonTooLate))
	}
	return actions
}

// estimate returns the expected queueing time of a call with the rank and class of
// item that arrives now.
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
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused call. An
	// entry shortens the delay that it reports to a caller with little time left.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// minAdmitted is the lowest admission ratio used for the retry delay, and so
	// limits how far a long overload extends it.
	minAdmitted = 0.1
	// admittedWeight is the weight of one call in the moving average of the
	// admission ratio.
	admittedWeight = 1.0 / 64
	// retryAfterSpread is the width of the jitter as a share of the retry delay.
	// Without jitter, calls refused together would be retried together.
	retryAfterSpread = 0.5
)

// noteAdmitted updates the admission ratio with one call: 1 for an admitted call, 0
// for a refused one.
func (m *Machine) noteAdmitted(admitted float64) {
	m.admitted += (admitted - m.admitted) * admittedWeight
}

// retryAfter returns the retry delay of a refused call: the expected queueing time
// divided by the admission ratio, with jitter. The jitter is deterministic: it
// cycles through retryAfterTurns steps.
func (m *Machine) retryAfter(item waiting) time.Duration {
	wait := time.Duration(float64(m.estimate(item)) / max(minAdmitted, m.admitted))
	wait = min(maxRetryAfter, max(minRetryAfter, wait))
	m.refusals++
	turn := float64(m.refusals%retryAfterTurns) / retryAfterTurns
	return time.Duration(float64(wait) * (1 - retryAfterSpread/2 + retryAfterSpread*turn))
}

// retryAfterTurns is the number of jitter steps through which successive refusals
// cycle.
const retryAfterTurns = 16
