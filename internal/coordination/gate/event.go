// Package gate decides which calls run at the target beside this node. It keeps
// the exact number of running calls, a short queue of two classes, and the
// record of what was started, so that a refusal is a fact and not a guess.
package gate

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Arrive says that a call came in.
type Arrive struct {
	ID call.ID
	// GateIncarnation is the gate incarnation that the call is meant for.
	GateIncarnation uint64
	Background      bool
	// Nested says that a running request made the call: its parent holds a slot
	// elsewhere until the answer comes.
	Nested bool
	// Priority ranks the calls of one class; 0 is the most urgent.
	Priority   int
	Idempotent bool
	// Route names the calls whose service times are alike.
	Route string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// SoftDeadline is by when an answer is wanted; zero is the Deadline.
	SoftDeadline time.Time
	// RequireSoftDeadline refuses the call when its answer is not expected by its Aim: the entry
	// looks for a gate that can do better.
	RequireSoftDeadline bool
	// Key is the caller's idempotency key; empty has none.
	Key string
	// Fingerprint is the hash of the request that the key stands for.
	Fingerprint uint64
	// ReplayOnly says that a call with the key was admitted before: this one gets its
	// answer or none, and is never started.
	ReplayOnly bool
	// RefuseReason is set when the call must not run for a reason outside the machine.
	RefuseReason call.Reason
}

// Result is how a started call ended.
type Result uint8

// Results.
const (
	// Completed means that the target's answer is whole.
	Completed Result = 1
	// Shed means that the target answered that it is overloaded.
	Shed Result = 2
	// Failed means that the target took the call and gave no whole answer.
	Failed Result = 3
	// NotSent means that no byte of the call reached the target.
	NotSent Result = 4
	// RunCancelled means that the call was cancelled.
	RunCancelled Result = 5
	// DeadlineExceeded means that the target gave no answer before the deadline.
	DeadlineExceeded Result = 6
	// RejectedByTarget means that the target told that it did not run the call.
	RejectedByTarget Result = 7
)

// Finished says that a started call ended.
type Finished struct {
	ID     call.ID
	Result Result
	// RetainedBytes is the size of the answer that is held for the entry; a
	// negative number means that it is not held.
	RetainedBytes int64
}

// Cancelled says that the caller no longer wants the call.
type Cancelled struct{ ID call.ID }

// CancelledIfQueued says that the call must not start any more, because its entry is
// leaving. A running one goes on.
type CancelledIfQueued struct{ ID call.ID }

// Disconnected says that the connection that the call came over is gone.
type Disconnected struct{ ID call.ID }

// Resolve asks what became of a call. A call that is unknown or waits is
// fenced: it will never run.
type Resolve struct {
	ID              call.ID
	GateIncarnation uint64
	Token           uint64
}

// SetTarget tells what the target announced and its service allows.
type SetTarget struct {
	Slots        int
	QueueLength  int
	QueueTimeout time.Duration
	// FixedLimit says that the slots are exact: as many calls run as there are,
	// whatever the answers' times tell.
	FixedLimit bool
	// Ready is false while the target is absent or draining.
	Ready bool
}

// Drain refuses all calls from now on.
type Drain struct{}

// Tick lets time pass.
type Tick struct{}

func (Arrive) isEvent()            {}
func (Finished) isEvent()          {}
func (Cancelled) isEvent()         {}
func (CancelledIfQueued) isEvent() {}
func (Disconnected) isEvent()      {}
func (Resolve) isEvent()           {}
func (SetTarget) isEvent()         {}
func (Drain) isEvent()             {}
func (Tick) isEvent()              {}

// Action is an output of Machine.Step.
type Action interface{ isAction() }

// Start runs the call at the target.
type Start struct{ ID call.ID }

// Refuse tells the entry that the call has no answer. Outcome is NotRun except
// for an ID that the gate can no longer tell about.
type Refuse struct {
	ID         call.ID
	Outcome    call.Outcome
	Reason     call.Reason
	RetryAfter time.Duration
}

// Attach gives the call the answer of an earlier call with the same key.
type Attach struct{ ID, To call.ID }

// Cancel ends the call at the target.
type Cancel struct{ ID call.ID }

// Resolved answers a Resolve.
type Resolved struct {
	ID      call.ID
	Token   uint64
	Outcome call.Outcome
}

// Evict drops the kept answer of a call.
type Evict struct{ ID call.ID }

func (Start) isAction()    {}
func (Refuse) isAction()   {}
func (Attach) isAction()   {}
func (Cancel) isAction()   {}
func (Resolved) isAction() {}
func (Evict) isAction()    {}
