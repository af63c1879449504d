package entry

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// Constants of retries and recovery.
const (
	// backoffBase and backoffMax bound the wait before a further attempt; the
	// wait is drawn between nothing and the bound, which doubles each time.
	backoffBase = 5 * time.Millisecond
	backoffMax  = 200 * time.Millisecond
	// maxUnchargedRetries bounds the attempts of a call that follow one which cost no
	// gate any work, such as a refusal by a leaving gate.
	maxUnchargedRetries = 4
	// ownerWait and maxHomeWaits bound how long a keyed call waits for another
	// home of its key.
	ownerWait     = 100 * time.Millisecond
	maxOwnerWaits = 10
	// maxRecoveries is how often a gate is asked about one attempt.
	maxRecoveries = 3
	// noEndpointRetryAfter is when a call that found no gate may try again.
	noEndpointRetryAfter = time.Second
	// shutdownRetryAfter is when a call that this node gave up as it stops may try
	// again: another node takes it at once.
	shutdownRetryAfter = 100 * time.Millisecond
)

func (m *Machine) answered(now time.Time, e Answered) {
	c := m.requests[e.Handle]
	if c == nil || c.endpoint == nil {
		return
	}
	ep := c.endpoint
	m.recordLoad(now, ep, e.Load)
	m.detach(c)
	if e.Failed {
		m.countFailure(now, c.Service, ep)
		return
	}
	ep.succeed(now)
}

// refused takes in a gate's word on an attempt.
func (m *Machine) refused(now time.Time, e Refused) []Action {
	c := m.requests[e.Handle]
	if c == nil || c.endpoint == nil {
		return nil
	}
	ep := c.endpoint
	m.recordLoad(now, ep, e.Load)
	ep.connectionLost = false
	c.bodyConsumed = c.bodyConsumed || e.BodySpent
	m.detach(c)
	if e.Outcome != call.NotRun {
		return m.notAnswered(now, c, ep, e)
	}
	c.lastRefusal = e
	if c.recovering {
		// The gate is well: only the path of the lost attempt was not.
		c.excluded = c.excluded[:len(c.excluded)-1]
	}
	return m.retryOrFail(now, c, m.recordRefusal(now, c, ep, e))
}

// notAnswered ends an attempt that ran, or may have.
func (m *Machine) notAnswered(now time.Time, c *request, ep *endpoint, e Refused) []Action {
	c.outcomeUnknown = true
	if e.Reason == call.ReasonTargetLost {
		m.countFailure(now, c.Service, ep)
	}
	if c.Idempotent && retryable(e.Reason) {
		return m.retryOrFail(now, c, false)
	}
	return m.failWith(c, e.Outcome, e.Reason, e.RetryAfter)
}

// retryable reports whether another target may do better.
func retryable(reason call.Reason) bool {
	return reason != call.ReasonDeadline && reason != call.ReasonTooLarge
}

// recordRefusal remembers what a refusal tells of the endpoint, and reports
// whether another attempt is free of charge.
func (m *Machine) recordRefusal(now time.Time, c *request, ep *endpoint, e Refused) bool {
	switch e.Reason {
	case call.ReasonLeaving, call.ReasonNoTarget, call.ReasonRestarted, call.ReasonFenced:
		ep.drainingUntil = now.Add(drainingTime)
		return true
	case call.ReasonTargetDown:
		m.countFailure(now, c.Service, ep)
		return true
	case call.ReasonQueueFull, call.ReasonTooLate, call.ReasonTargetShed:
		ep.avoidUntil = now.Add(overloadAvoidTime)
	}
	return false
}

// notSent ends an attempt, or a question about one, that never left this node.
func (m *Machine) notSent(now time.Time, e NotSent) []Action {
	c := m.requests[e.Handle]
	if c == nil || c.endpoint == nil {
		return nil
	}
	ep := c.endpoint
	if e.Busy {
		ep.avoidUntil = now.Add(overloadAvoidTime)
	} else {
		m.eject(now, c.Service, ep)
	}
	if c.recovering {
		return m.recoverAgain(now, c)
	}
	m.detach(c)
	c.lastRefusal = Refused{Outcome: call.NotRun, Reason: call.ReasonUnreachable}
	return m.retryOrFail(now, c, true)
}

// lost ends an attempt whose connection broke after sending. The endpoint is
// ejected only when that was a new connection: an older one may have gone
// silent while the peer is well.
func (m *Machine) lost(now time.Time, e Lost) []Action {
	c := m.requests[e.Handle]
	if c == nil || c.endpoint == nil {
		return nil
	}
	ep := c.endpoint
	if c.newConnection || c.recovering {
		m.eject(now, c.Service, ep)
	}
	ep.connectionLost = true
	c.bodyConsumed = c.bodyConsumed || e.BodySpent
	if c.recovering {
		return m.recoverAgain(now, c)
	}
	if c.Idempotent && c.Key == "" {
		c.outcomeUnknown = true
		m.detach(c)
		return m.retryOrFail(now, c, false)
	}
	return m.recover(c)
}

func (m *Machine) recover(c *request) []Action {
	c.recovering = true
	c.recoveries++
	return []Action{Recover{Handle: c.Handle, ID: c.attemptID, Endpoint: c.endpoint.Endpoint}}
}

func (m *Machine) recoverAgain(now time.Time, c *request) []Action {
	if c.recoveries >= maxRecoveries || !now.Before(c.Deadline) {
		m.detach(c)
		c.outcomeUnknown = true
		return m.failWith(c, call.Unknown, call.ReasonLost, 0)
	}
	return m.wait(c, m.backoff(c.recoveries))
}

