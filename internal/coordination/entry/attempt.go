package entry

import (
	"cmp"
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/coordination/rollout"
)

// Limits and delays of retries and of resolving lost attempts.
const (
	// backoffBase and backoffMax bound the delay before a retry. The delay is drawn
	// between zero and a bound that doubles with each attempt (full jitter).
	backoffBase = 5 * time.Millisecond
	backoffMax  = 200 * time.Millisecond
	// maxUnchargedRetries bounds the retries of calls without a key that take no retry
	// token because the attempt before cost no gate any work, such as one refused by a
	// draining gate. Retries by retryOverloaded count towards it, but are bounded by
	// Options.OverloadTries instead. Keyed calls are bounded by maxPrimaryWaits.
	maxUnchargedRetries = 4
	// maxBudgetTries is how many further gates a call is sent to, without delay, after one that
	// allows no repeat.
	maxBudgetTries = 2
	// primaryWait is the longest single delay before a keyed call is sent to the
	// primary of its key again, and maxPrimaryWaits is the number of such delays.
	primaryWait     = 100 * time.Millisecond
	maxPrimaryWaits = 10
	// maxResolveAttempts is how many times a gate is asked to resolve one attempt, except that one that
	// is silent about a call that is not idempotent is asked until the deadline.
	maxResolveAttempts = 3
	// noEndpointRetryAfter is the Retry-After of a call for which no gate was
	// available.
	noEndpointRetryAfter = time.Second
	// shutdownRetryAfter is the Retry-After of a call that this node drops while it
	// shuts down. It is short because another node can take the call immediately.
	shutdownRetryAfter = 100 * time.Millisecond
)

func (m *Machine) responseReceived(now time.Time, e ResponseReceived) {
	c := m.requests[e.Handle]
	if c == nil || c.endpoint == nil {
		return
	}
	ep := c.endpoint
	m.detach(c)
	switch {
	case e.From != "" && e.From != ep.ID:
		m.observe(now, c, rollout.NotCounted) // an earlier attempt got the response
		if ep = m.endpoints[e.From]; ep == nil {
			return
		}
	case e.Failed || e.ServerError:
		m.observe(now, c, rollout.Failed)
	default:
		m.observe(now, c, rollout.Succeeded)
	}
	m.recordLoad(now, ep, e.Load)
	ep.recordLosses(now, e.LostShare)
	m.recordService(now, c, ep, e.ServiceTime)
	m.recordReport(ep, e.TargetReport)
	if e.Failed {
		m.countFailure(now, c.Service, ep)
		return
	}
	ep.succeed(now)
}

// refused handles an outcome that the gate reported instead of a response.
func (m *Machine) refused(now time.Time, e Refused) []Action {
	c := m.requests[e.Handle]
	if c == nil || c.endpoint == nil {
		return nil
	}
	ep := c.endpoint
	m.recordLoad(now, ep, e.Load)
	ep.recordLosses(now, e.LostShare)
	m.recordService(now, c, ep, e.ServiceTime)
	m.recordReport(ep, e.TargetReport)
	ep.suspectConnection = false
	c.bodyConsumed = c.bodyConsumed || e.BodyConsumed
	m.detach(c)
	m.observe(now, c, rolloutOutcome(e))
	if e.Outcome != call.NotRun {
		return m.noResponse(now, c, ep, e)
	}
	c.lastRefusal = e
	c.rejected = c.rejected || e.Reason == call.ReasonTargetShed
	if c.resolving {
		// The gate is healthy, only the connection of the lost attempt failed: allow
		// a further attempt at this gate, which send appended to excluded last.
		c.excluded = c.excluded[:len(c.excluded)-1]
	}
	if e.Reason == call.ReasonRetryBudgetSpent {
		return m.retryWithinBudget(now, c)
	}
	return m.retryOrFail(now, c, m.recordRefusal(now, c, ep, e))
}

// retryWithinBudget sends a repeat that a gate does not allow to another gate, which may have more
// of its budget left. The token that the entry took for the repeat is not used yet.
//
// Load pattern: retries that concentrate on few gates of a service.
func (m *Machine) retryWithinBudget(now time.Time, c *request) []Action {
	c.resolving = false
	if c.budgetTries >= maxBudgetTries || c.bodyConsumed || c.Key != "" || !now.Before(c.Deadline) {
		return m.fetchLostOrFail(now, c, "")
	}
	c.budgetTries++
	c.uncharged++
	return m.send(now, c)
}

// rolloutOutcome returns what the outcome that a gate reported says about the target's version.
func rolloutOutcome(e Refused) rollout.Outcome {
	switch e.Reason {
	case call.ReasonTargetConnectionLost, call.ReasonTargetUnreachable:
		return rollout.Failed
	case call.ReasonDeadline:
		if e.Outcome == call.Unknown {
			return rollout.Failed // the target had the call and did not respond in time
		}
	}
	return rollout.NotCounted
}

