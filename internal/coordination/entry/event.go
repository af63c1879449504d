// Package entry is the load balancer and retry policy of an entry node. For each
// caller's request it chooses the gate, decides on retries, resolves attempts
// whose connection was lost and determines the outcome for the caller. A call is
// sent again only if it is idempotent or is known not to have run.
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
	// Address is the network address at which the gate accepts calls.
	Address string
	Slots   int
	// Version is the version of the target's software, empty if unknown.
	Version string
}

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// SetEndpoints replaces all endpoints.
type SetEndpoints struct{ Endpoints []Endpoint }

// PeerLoadReceived reports the load that membership last received from a gate.
type PeerLoadReceived struct {
	Endpoint string
	Load     int
	At       time.Time
}

// Begin starts a caller's request.
type Begin struct {
	// Handle identifies the request until its End.
	Handle uint64
	// Service is the service called. If Destinations is not empty, Service is ignored
	// and the calls of Route are distributed over Destinations by weight.
	Service      string
	Route        string
	Destinations []state.Destination
	// Idempotent says that running the call twice has the same effect as once.
	Idempotent bool
	Deadline   time.Time
	// SoftDeadline is when a response is wanted; zero means the Deadline. Tenant and Nested are
	// those of the call. They are used with Options.ExpectedTime only.
	SoftDeadline time.Time
	Tenant       string
	Nested       bool
	// Repeated says that the run that made the call is a repeat, so that the call is one too.
	Repeated bool
	// MaxAttempts is the maximum number of attempts, not counting retries that take no
	// token of the retry budget.
	MaxAttempts int
	// Key is the idempotency key, or empty. All calls with one key go to the key's
	// primary gate.
	Key string
}

// ResponseReceived reports a response that is intact so far; a part of its body may
// still be on the way.
type ResponseReceived struct {
	Handle uint64
	// From is the ID of the endpoint that responded, if that may be another one than that of
	// the last attempt; empty otherwise.
	From string
	// Failed marks a response with which the target reports that it cannot serve
	// requests, such as status 502, 503 or 504.
	Failed bool
	// ServiceTime is the time that the target takes at present for calls of the route; 0 if it
	// is not known.
	ServiceTime time.Duration
	// LostShare is the part of the target's recent runs that ended without a whole response.
	LostShare float64
	// ServerError marks a response with a status of 500 or above.
	ServerError bool
	Load        int
	// TargetReport is what the gate's target states, or nil if the gate knows of
	// nothing that it ever stated.
	TargetReport *call.TargetReport
}

// Refused reports that the gate sent the attempt's outcome instead of a response,
// either to the attempt itself or to a Resolve.
type Refused struct {
	Handle     uint64
	Outcome    call.Outcome
	Reason     call.Reason
	RetryAfter time.Duration
	Load       int
	// ServiceTime and LostShare are as in ResponseReceived.
	ServiceTime time.Duration
	LostShare   float64
	// TargetReport is as in ResponseReceived.
	TargetReport *call.TargetReport
	// BodyConsumed says that a part of the request body is consumed, so that the call
	// cannot be sent again.
	BodyConsumed bool
}

// NotSent reports that no byte of the attempt, or of the Resolve for it, left this
// node.
type NotSent struct {
	Handle uint64
	// ConnectionLimitReached says that this node already has as many connections to
	// the gate as it may open.
	ConnectionLimitReached bool
	// Silent says that a connection was open, and that the gate did not respond on it within the
	// silence timeout.
	Silent bool
	// GateReached says that the gate could have taken the call, which was not sent because
	// its caller has left or its time is over.
	GateReached bool
}

// ConnectionLost reports that the connection of an attempt, or of the Resolve for
// it, broke or went silent after sending.
type ConnectionLost struct {
	Handle uint64
	// Silent says that the connection was open when the silence timeout ended.
	Silent bool
	// BodyConsumed is as in Refused.
	BodyConsumed bool
}

// GiveUp ends the request instead of the Send or Wait that Step returned last: no
// further attempt is made, because this node is shutting down or for another Reason. A node that
// shuts down still asks for the response of an attempt that may run.
type GiveUp struct {
	Handle uint64
	Reason call.Reason
	// RetryAfter is when to send the request again if it was not run; 0 is the delay of a
	// node that shuts down.
	RetryAfter time.Duration
}

// Resume reports that the time of a Wait has passed.
type Resume struct{ Handle uint64 }

// End removes the request. It follows a response, a Fail or the caller's
// disconnect.
type End struct{ Handle uint64 }

func (SetEndpoints) isEvent()     {}
func (PeerLoadReceived) isEvent() {}
func (Begin) isEvent()            {}
func (ResponseReceived) isEvent() {}
func (Refused) isEvent()          {}
func (NotSent) isEvent()          {}
func (ConnectionLost) isEvent()   {}
func (GiveUp) isEvent()           {}
func (Resume) isEvent()           {}
func (End) isEvent()              {}

// Action is an output of Machine.Step. Each event of a request returns at most one
// action.
type Action interface{ isAction() }

// Send sends the call to a gate as a new attempt.
type Send struct {
	Handle   uint64
	ID       call.ID
	Endpoint Endpoint
	// AttemptsLeft is how many further attempts the call may have after this one.
	AttemptsLeft int
	// NewConnection requires a new connection, because the last connection to the
	// gate was lost and pooled ones may be broken too.
	NewConnection bool
	// RequireSoftDeadline tells the gate to refuse the call unless it expects to meet
	// the call's soft deadline.
	RequireSoftDeadline bool
	// Repeat says whether the call may have reached a target before.
	Repeat call.Repeat
	// RetriedIfLost says that the call will most likely be sent to another gate if the
	// connection is lost, so that this gate need not continue the run.
	RetriedIfLost bool
	// TargetReport is what this entry last learned of the gate's target, or nil if the
	// target states nothing. A gate that has just restarted does not know it.
	TargetReport *call.TargetReport
}

// Resolve asks the gate over a new connection for the response of an attempt whose
// connection was lost. If the attempt has not started, the gate fences it: it will
// never run.
type Resolve struct {
	Handle   uint64
	ID       call.ID
	Endpoint Endpoint
}

// Wait requires a Resume after the given time.
type Wait struct {
	Handle uint64
	For    time.Duration
}

// Fail ends the request with an outcome instead of a response.
type Fail struct {
	Handle     uint64
	Outcome    call.Outcome
	Reason     call.Reason
	RetryAfter time.Duration
	// Gates lists the IDs of the gates of all attempts, in order.
	Gates []string
}

func (Send) isAction()    {}
func (Resolve) isAction() {}
func (Wait) isAction()    {}
func (Fail) isAction()    {}
