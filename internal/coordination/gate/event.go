// Package gate is the admission control for the target beside this node. It
// counts the running calls, queues a few more in two traffic classes, and records
// which calls were started, so that it can state for certain that a refused call
// did not run.
package gate

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Arrive reports a new call.
type Arrive struct {
	ID call.ID
	// GateIncarnation is the gate incarnation that the call was sent to.
	GateIncarnation uint64
	Background      bool
	// Nested means that a request running at the target beside the entry made the
	// call: that request occupies a slot there until this call gets its response.
	Nested bool
	// Priority orders the calls of one traffic class; 0 is the most urgent.
	Priority   int
	Idempotent bool
	// Route groups calls with similar service times.
	Route string
	// Tenant is the tenant on whose behalf the call is made; empty if there is none.
	Tenant string
	// Deadline is the hard deadline: the earlier of the caller's and the end of the
	// route's timeout.
	Deadline time.Time
	// SoftDeadline is the time by which a response is wanted. The zero time means
	// that there is only the Deadline.
	SoftDeadline time.Time
	// RequireSoftDeadline refuses the call if its response is not expected by the
	// soft deadline; the entry then tries another gate.
	RequireSoftDeadline bool
	// Key is the caller's idempotency key; empty means none.
	Key string
	// Fingerprint is the hash of this request. A call with the key of an earlier call
	// but another fingerprint is refused with call.ReasonKeyReused.
	Fingerprint uint64
	// ReplayOnly means that this gate has claimed the key for an earlier call; see
	// keyed.Admitted. This call gets the earlier call's response or none, and is never
	// started.
	ReplayOnly bool
	// RetriedIfLost means that the entry sends an idempotent call to another gate if its
	// connection is lost.
	RetriedIfLost bool
	// RefuseReason, if not empty, refuses the call for a reason outside the machine.
	RefuseReason call.Reason
}

// Result is how a started call ended.
type Result uint8

// Results of started calls.
const (
	// Completed means that the target's complete response was received.
	Completed Result = 1
	// Shed means that the target responded with status 503, which is passed on to the
	// caller, because the contract has no header by which a target reports a call as
	// not run. With such a header, a call with status 503 is either RejectedByTarget,
	// with call.ReasonTargetShed, or Failed.
	Shed Result = 2
	// Failed means that the call was sent and no complete response can be passed on:
	// the connection was lost, or the response was too large or did not belong to the
	// call.
	Failed Result = 3
	// NotSent means that no byte of the call reached the target.
	NotSent Result = 4
	// RunCancelled means that the call was cancelled after it was started.
	RunCancelled Result = 5
	// DeadlineExceeded means that the deadline passed before the target's complete
	// response was received, or that the call was cancelled while a part of the
	// response waited for room in the response buffer.
	DeadlineExceeded Result = 6
	// RejectedByTarget means that the target reported that it did not run the call.
	RejectedByTarget Result = 7
)

// Finished reports that a started call ended.
type Finished struct {
	ID     call.ID
	Result Result
	// RetainedBytes is the size of the response that is retained for the entry; a
	// negative value means that no response is retained.
	RetainedBytes int64
}

// Cancelled reports that the caller cancelled the call.
type Cancelled struct{ ID call.ID }

// CancelledIfQueued reports that the entry is draining: the call is cancelled if it
// is queued. A running call continues.
type CancelledIfQueued struct{ ID call.ID }

// Disconnected reports that the connection over which the call arrived, or over which
// its response is fetched, was lost.
type Disconnected struct{ ID call.ID }

// Resolve asks for the outcome of a call. A call that is unknown or queued is
// fenced: it will never run.
type Resolve struct {
	ID call.ID
	// GateIncarnation is the gate incarnation that the call was sent to.
	GateIncarnation uint64
	// Fetch means that the entry then waits for the response of a started call, until
	// Disconnected.
	Fetch bool
	// Token is returned in Resolved.
	Token uint64
}

// SetTarget sets the capacity that the target announced and the queue limits of
// its service.
type SetTarget struct {
	Slots        int
	QueueLength  int
	QueueTimeout time.Duration
	// FixedLimit turns off the adaptive limit, which lowers the number of running
	// calls below Slots when results or latencies indicate overload.
	FixedLimit bool
	// Ready is false while the target is absent or draining. Queued calls are then
	// refused with call.ReasonLeaving, and new calls too, or with call.ReasonNoTarget
	// if Slots is 0.
	Ready bool
}

// SetRateLimit reports the limit that the target names for the calls per second of
// all callers together, or that it names none any more.
type SetRateLimit struct {
	Limited   bool
	PerSecond float64
}

// ForgetRateLimit reports that another process of the target has started, which has
// named no limit.
type ForgetRateLimit struct{}

// Resent reports that the call was sent to the target once more without an event of
// the machine, after its connection broke.
type Resent struct{ ID call.ID }

// Drain refuses all queued and new calls from now on. Running calls continue.
type Drain struct{}

// Tick only advances the time, so that queued calls expire; see Machine.NextWake.
type Tick struct{}

func (Arrive) isEvent()            {}
func (Finished) isEvent()          {}
func (Cancelled) isEvent()         {}
func (CancelledIfQueued) isEvent() {}
func (Disconnected) isEvent()      {}
func (Resolve) isEvent()           {}
func (SetTarget) isEvent()         {}
func (SetRateLimit) isEvent()      {}
func (ForgetRateLimit) isEvent()   {}
func (Resent) isEvent()            {}
func (Drain) isEvent()             {}
func (Tick) isEvent()              {}

// Action is an output of Machine.Step.
type Action interface{ isAction() }

// Start asks to run the call at the target.
type Start struct{ ID call.ID }

// Refuse tells the entry that the call gets no response. Outcome is NotRun unless
// the call may have run: Unknown, or Ran if the response was not retained.
type Refuse struct {
	ID         call.ID
	Outcome    call.Outcome
	Reason     call.Reason
	RetryAfter time.Duration
}

// Attach gives the call the response of the earlier call To, which has the same
// idempotency key.
type Attach struct{ ID, To call.ID }

// Cancel asks to cancel the running call at the target.
type Cancel struct{ ID call.ID }

// Resolved returns the outcome for the Resolve with the same Token.
type Resolved struct {
	ID      call.ID
	Token   uint64
	Outcome call.Outcome
}

// Evict drops the call and its retained response.
type Evict struct{ ID call.ID }

func (Start) isAction()    {}
func (Refuse) isAction()   {}
func (Attach) isAction()   {}
func (Cancel) isAction()   {}
func (Resolved) isAction() {}
func (Evict) isAction()    {}
