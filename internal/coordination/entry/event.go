// Package entry decides where a caller's request goes: which gate gets it, when
// it is tried again, what is asked after a lost connection, and what the caller
// is told. A call is sent again only when it is idempotent or known not to have
// run.
package entry

import (
	"time"

	"jasminegate/internal/coordination/call"
	"jasminegate/internal/state"
)

// Endpoint is a gate and the target beside it.
type Endpoint struct {
	ID          string
	Incarnation uint64
	Service     string
	Domain      string
	// Address is where the gate takes calls.
	Address string
	Slots   int
}

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// SetEndpoints replaces all endpoints.
type SetEndpoints struct{ Endpoints []Endpoint }

// Probed tells the load that membership heard of a gate.
type Probed struct {
	Endpoint string
	Load     int
	At       time.Time
}

// Begin says that a caller's request came in.
type Begin struct {
	// Handle names the request until its End.
	Handle uint64
	// Service answers the request, unless Destinations share the calls of Route.
	Service      string
	Route        string
	Destinations []state.Destination
	// Idempotent says that running the call twice does no harm.
	Idempotent bool
	Deadline   time.Time
	// MaxAttempts bounds how often the call is sent to a gate.
	MaxAttempts int
	// Key is the idempotency key; all calls with it go to one gate.
	Key string
}

// ResponseReceived says that an answer came, so far whole.
type ResponseReceived struct {
	Handle uint64
	// Failed marks an answer by which a target says that it cannot work, such as
	// 502, 503 and 504.
	Failed bool
	Load   int
}

// Refused says that the gate told the call's outcome in place of an answer.
type Refused struct {
	Handle     uint64
	Outcome    call.Outcome
	Reason     call.Reason
	RetryAfter time.Duration
	Load       int
	// BodyConsumed says that a part of the body is gone, so that the call cannot be
	// sent again.
	BodyConsumed bool
}

// NotSent says that no byte of the attempt left this node.
type NotSent struct {
	Handle uint64
	// ConnectionLimitReached says that this node's bound of connections is the cause.
	ConnectionLimitReached bool
}

// ConnectionLost says that the connection broke or went silent after sending.
type ConnectionLost struct {
	Handle uint64
	// BodyConsumed is as in Refused.
	BodyConsumed bool
}

// GiveUp ends the request in place of a further attempt.
type GiveUp struct {
	Handle uint64
	Reason call.Reason
}

// Resume ends a Wait.
type Resume struct{ Handle uint64 }

// End forgets the request. It follows an answer, a Fail, or the caller leaving.
type End struct{ Handle uint64 }

func (SetEndpoints) isEvent()     {}
func (Probed) isEvent()           {}
func (Begin) isEvent()            {}
func (ResponseReceived) isEvent() {}
func (Refused) isEvent()          {}
func (NotSent) isEvent()          {}
func (ConnectionLost) isEvent()   {}
func (GiveUp) isEvent()           {}
func (Resume) isEvent()           {}
func (End) isEvent()              {}

// Action is an output of Machine.Step. Each event of a request gives at most
// one action for it.
type Action interface{ isAction() }

// Send sends the call to a gate as a new attempt.
type Send struct {
	Handle   uint64
	ID       call.ID
	Endpoint Endpoint
	// AttemptsLeft is how often the call may be sent again after this attempt.
	AttemptsLeft int
	// NewConnection asks for a new connection, because older ones to the gate are in
	// doubt.
	NewConnection bool
	// RequireSoftDeadline says that the gate shall take the call only if it expects to answer it
	// within its aim.
	RequireSoftDeadline bool
}

// Resolve asks the gate over a new connection for the answer of an attempt
// whose connection was lost, or that it is fenced.
type Resolve struct {
	Handle   uint64
	ID       call.ID
	Endpoint Endpoint
}

// Wait calls for a Resume after the time.
type Wait struct {
	Handle uint64
	For    time.Duration
}

// Fail tells the caller the outcome in place of an answer.
type Fail struct {
	Handle     uint64
	Outcome    call.Outcome
	Reason     call.Reason
	RetryAfter time.Duration
	// Gates are those that had an attempt, in order.
	Gates []string
}

func (Send) isAction()    {}
func (Resolve) isAction() {}
func (Wait) isAction()    {}
func (Fail) isAction()    {}