// noResponse handles an attempt that ran, or may have run, without a response.
func (m *Machine) noResponse(now time.Time, c *request, ep *endpoint, e Refused) []Action {
	c.outcomeUnknown, c.otherUnknown = true, true
	if e.Reason == call.ReasonTargetConnectionLost {
		m.countFailure(now, c.Service, ep)
	}
	if c.Idempotent && retryable(e.Reason) {
		return m.retryOrFail(now, c, false)
	}
	return m.failWith(c, e.Outcome, e.Reason, e.RetryAfter)
}

// retryable reports whether another target may succeed.
func retryable(reason call.Reason) bool {
	return reason != call.ReasonDeadline && reason != call.ReasonAnswerTooLarge
}

// recordRefusal updates the endpoint's state after a refusal. It reports whether
// a retry takes no token of the retry budget.
func (m *Machine) recordRefusal(now time.Time, c *request, ep *endpoint, e Refused) bool {
	switch e.Reason {
	case call.ReasonLeaving, call.ReasonNoTarget, call.ReasonGateRestarted, call.ReasonFenced:
		ep.unavailableUntil = now.Add(unavailableTime)
		if c.choice.Running && e.Reason == call.ReasonLeaving {
			ep.unavailableUntil = now.Add(rolloutUnavailableTime)
		}
		return true
	case call.ReasonOutlastsGate:
		return true
	case call.ReasonTargetUnreachable:
		m.countFailure(now, c.Service, ep)
		return true
	case call.ReasonRateLimited:
		ep.avoidUntil = now.Add(overloadAvoidTime)
		c.rateLimited = append(c.rateLimited, ep.ID)
	case call.ReasonQueueFull, call.ReasonTooLate, call.ReasonTargetShed:
		ep.avoidUntil = now.Add(overloadAvoidTime)
		m.rememberRefusal(now, c, ep, e)
	}
	return false
}

// notSent handles an attempt, or a Resolve request, that never left this node.
func (m *Machine) notSent(now time.Time, e NotSent) []Action {
	c := m.requests[e.Handle]
	if c == nil || c.endpoint == nil {
		return nil
	}
	ep := c.endpoint
	switch {
	case e.GateReached:
	case e.ConnectionLimitReached:
		ep.avoidUntil = now.Add(overloadAvoidTime)
	default:
		m.eject(now, c.Service, ep)
	}
	if c.resolving {
		return m.resolveAgain(now, c, e.Silent)
	}
	m.detach(c)
	m.observe(now, c, rollout.NotCounted)
	c.lastRefusal = Refused{Outcome: call.NotRun, Reason: call.ReasonUnreachable}
	return m.retryOrFail(now, c, true)
}

// connectionLost handles an attempt whose connection broke or went silent after
// sending. The endpoint is ejected only if the connection was new: a pooled
// connection can go silent while the peer is healthy.
func (m *Machine) connectionLost(now time.Time, e ConnectionLost) []Action {
	c := m.requests[e.Handle]
	if c == nil || c.endpoint == nil {
		return nil
	}
	ep := c.endpoint
	if c.newConnection || c.resolving {
		m.eject(now, c.Service, ep)
	}
	ep.suspectConnection = true
	m.recordLost(now, ep)
	c.bodyConsumed = c.bodyConsumed || e.BodyConsumed
	if c.resolving {
		return m.resolveAgain(now, c, e.Silent)
	}
	if c.Idempotent && c.Key == "" && !m.shouldFetch(now, c) {
		c.otherUnknown = c.otherUnknown || c.outcomeUnknown
		c.lost = &lostAttempt{id: c.attemptID, endpoint: ep.Endpoint}
		c.outcomeUnknown = true
		m.detach(c)
		m.observe(now, c, rollout.NotCounted)
		return m.retryOrFail(now, c, false)
	}
	return m.resolve(c)
}

// shouldFetch reports whether the gate of an idempotent call's lost attempt is asked for
// the response: if no retry is allowed and there is time left. The gate may only be
// slow, and then still runs the call, unless the rest of its body is missing.
func (m *Machine) shouldFetch(now time.Time, c *request) bool {
	return !c.bodyConsumed && now.Before(c.Deadline) && !m.mayRetry(c)
}

// mayRetry reports whether another attempt that takes a token of the retry budget is
// allowed.
func (m *Machine) mayRetry(c *request) bool {
	return c.sent-c.uncharged < c.MaxAttempts && m.budgetOf(c.Service).available()
}

