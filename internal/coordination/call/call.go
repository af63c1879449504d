// Package call defines the types that the entry and gate state machines share:
// the ID of an attempt, its outcome, and the reason why it has no response.
package call

// ID identifies one attempt of one call. Counters of one entry incarnation
// strictly increase, and an ID is sent at most once.
type ID struct {
	// Entry is the ID of the node that received the caller's request.
	Entry string
	// Incarnation is the entry's process incarnation.
	Incarnation uint64
	Counter     uint64
}

// Outcome is the known state of an attempt at the target. Its values are sent
// on the wire.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Answered means that the target responded.
	Answered Outcome = 0
	// NotRun means that the target did not run the call and never will.
	NotRun Outcome = 1
	// Running means that the call was started and has not finished.
	Running Outcome = 2
	// Done means that the call finished and the gate retains its response.
	Done Outcome = 3
	// Unknown means that the gate cannot determine whether the target ran the
	// call.
	Unknown Outcome = 4
	// Ran means that the target ran the call and its response is not available.
	Ran Outcome = 5
)

// String returns the outcome as written in the outcome header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Running:
		return "running"
	case Done:
		return "done"
	case Unknown:
		return "outcome-unknown"
	case Ran:
		return "ran"
	default:
		return "answered"
	}
}

// Repeat says whether an attempt may be more than the first arrival of its call at a
// target, and why. Its values are sent on the wire.
type Repeat uint8

// Kinds of attempts.
const (
	// First means that no attempt of the call can have reached a target before.
	First Repeat = 0
	// Retried means that an attempt before may have reached a target.
	Retried Repeat = 1
	// Inherited is the First of a call made by a run that is itself a repeat.
	Inherited Repeat = 2
	// Resent means that the gate itself sent the call once more. It is not sent on the
	// wire.
	Resent Repeat = 3
)

// String returns the kind as written in metrics.
func (r Repeat) String() string {
	switch r {
	case First:
		return "first"
	case Inherited:
		return "inherited"
	case Resent:
		return "resent"
	default:
		return "retried"
	}
}

// Reason is why an attempt has no response. Its values are sent on the wire and
// reported to callers.
type Reason string

// Reasons.
const (
	ReasonQueueFull Reason = "queue-full"
	// ReasonTooLate means that the call did not start in time, or was not expected
	// to start or to be answered in time.
	ReasonTooLate Reason = "too-late"
	// ReasonRateLimited means that the target's rate limit does not allow the call in
	// time.
	ReasonRateLimited Reason = "rate-limited"
	// ReasonLeaving means that the entry, the gate or the target is draining.
	ReasonLeaving Reason = "leaving"
	// ReasonOutlastsGate means that the call may last longer than its gate, which is about to stop and
	// still takes calls that end before.
	ReasonOutlastsGate Reason = "outlasts-gate"
	ReasonNoTarget     Reason = "no-target"
	// ReasonFenced means that the gate's node has lost contact with the fleet and
	// takes no calls.
	ReasonFenced Reason = "fenced"
	// ReasonLateArrival means that the gate cannot accept the attempt's ID: it was
	// received or fenced before, or is too old.
	ReasonLateArrival Reason = "late-arrival"
	// ReasonGateRestarted means that the call was sent to an earlier or later process
	// of the gate.
	ReasonGateRestarted Reason = "gate-restarted"
	// ReasonCancelled means that the call was cancelled: the caller disconnected,
	// its body could not be read, the entry's connection was lost, a Resolve fenced
	// the queued call, or the gate's node stopped.
	ReasonCancelled Reason = "cancelled"
	// ReasonUnreachable means that the entry could not send the call to the gate.
	ReasonUnreachable Reason = "unreachable"
	// ReasonConnectionLost means that the entry lost the connection to the gate, or
	// that the gate retains no response or record of the call. It also ends a request
	// that fails after an earlier attempt of unknown outcome.
	ReasonConnectionLost Reason = "connection-lost"
	// ReasonTargetConnectionLost means that the call was sent to the target, and
	// either its connection was lost before the response was complete or the response
	// could not be taken as one to this call.
	ReasonTargetConnectionLost Reason = "target-connection-lost"
	// ReasonTargetUnreachable means that the gate could not send the call to the
	// target.
	ReasonTargetUnreachable Reason = "target-unreachable"
	// ReasonTargetShed means that the target reported that it did not run the call
	// (gate.RejectedByTarget).
	ReasonTargetShed Reason = "target-shed"
	// ReasonDeadline means that the deadline passed after the call was started, or
	// while the gate's host was suspended.
	ReasonDeadline   Reason = "deadline"
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonRetryBudgetSpent means that the gate allows no further repeat (Repeat) at its
	// target for now. A request whose entry has no retry token fails with the reason of its last
	// refusal, or with ReasonConnectionLost.
	ReasonRetryBudgetSpent Reason = "retry-budget-spent"
	ReasonAnswerTooLarge   Reason = "answer-too-large"
	ReasonKeyReused        Reason = "key-reused"
	// ReasonUnauthorized means that the request has no known API key, or none any more.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonKeysUnconfirmed means that the node cannot exclude that the request's API key was
	// removed, because it has no contact.
	ReasonKeysUnconfirmed Reason = "keys-unconfirmed"
	// ReasonKeyNotKnownYet means that the node does not know the request's API key and lacks the newest
	// configuration, which may have it.
	ReasonKeyNotKnownYet Reason = "key-not-known-yet"
	// ReasonQuarantined means that targets crashed under the same request, which is refused
	// until its quarantine ends.
	ReasonQuarantined Reason = "quarantined"
	ReasonMalformed   Reason = "malformed"
	// ReasonKeyClaimed means that another gate, or an earlier incarnation of this
	// one, may have claimed the idempotency key: a conflicting claim is recorded and
	// was not confirmed as released, or claims are contested.
	ReasonKeyClaimed Reason = "key-claimed"
	// ReasonKeyUncertain means that the gate cannot rule out an earlier call with the
	// key: it does not have the gates' histories yet, gates that may know of such a
	// call cannot be queried, or this gate has too many keyed calls waiting.
	// The gate reports it with NotRun if it tried no claim and with Unknown
	// otherwise; the entry reports an unknown outcome for both.
	ReasonKeyUncertain Reason = "key-uncertain"
)
