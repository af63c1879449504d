package gate

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// unavailableRetryAfter is the retry delay of a call refused for a reason other than
// load, such as a draining or absent target. It is short because another gate can
// take the call immediately.
const unavailableRetryAfter = 100 * time.Millisecond

func (m *Machine) arrive(now time.Time, e Arrive) []Action {
	if refused, ok := m.admitID(e); !ok {
		return []Action{refused}
	}
	if e.ReplayOnly {
		return []Action{m.replayOnly(e)}
	}
	if reason, unavailable := m.unavailableReason(e); unavailable {
		return []Action{Refuse{ID: e.ID, Outcome: call.NotRun, Reason: reason, RetryAfter: unavailableRetryAfter}}
	}
	if action, known := m.replayByKey(e); known {
		return []Action{action}
	}
	if !now.Before(e.Deadline) {
		return []Action{m.refusal(queuedCall{id: e.ID, background: e.Background, left: e.Deadline.Sub(now)}, call.ReasonTooLate)}
	}
	if m.shed != nil {
		m.shed.offered(now, e, m.limit.expectedServiceTime(now, e))
	}
	if m.canStart() {
		late := e.RequireSoftDeadline && now.Add(m.limit.expectedServiceTime(now, e)).After(e.SoftDeadline)
		if late && (m.shed == nil || !m.shed.probeDue(now, e.Route)) {
			return []Action{m.refusal(queuedCall{id: e.ID, background: e.Background, left: e.Deadline.Sub(now)}, call.ReasonTooLate)}
		}
		m.updateAdmissionRatio(1)
		return []Action{m.start(now, e, m.startTag(now, e))}
	}
	if m.shed != nil {
		return m.enqueueShedding(now, e)
	}
	return m.enqueue(now, e)
}