// resolve asks the gate for the outcome of the lost attempt.
func (m *Machine) resolve(c *request) []Action {
	c.resolving = true
	c.resolveAttempts++
	return []Action{Resolve{Handle: c.Handle, ID: c.attemptID, Endpoint: c.endpoint.Endpoint}}
}

// resolveAgain repeats resolve after a backoff, or fails the request with an
// unknown outcome after maxResolveAttempts requests or the deadline. A gate that accepts connections
// and is silent on them has not ended. If the call is not idempotent its caller cannot send it again, and
// the gate is asked until the deadline, also if membership takes it for dead.
//
// Load pattern: gates that get no processor time for longer than a few silence timeouts.
func (m *Machine) resolveAgain(now time.Time, c *request, silent bool) []Action {
	if silent && !c.Idempotent {
		c.resolveAttempts = min(c.resolveAttempts, maxResolveAttempts-1)
	}
	if c.resolveAttempts >= maxResolveAttempts || !now.Before(c.Deadline) {
		m.detach(c)
		m.observe(now, c, rollout.NotCounted)
		c.outcomeUnknown = true
		return m.failWith(c, call.Unknown, call.ReasonConnectionLost, 0)
	}
	return m.wait(c, m.backoff(c.resolveAttempts))
}

// retryOrFail makes another attempt, or fails the request. If uncharged is set, the
// last attempt cost no gate any work: the retry takes no token of the retry budget
// until maxUnchargedRetries are used up. Retries by waitForPrimary (keyed calls) and
// retryOverloaded never take a token.
func (m *Machine) retryOrFail(now time.Time, c *request, uncharged bool) []Action {
	c.resolving = false
	if c.bodyConsumed || !now.Before(c.Deadline) {
		return m.fail(c, "")
	}
	if c.Key != "" {
		return m.waitForPrimary(c, uncharged)
	}
	if uncharged && c.uncharged < maxUnchargedRetries {
		c.uncharged++
		return m.send(now, c)
	}
	if m.options.ExpectedTime && m.options.OverloadTries > 0 && refusedForOverload(c) {
		return m.retryRefused(now, c)
	}
	if m.options.OverloadTries > 0 && refusedForOverload(c) {
		return m.retryOverloaded(now, c)
	}
	if !m.retryCanEnd(now, c) || c.sent-c.uncharged >= c.MaxAttempts || !m.budgetOf(c.Service).take() {
		return m.fetchLostOrFail(now, c, "")
	}
	m.chargedRetries++
	return m.wait(c, m.backoff(c.sent))
}

// fetchLostOrFail asks the gate of the request's lost attempt for the response, once, before it
// fails the request: the gate may only be slow, and then still runs the call.
//
// Load pattern: gates and links that stall for longer than the silence timeout while every other
// gate is full.
func (m *Machine) fetchLostOrFail(now time.Time, c *request, reason call.Reason) []Action {
	lost := c.lost
	c.lost = nil
	if lost == nil || c.bodyConsumed || !now.Before(c.Deadline) {
		return m.fail(c, reason)
	}
	ep := m.endpoints[lost.endpoint.ID]
	if ep == nil || ep.Incarnation != lost.endpoint.Incarnation {
		return m.fail(c, reason)
	}
	m.attach(c, ep)
	c.attemptID, c.resolveAttempts = lost.id, 0
	c.excluded = append(c.excluded, ep.ID)
	c.outcomeUnknown = c.otherUnknown // of this attempt the gate will tell
	return m.resolve(c)
}

// retryOverloaded sends a call that a gate refused for overload to another gate
// without delay. After Options.OverloadTries such retries, or when no gate is left to
// try, one gate, preferably of the local domain, may accept the call for a late
// response; if that gate refuses too, the request fails. A gate that refused because of
// its target's rate limit would do so again. The refusals cost no target any work, so
// these retries take no token of the retry budget.
func (m *Machine) retryOverloaded(now time.Time, c *request) []Action {
	c.overloadRetries++
	if c.allowLate {
		return m.fail(c, "")
	}
	var next *endpoint
	if c.overloadRetries <= m.options.OverloadTries {
		next = m.pick(now, c)
	}
	if next == nil {
		c.allowLate = true
		c.excluded = append(c.excluded[:0], c.rateLimited...)
		c.overloadRetries = 0 // pick may now return a remote gate without capacity
		next = m.pick(now, c)
	}
	c.uncharged++
	return m.sendTo(c, next)
}

// refusedForOverload reports whether a gate refused the last attempt because it
// had no capacity.
func refusedForOverload(c *request) bool {
	if c.outcomeUnknown {
		return false
	}
	switch c.lastRefusal.Reason {
	case call.ReasonQueueFull, call.ReasonTooLate, call.ReasonRateLimited:
		return true
	}
	return false
}

