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
	// maxFreeAttempts bounds the attempts of a call that follow one which cost no
	// gate any work, such as a refusal by a leaving gate.
	maxFreeAttempts = 4
	// homeWait and maxHomeWaits bound how long a keyed call waits for another
	// home of its key.
	homeWait     = 100 * time.Millisecond
	maxHomeWaits = 10
	// maxRecoveries is how often a gate is asked about one attempt.
	maxRecoveries = 3
	// noEndpointRetryAfter is when a call that found no gate may try again.
	noEndpointRetryAfter = time.Second
	// leavingRetryAfter is when a call that this node gave up as it stops may try
	// again: another node takes it at once.
	leavingRetryAfter = 100 * time.Millisecond
)

func (m *Machine) answered(now time.Time, e ResponseReceived) {
	c := m.requests[e.Handle]
	if c == nil || c.at == nil {
		return
	}
	at := c.at
	m.report(now, at, e.Load)
	m.detach(c)
	if e.Failed {
		m.countFailure(now, c.Service, at)
		return
	}
	at.succeed(now)
}

// refused takes in a gate's word on an attempt.
func (m *Machine) refused(now time.Time, e Refused) []Action {
	c := m.requests[e.Handle]
	if c == nil || c.at == nil {
		return nil
	}
	at := c.at
	m.report(now, at, e.Load)
	at.doubt = false
	c.bodySpent = c.bodySpent || e.BodyConsumed
	m.detach(c)
	if e.Outcome != call.NotRun {
		return m.notAnswered(now, c, at, e)
	}
	c.lastRefuse = e
	if c.recovering {
		// The gate is well: only the path of the lost attempt was not.
		c.tried = c.tried[:len(c.tried)-1]
	}
	return m.tryElsewhere(now, c, m.noteRefusal(now, c, at, e))
}

// notAnswered ends an attempt that ran, or may have.
func (m *Machine) notAnswered(now time.Time, c *request, at *endpoint, e Refused) []Action {
	c.unknown = true
	if e.Reason == call.ReasonTargetConnectionLost {
		m.countFailure(now, c.Service, at)
	}
	if c.Idempotent && retryable(e.Reason) {
		return m.tryElsewhere(now, c, false)
	}
	return m.failWith(c, e.Outcome, e.Reason, e.RetryAfter)
}

// retryable reports whether another target may do better.
func retryable(reason call.Reason) bool {
	return reason != call.ReasonDeadline && reason != call.ReasonAnswerTooLarge
}

// noteRefusal remembers what a refusal tells of the endpoint, and reports
// whether another attempt is free of charge.
func (m *Machine) noteRefusal(now time.Time, c *request, at *endpoint, e Refused) bool {
	switch e.Reason {
	case call.ReasonLeaving, call.ReasonNoTarget, call.ReasonGateRestarted, call.ReasonFenced:
		at.leavingTill = now.Add(leavingFor)
		return true
	case call.ReasonTargetUnreachable:
		m.countFailure(now, c.Service, at)
		return true
	case call.ReasonQueueFull, call.ReasonTooLate, call.ReasonTargetShed:
		at.avoidTill = now.Add(overloadedFor)
	}
	return false
}

// notSent ends an attempt, or a question about one, that never left this node.
func (m *Machine) notSent(now time.Time, e NotSent) []Action {
	c := m.requests[e.Handle]
	if c == nil || c.at == nil {
		return nil
	}
	at := c.at
	if e.ConnectionLimitReached {
		at.avoidTill = now.Add(overloadedFor)
	} else {
		m.eject(now, c.Service, at)
	}
	if c.recovering {
		return m.recoverAgain(now, c)
	}
	m.detach(c)
	c.lastRefuse = Refused{Outcome: call.NotRun, Reason: call.ReasonUnreachable}
	return m.tryElsewhere(now, c, true)
}

// lost ends an attempt whose connection broke after sending. The endpoint is
// ejected only when that was a new connection: an older one may have gone
// silent while the peer is well.
func (m *Machine) lost(now time.Time, e ConnectionLost) []Action {
	c := m.requests[e.Handle]
	if c == nil || c.at == nil {
		return nil
	}
	at := c.at
	if c.fresh || c.recovering {
		m.eject(now, c.Service, at)
	}
	at.doubt = true
	c.bodySpent = c.bodySpent || e.BodyConsumed
	if c.recovering {
		return m.recoverAgain(now, c)
	}
	if c.Idempotent && c.Key == "" {
		c.unknown = true
		m.detach(c)
		return m.tryElsewhere(now, c, false)
	}
	return m.recover(c)
}

func (m *Machine) recover(c *request) []Action {
	c.recovering = true
	c.recoveries++
	return []Action{Resolve{Handle: c.Handle, ID: c.id, Endpoint: c.at.Endpoint}}
}