// retryOrFail plans another attempt, or fails the request. Free attempts take
// nothing from the budget: the one before cost no gate any work.
func (m *Machine) retryOrFail(now time.Time, c *request, uncharged bool) []Action {
	c.recovering = false
	if c.bodyConsumed || !now.Before(c.Deadline) {
		return m.fail(c, "")
	}
	if c.Key != "" {
		return m.waitForOwner(c, uncharged)
	}
	if uncharged && c.uncharged < maxUnchargedRetries {
		c.uncharged++
		return m.send(now, c)
	}
	if m.options.OverloadTries > 0 && refusedForOverload(c) {
		return m.retryOverloaded(now, c)
	}
	if c.sent-c.uncharged >= c.Attempts || !m.budgetOf(c.Service).take() {
		return m.fail(c, "")
	}
	m.chargedRetries++
	return m.wait(c, m.backoff(c.sent))
}

// retryOverloaded sends a call that a gate refused for load to another gate at once. When
// none can answer it in time, one of the own domain is asked to take it all the
// same, and then the caller is told. That costs no target any work, so the budget
// has no part in it.
func (m *Machine) retryOverloaded(now time.Time, c *request) []Action {
	c.overloadRetries++
	if c.allowLate {
		return m.fail(c, "")
	}
	if c.overloadRetries > m.options.OverloadTries || m.pick(now, c) == nil {
		c.allowLate = true
		c.excluded = c.excluded[:0]
		c.overloadRetries = 0
	}
	c.uncharged++
	return m.send(now, c)
}

// refusedForOverload reports whether the last attempt found a gate without room.
func refusedForOverload(c *request) bool {
	if c.outcomeUnknown {
		return false
	}
	return c.lastRefusal.Reason == call.ReasonQueueFull || c.lastRefusal.Reason == call.ReasonTooLate
}

// waitForOwner lets a keyed call wait for the key's home to move when the present
// one is leaving or gone: no other gate may run it before.
func (m *Machine) waitForOwner(c *request, uncharged bool) []Action {
	if !uncharged || c.uncharged >= maxOwnerWaits {
		return m.fail(c, "")
	}
	c.uncharged++
	return m.wait(c, ownerWait/2+time.Duration(m.random.Int64N(int64(ownerWait/2))))
}

func (m *Machine) wait(c *request, d time.Duration) []Action {
	c.waiting = true
	return []Action{Wait{Handle: c.Handle, For: d}}
}

func (m *Machine) resume(now time.Time, handle uint64) []Action {
	c := m.requests[handle]
	if c == nil || !c.waiting {
		return nil
	}
	c.waiting = false
	if c.recovering {
		return m.recover(c)
	}
	if !now.Before(c.Deadline) {
		return m.fail(c, "")
	}
	return m.send(now, c)
}

// giveUp fails the request by what is known of the attempts that were made; one
// that was only planned did not run.
func (m *Machine) giveUp(e GiveUp) []Action {
	c := m.requests[e.Handle]
	if c == nil {
		return nil
	}
	m.detach(c)
	if !c.outcomeUnknown {
		c.lastRefusal = Refused{Outcome: call.NotRun, Reason: e.Reason, RetryAfter: shutdownRetryAfter}
	}
	return m.fail(c, e.Reason)
}

// backoff draws the wait after n attempts (full jitter).
func (m *Machine) backoff(n int) time.Duration {
	bound := min(backoffMax, backoffBase<<min(n, 10))
	return time.Duration(m.random.Int64N(int64(bound)))
}

// fail ends the request with what is known of its attempts.
func (m *Machine) fail(c *request, reason call.Reason) []Action {
	if c.outcomeUnknown {
		return m.failWith(c, call.Unknown, call.ReasonLost, 0)
	}
	if c.lastRefusal.Outcome == call.NotRun {
		return m.failWith(c, call.NotRun, c.lastRefusal.Reason, c.lastRefusal.RetryAfter)
	}
	return m.failWith(c, call.NotRun, reason, noEndpointRetryAfter)
}

func (m *Machine) failWith(c *request, outcome call.Outcome, reason call.Reason, after time.Duration) []Action {
	if outcome == call.NotRun {
		after = max(after, 1)
	}
	if outcome == call.NotRun && c.Key != "" && !c.Idempotent && !keyChecked(reason) {
		outcome = call.Unknown
	}
	return []Action{Fail{Handle: c.Handle, Outcome: outcome, Reason: reason, RetryAfter: after, Gates: c.attempted}}
}

// keyChecked reports whether a gate refused for the reason only after it had
// ruled out that an earlier call with the same key ran.
func keyChecked(reason call.Reason) bool {
	switch reason {
	case call.ReasonQueueFull, call.ReasonTooLate, call.ReasonTargetDown, call.ReasonTargetShed, call.ReasonCancelled, call.ReasonMalformed, call.ReasonKeyReused:
		return true
	default:
		return false
	}
}

func (m *Machine) recordLoad(now time.Time, ep *endpoint, load int) {
	ep.answerLoad = load
	ep.answerLoadAt = now
}

func (m *Machine) countFailure(now time.Time, service string, ep *endpoint) {
	ep.consecutiveFailures++
	if ep.consecutiveFailures >= ejectAfterFailures {
		m.eject(now, service, ep)
	}
}

// eject takes the endpoint out for a time, unless too many are out.
func (m *Machine) eject(now time.Time, service string, ep *endpoint) {
	ep.consecutiveFailures = 0
	g := m.groups[service]
	if g == nil || now.Before(ep.ejectedUntil) || !g.mayEject(now) {
		return
	}
	ep.ejectedUntil = now.Add(ep.ejectionTime(m.random.Float64()))
	ep.rampStart = ep.ejectedUntil
	ep.ejections++
}