// waitForPrimary delays a keyed call whose primary cannot take it, for example
// because it is draining or gone. Only the primary may run the call, so the next
// attempt goes to the gate that is the primary after the delay. It fails the request
// if the last attempt cost a gate work, or after maxPrimaryWaits delays.
func (m *Machine) waitForPrimary(c *request, uncharged bool) []Action {
	if !uncharged || c.uncharged >= maxPrimaryWaits {
		return m.fail(c, "")
	}
	c.uncharged++
	return m.wait(c, primaryWait/2+time.Duration(m.random.Int64N(int64(primaryWait/2))))
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
	if c.resolving {
		return m.resolve(c)
	}
	if !now.Before(c.Deadline) {
		return m.fail(c, "")
	}
	return m.send(now, c)
}

// giveUp fails the request with the outcome of the attempts made so far. A retry that
// was only scheduled counts as not run; an attempt that is still being resolved may have
// run. A node that shuts down asks for the response of a lost attempt.
//
// Load pattern: planned stops of entries while gates and links stall for longer than the silence
// timeout.
func (m *Machine) giveUp(now time.Time, e GiveUp) []Action {
	c := m.requests[e.Handle]
	if c == nil {
		return nil
	}
	m.detach(c)
	m.observe(now, c, rollout.NotCounted)
	if e.Reason == call.ReasonLeaving && !c.resolving && c.lost != nil {
		return m.fetchLostOrFail(now, c, e.Reason)
	}
	c.outcomeUnknown = c.outcomeUnknown || c.resolving
	if !c.outcomeUnknown {
		c.lastRefusal = Refused{Outcome: call.NotRun, Reason: e.Reason, RetryAfter: cmp.Or(e.RetryAfter, shutdownRetryAfter)}
	}
	return m.fail(c, e.Reason)
}

// backoff returns the delay after n attempts, with full jitter.
func (m *Machine) backoff(n int) time.Duration {
	bound := min(backoffMax, backoffBase<<min(n, 10))
	return time.Duration(m.random.Int64N(int64(bound)))
}

// fail ends the request with the outcome of its attempts. The reason applies only if
// no attempt was refused and none has an unknown outcome.
func (m *Machine) fail(c *request, reason call.Reason) []Action {
	if c.outcomeUnknown {
		return m.failWith(c, call.Unknown, call.ReasonConnectionLost, 0)
	}
	if c.lastRefusal.Outcome == call.NotRun {
		return m.failWith(c, call.NotRun, c.lastRefusal.Reason, c.lastRefusal.RetryAfter)
	}
	return m.failWith(c, call.NotRun, reason, noEndpointRetryAfter)
}

// failWith returns the Fail action. A call that did not run always gets a
// RetryAfter above zero. For a keyed call that is not idempotent, not run covers
// earlier calls with the key too: it becomes unknown unless the gate has checked for
// them.
func (m *Machine) failWith(c *request, outcome call.Outcome, reason call.Reason, after time.Duration) []Action {
	if outcome == call.NotRun {
		after = max(after, 1)
	}
	if outcome == call.NotRun && c.Key != "" && !c.Idempotent && !keyChecked(reason) {
		outcome = call.Unknown
	}
	return []Action{Fail{Handle: c.Handle, Outcome: outcome, Reason: reason, RetryAfter: after, Gates: c.attempted}}
}

// keyChecked reports whether a gate refuses with the reason only after it has
// ruled out that an earlier call with the same key and request ran.
func keyChecked(reason call.Reason) bool {
	switch reason {
	case call.ReasonQueueFull, call.ReasonTooLate, call.ReasonRateLimited, call.ReasonRetryBudgetSpent, call.ReasonTargetUnreachable, call.ReasonTargetShed, call.ReasonCancelled, call.ReasonMalformed, call.ReasonKeyReused:
		return true
	default:
		return false
	}
}

func (m *Machine) recordLoad(now time.Time, ep *endpoint, load int) {
	ep.responseLoad = load
	ep.responseLoadAt = now
}

func (m *Machine) countFailure(now time.Time, service string, ep *endpoint) {
	ep.consecutiveFailures++
	if ep.consecutiveFailures >= ejectAfterFailures {
		m.eject(now, service, ep)
	}
}

// eject stops calls to the endpoint for a limited time, unless too many endpoints
// of the service are ejected already.
func (m *Machine) eject(now time.Time, service string, ep *endpoint) {
	ep.consecutiveFailures = 0
	g := m.groups[service]
	if g == nil || now.Before(ep.ejectedUntil) || !g.mayEject(now) {
		return
	}
	ep.ejectedUntil = now.Add(ep.ejectionTime(m.random.Float64()))
	ep.slowStartFrom = ep.ejectedUntil
	ep.ejections++
}