func (m *Machine) recoverAgain(now time.Time, c *request) []Action {
	if c.recoveries >= maxRecoveries || !now.Before(c.Deadline) {
		m.detach(c)
		c.unknown = true
		return m.failWith(c, call.Unknown, call.ReasonConnectionLost, 0)
	}
	return m.wait(c, m.backoff(c.recoveries))
}

// tryElsewhere plans another attempt, or fails the request. Free attempts take
// nothing from the budget: the one before cost no gate any work.
func (m *Machine) tryElsewhere(now time.Time, c *request, free bool) []Action {
	c.recovering = false
	if c.bodySpent || !now.Before(c.Deadline) {
		return m.fail(c, "")
	}
	if c.Key != "" {
		return m.awaitHome(c, free)
	}
	if free && c.free < maxFreeAttempts {
		c.free++
		return m.send(now, c)
	}
	if m.options.OverloadTries > 0 && refusedForLoad(c) {
		return m.offer(now, c)
	}
	if c.sent-c.free >= c.MaxAttempts || !m.budgetOf(c.Service).spend() {
		return m.fail(c, "")
	}
	m.charged++
	return m.wait(c, m.backoff(c.sent))
}

// offer sends a call that a gate refused for load to another gate at once. When
// none can answer it in time, one of the own domain is asked to take it all the
// same, and then the caller is told. That costs no target any work, so the budget
// has no part in it.
func (m *Machine) offer(now time.Time, c *request) []Action {
	c.offers++
	if c.lateToo {
		return m.fail(c, "")
	}
	if c.offers > m.options.OverloadTries || m.pick(now, c) == nil {
		c.lateToo = true
		c.tried = c.tried[:0]
		c.offers = 0
	}
	c.free++
	return m.send(now, c)
}

// refusedForLoad reports whether the last attempt found a gate without room.
func refusedForLoad(c *request) bool {
	if c.unknown {
		return false
	}
	return c.lastRefuse.Reason == call.ReasonQueueFull || c.lastRefuse.Reason == call.ReasonTooLate
}

// awaitHome lets a keyed call wait for the key's home to move when the present
// one is leaving or gone: no other gate may run it before.
func (m *Machine) awaitHome(c *request, free bool) []Action {
	if !free || c.free >= maxHomeWaits {
		return m.fail(c, "")
	}
	c.free++
	return m.wait(c, homeWait/2+time.Duration(m.random.Int64N(int64(homeWait/2))))
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
	if !c.unknown {
		c.lastRefuse = Refused{Outcome: call.NotRun, Reason: e.Reason, RetryAfter: leavingRetryAfter}
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
	if c.unknown {
		return m.failWith(c, call.Unknown, call.ReasonConnectionLost, 0)
	}
	if c.lastRefuse.Outcome == call.NotRun {
		return m.failWith(c, call.NotRun, c.lastRefuse.Reason, c.lastRefuse.RetryAfter)
	}
	return m.failWith(c, call.NotRun, reason, noEndpointRetryAfter)
}

func (m *Machine) failWith(c *request, outcome call.Outcome, reason call.Reason, after time.Duration) []Action {
	if outcome == call.NotRun {
		after = max(after, 1)
	}
	if outcome == call.NotRun && c.Key != "" && !c.Idempotent && !keyDecided(reason) {
		outcome = call.Unknown
	}
	return []Action{Fail{Handle: c.Handle, Outcome: outcome, Reason: reason, RetryAfter: after, Gates: c.asked}}
}

// keyDecided reports whether a gate refused for the reason only after it had
// ruled out that an earlier call with the same key ran.
func keyDecided(reason call.Reason) bool {
	switch reason {
	case call.ReasonQueueFull, call.ReasonTooLate, call.ReasonTargetUnreachable, call.ReasonTargetShed, call.ReasonCancelled, call.ReasonMalformed, call.ReasonKeyReused:
		return true
	default:
		return false
	}
}

func (m *Machine) report(now time.Time, at *endpoint, load int) {
	at.reported = load
	at.reportedAt = now
}

func (m *Machine) countFailure(now time.Time, service string, at *endpoint) {
	at.failures++
	if at.failures >= ejectAfter {
		m.eject(now, service, at)
	}
}

// eject takes the endpoint out for a time, unless too many are out.
func (m *Machine) eject(now time.Time, service string, at *endpoint) {
	at.failures = 0
	g := m.groups[service]
	if g == nil || now.Before(at.ejectedTill) || !g.mayEject(now) {
		return
	}
	at.ejectedTill = now.Add(at.ejectionTime(m.random.Float64()))
	at.since = at.ejectedTill
	at.ejections++
}