// admitID marks the ID as seen. It refuses an ID that is already marked (received or
// fenced before), one below the window, one of an earlier incarnation of its entry,
// and one sent to another incarnation of this gate.
func (m *Machine) admitID(e Arrive) (Action, bool) {
	w := m.windowOf(e.ID)
	late := Refuse{ID: e.ID, Outcome: call.Unknown, Reason: call.ReasonLateArrival}
	if w == nil || w.below(e.ID.Counter) {
		return late, false
	}
	if w.isSeen(e.ID.Counter) {
		_, queued := m.queuedArrivals[e.ID]
		if !queued && !w.isStarted(e.ID.Counter) {
			// The call was refused or fenced, or its target did not run it.
			late.Outcome = call.NotRun
		}
		return late, false
	}
	w.mark(e.ID.Counter)
	if e.GateIncarnation != m.options.Incarnation {
		return Refuse{ID: e.ID, Outcome: call.NotRun, Reason: call.ReasonGateRestarted, RetryAfter: unavailableRetryAfter}, false
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

// unavailableReason reports whether the gate starts no calls at present, and why.
func (m *Machine) unavailableReason(e Arrive) (call.Reason, bool) {
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

// replayByKey responds to a call whose key belongs to a queued or recorded call. It
// reports false if there is none.
func (m *Machine) replayByKey(e Arrive) (Action, bool) {
	if e.Key == "" {
		return nil, false
	}
	if id, queued := m.queuedKeys[e.Key]; queued {
		return m.attach(e, id, m.queuedArrivals[id].Fingerprint), true
	}
	known := m.ledger.keys[e.Key]
	if known == nil {
		return nil, false
	}
	if known.fingerprint == e.Fingerprint && known.done && known.retainedBytes < 0 {
		// There is no retained response: ReasonConnectionLost stands for this case too.
		return Refuse{ID: e.ID, Outcome: call.Ran, Reason: call.ReasonConnectionLost}, true
	}
	return m.attach(e, known.id, known.fingerprint), true
}

// replayOnly responds to a call that must not be started. Without a record of the
// earlier call, its outcome is unknown, with ReasonConnectionLost although no
// connection was lost here.
func (m *Machine) replayOnly(e Arrive) Action {
	if action, known := m.replayByKey(e); known {
		return action
	}
	return Refuse{ID: e.ID, Outcome: call.Unknown, Reason: call.ReasonConnectionLost}
}

// attach gives the call the response of the earlier call to, unless the key was
// reused for a different request.
func (m *Machine) attach(e Arrive, to call.ID, fingerprint uint64) Action {
	if fingerprint != e.Fingerprint {
		return Refuse{ID: e.ID, Outcome: call.NotRun, Reason: call.ReasonKeyReused}
	}
	return Attach{ID: e.ID, To: to}
}

func (m *Machine) canStart() bool {
	return m.queue.len() == 0 && m.ledger.running < m.limit.current() && m.rate.allows()
}

// queueSlackShare is the share of a call's slack that it may spend in the queue. The
// slack is the time to the soft deadline, less the expected service time; if that
// leaves nothing, the hard deadline counts instead. Service times vary: if calls used
// more of their slack, too many of them would miss the soft deadline and delay the
// calls behind them.
const queueSlackShare = 1.0 / 5

// enqueue queues the call, or refuses it immediately if it is not expected to start
// in time. It also refuses queued calls that now would start too late because the
// new call overtakes them. If the queue is full, the new call displaces a queued one;
// see queue.displace.
func (m *Machine) enqueue(now time.Time, e Arrive) []Action {
	item := queuedCall{
		id: e.ID, background: e.Background, idempotent: e.Idempotent,
		rank:        rankOf(now, e),
		serviceTime: m.limit.expectedServiceTime(now, e), latestStart: m.latestStart(now, e),
	}
	full := m.queue.len() >= m.target.QueueLength
	if full && !m.queue.canDisplace(item) {
		return []Action{m.refusal(item, m.overloadReason(item, call.ReasonQueueFull))}
	}
	wait := m.estimateQueueTime(item)
	if now.Add(wait).After(item.latestStart) || e.RequireSoftDeadline && now.Add(wait+item.serviceTime).After(e.SoftDeadline) {
		return []Action{m.refusal(item, m.overloadReason(item, call.ReasonTooLate))}
	}
	var actions []Action
	if full {
		last := m.queue.displace(item)
		m.forgetQueued(last.id)
		actions = append(actions, m.refusal(last, m.overloadReason(last, call.ReasonQueueFull)))
	}
	m.updateAdmissionRatio(1)
	m.queuedArrivals[e.ID] = e
	if e.Key != "" {
		m.queuedKeys[e.Key] = e.ID
	}
	m.queue.push(item)
	return append(actions, m.refuseLate(now)...)
}

// latestStart returns the time until which the call may be queued: the earliest of
// the end of the queue timeout, the deadline less the service time, and the end of
// queueSlackShare of the slack. Nested calls and calls without a soft deadline have no
// slack limit.
func (m *Machine) latestStart(now time.Time, e Arrive) time.Time {
	serviceTime := m.limit.expectedServiceTime(now, e)
	latest := now.Add(m.target.QueueTimeout)
	if byDeadline := e.Deadline.Add(-serviceTime); byDeadline.Before(latest) {
		latest = byDeadline
	}
	if e.Nested || e.SoftDeadline.IsZero() {
		return latest
	}
	slack := e.SoftDeadline.Sub(now) - serviceTime
	if slack <= 0 {
		// The soft deadline cannot be met; use the time left to the hard deadline.
		slack = e.Deadline.Sub(now) - serviceTime
	}
	if bySlack := now.Add(time.Duration(float64(slack) * queueSlackShare)); bySlack.Before(latest) {
		latest = bySlack
	}
	return latest
}

// refuseLate refuses the queued interactive calls that would start too late.
func (m *Machine) refuseLate(now time.Time) []Action {
	limit := max(1, m.limit.current())
	var actions []Action
	untilFree := m.limit.meanServiceTime(false) / time.Duration(limit)
	for _, item := range m.queue.removeLate(now, limit, untilFree, m.rate.wait) {
		m.forgetQueued(item.id)
		actions = append(actions, m.refusal(item, m.overloadReason(item, call.ReasonTooLate)))
	}
	return actions
}

// estimateQueueTime returns the expected queueing time of a call that arrives now
// with the class and the rank of item: until a slot is free for it and until the
// target's rate limit allows it.
func (m *Machine) estimateQueueTime(item queuedCall) time.Duration {
	return max(m.estimateSlotWait(item), m.estimateRateWait(item))
}

// estimateRateWait returns the time until the target's rate limit allows the calls
// that start before the item, and the item.
func (m *Machine) estimateRateWait(item queuedCall) time.Duration {
	ahead := m.queue.len()
	if !item.background {
		calls, _ := m.queue.ahead(item.rank)
		ahead = calls + min(len(m.queue.background), calls/m.queue.overtakeLimit)
	}
	return m.rate.wait(ahead + 1)
}

// overloadReason returns why the gate has no capacity for the item: the target's rate
// limit, if that delays it more than the running and queued calls do, else the reason
// given.
func (m *Machine) overloadReason(item queuedCall, otherwise call.Reason) call.Reason {
	if m.estimateRateWait(item) > m.estimateSlotWait(item) {
		return call.ReasonRateLimited
	}
	return otherwise
}

// estimateSlotWait returns the expected time until a slot is free for a call that
// arrives now with the class of item and, if it is interactive, its rank: the service
// times of the calls that start before it, plus one mean service time until a slot is
// free, divided by the limit. A background call counts as the last of its class. While
// both classes are queued, one background call starts per overtakeLimit interactive ones.
func (m *Machine) estimateSlotWait(item queuedCall) time.Duration {
	limit := max(1, m.limit.current())
	meanInteractive := m.limit.meanServiceTime(false)
	meanBackground := m.limit.meanServiceTime(true)
	queuedBackground := time.Duration(len(m.queue.background))
	if !item.background {
		calls, work := m.queue.ahead(item.rank)
		work += meanInteractive
		work += min(queuedBackground, time.Duration(calls/m.queue.overtakeLimit)) * meanBackground
		return work / time.Duration(limit)
	}
	work := (queuedBackground + 1) * meanBackground
	if len(m.queue.interactive) > 0 {
		work += (queuedBackground + 1) * time.Duration(m.queue.overtakeLimit) * meanInteractive
	}
	return work / time.Duration(limit)
}

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused call. An
	// entry shortens the delay that it reports to a caller with little time left.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxRateLimitedRetryAfter replaces maxRetryAfter where the target's rate limit
	// determines the delay.
	maxRateLimitedRetryAfter = 10 * time.Second
	// minAdmissionRatio is the lowest admission ratio used for the retry delay, so
	// that a long overload does not extend the delay without limit.
	minAdmissionRatio = 0.1
	// admissionRatioWeight is the weight of one call in the moving average of the
	// admission ratio.
	admissionRatioWeight = 1.0 / 64
	// retryAfterJitter is the width of the jitter as a share of the retry delay.
	// Without jitter, calls refused together would be retried together.
	retryAfterJitter = 0.5
)

// updateAdmissionRatio adds one call to the admission ratio: 1 if the call was
// admitted, 0 if it was refused.
func (m *Machine) updateAdmissionRatio(admitted float64) {
	m.admissionRatio += (admitted - m.admissionRatio) * admissionRatioWeight
}

// retryAfter returns the retry delay of a refused call: the expected queueing time
// divided by the admission ratio, with jitter. The jitter is deterministic: it
// cycles through retryAfterJitterSteps steps.
func (m *Machine) retryAfter(item queuedCall) time.Duration {
	wait := time.Duration(float64(m.estimateQueueTime(item)) / max(minAdmissionRatio, m.admissionRatio))
	longest := maxRetryAfter
	if m.estimateRateWait(item) > m.estimateSlotWait(item) {
		longest = maxRateLimitedRetryAfter
	}
	wait = min(longest, max(minRetryAfter, wait))
	m.refusals++
	step := float64(m.refusals%retryAfterJitterSteps) / retryAfterJitterSteps
	return time.Duration(float64(wait) * (1 - retryAfterJitter/2 + retryAfterJitter*step))
}

// retryAfterJitterSteps is the number of jitter steps through which successive
// refusals cycle.
const retryAfterJitterSteps = 16
