// Package call holds what the entry's and the gate's decisions share: the name
// of an attempt, its outcome, and the reasons of refusals.
package call

// ID names one attempt of one call. Counters of one entry incarnation only
// grow, and an ID is sent at most once.
type ID struct {
	// Entry is the node that the caller's request came to.
	Entry string
	// Incarnation is the entry's process incarnation.
	Incarnation uint64
	Counter     uint64
}

// Outcome is what is known of an attempt.
type Outcome uint8

// Outcomes of an attempt. The zero value means that the target answered.
const (
	Answered Outcome = 0
	// NotRun says that the target did not get the call and never will.
	NotRun Outcome = 1
	// Running says that the target has the call.
	Running Outcome = 2
	// Done says that the target finished and its answer is kept.
	Done Outcome = 3
	// Unknown says that it cannot be learned whether the target ran the call.
	Unknown Outcome = 4
	// Ran says that the target ran the call and its answer is lost.
	Ran Outcome = 5
)

// String returns the outcome as it stands in the outcome header.
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

// Reason says why an attempt has no answer.
type Reason string

// Reasons.
const (
	ReasonQueueFull            Reason = "queue-full"
	ReasonTooLate              Reason = "too-late"
	ReasonLeaving              Reason = "leaving"
	ReasonNoTarget             Reason = "no-target"
	ReasonFenced               Reason = "fenced"
	ReasonLateArrival          Reason = "late-arrival"
	ReasonGateRestarted        Reason = "gate-restarted"
	ReasonCancelled            Reason = "cancelled"
	ReasonUnreachable          Reason = "unreachable"
	ReasonConnectionLost       Reason = "connection-lost"
	ReasonTargetConnectionLost Reason = "target-connection-lost"
	ReasonTargetUnreachable    Reason = "target-unreachable"
	// ReasonTargetShed says that the target told that it did not run the call.
	ReasonTargetShed       Reason = "target-shed"
	ReasonDeadline         Reason = "deadline"
	ReasonNoEndpoint       Reason = "no-endpoint"
	ReasonRetryBudgetSpent Reason = "retry-budget-spent"
	ReasonAnswerTooLarge   Reason = "answer-too-large"
	ReasonKeyReused        Reason = "key-reused"
	ReasonMalformed        Reason = "malformed"
	// ReasonKeyClaimed says that another gate holds the idempotency key.
	ReasonKeyClaimed Reason = "key-claimed"
	// ReasonKeyUncertain says that the gates that may know of an earlier call
	// with the key cannot be asked.
	ReasonKeyUncertain Reason = "key-uncertain"
)
