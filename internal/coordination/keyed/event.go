// Package keyed decides whether a gate may run a non-idempotent call that
// carries an idempotency key. It guarantees that, after the admission of a call that
// runs, no other call with its key runs within the retention (Options.Retention).
// Before it runs such a call, a gate claims the key: it asks other gates of the
// service to record its claim. The three gates that rank highest for the key by
// rendezvous hash are the key's candidate set. As member tables can differ, so can
// the sets that gates derive from them: a gate runs the call only once a majority of
// every candidate set that a serving gate may derive has recorded its claim.
//
// The guarantee requires that at least one running gate process has been up for the
// whole retention, or since the service was first started.
package keyed

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Gate is one gate of the service with its process incarnation.
type Gate struct {
	ID          string
	Incarnation uint64
	// Running is false for a gate that is dead or has left.
	Running bool
}

// SetGates replaces the list of the service's gates with those of the member
// table, dead ones included.
type SetGates struct{ Gates []Gate }

// Admit asks whether the call may be passed on to the state machine of package gate.
// Admitted or Refused follows.
type Admit struct {
	// Token identifies the call in the decision; each is used once.
	Token uint64
	Key   string
	// RefusesCalls is true while this gate starts no calls. Unless it has claimed the
	// key or is claiming it, such a call is admitted without a claim, for package gate
	// to refuse.
	RefusesCalls bool
}

// ResponseReceived reports the response to a SendRequest.
type ResponseReceived struct {
	// Serial is the Serial of the SendRequest, and From its To.
	Serial uint64
	From   string
	// Kind is the Kind of the SendRequest's Request.
	Kind     Kind
	Response Response
}

// RequestFailed reports that a SendRequest got no response.
type RequestFailed struct {
	// Serial is the Serial of the SendRequest, and From its To.
	Serial uint64
	From   string
	// Kind is the Kind of the SendRequest's Request.
	Kind Kind
}

// RequestReceived reports a request from another gate. The same step returns the
// SendResponse.
type RequestReceived struct {
	// Token is copied to the SendResponse.
	Token   uint64
	Request Request
}

// Release reports that an admitted call was not run and never will be.
type Release struct {
	Key    string
	Serial uint64
}

// Leave reports that this gate is draining: it starts no further calls and is about
// to stop. The machine hands its claims over to the other gates; HandedOver follows.
// From now on it declines Record requests and admits new keys without a claim, for
// package gate to refuse.
type Leave struct{}

// Tick advances the machine's clock without another event.
type Tick struct{}

func (Leave) isEvent()            {}
func (SetGates) isEvent()         {}
func (Admit) isEvent()            {}
func (ResponseReceived) isEvent() {}
func (RequestFailed) isEvent()    {}
func (RequestReceived) isEvent()  {}
func (Release) isEvent()          {}
func (Tick) isEvent()             {}

// Kind is the operation that a Request asks for.
type Kind uint32

// Kinds of requests.
const (
	// Record records the claim unless another claim holds the key.
	Record Kind = 1
	// Withdraw removes the claim: its call was not run and never will be.
	Withdraw Kind = 2
	// Confirm asks the claimant whether it still holds the claim.
	Confirm Kind = 3
	// SyncHistory exchanges gate histories once the sender's startup period is over:
	// which gates joined, left or restarted within the retention.
	SyncHistory Kind = 4
	// HandOver transfers the claims that a draining gate knows: its own, and those
	// that it recorded for other gates.
	HandOver Kind = 5
)

// ClaimID identifies one claim. Serials grow within one incarnation of a gate.
type ClaimID struct {
	Gate        string
	Incarnation uint64
	Serial      uint64
}

// Request is a message from one gate to another, in most cases about one key.
type Request struct {
	Kind Kind
	Key  string
	// ClaimID is the claim that the request is about. In a HandOver it identifies
	// the draining gate's process, with Serial 0.
	ClaimID ClaimID
	// Released is an earlier claim on the key that its claimant has released.
	// The receiver may replace it.
	Released ClaimID
	// ToIncarnation is the incarnation of the receiver; another one declines the
	// request.
	ToIncarnation uint64
	// History is what the sender knows of the key's candidates, in a Record, or of all
	// gates that joined, left or restarted within the retention, in a SyncHistory.
	History []GateHistory
	// Claims holds the claims of a HandOver. Last is set on its final message if the
	// draining gate has now sent every claim that was recorded at it within the
	// retention.
	Claims []HandedClaim
	Last   bool
}

// HandedClaim is a claim that a draining gate hands over.
type HandedClaim struct {
	Key string
	// ClaimID is zero for a contested claim.
	ClaimID ClaimID
	// Age is the time since the claim was recorded.
	Age time.Duration
}

// State is the result of a Request.
type State uint32

// Results of a Request.
const (
	// Recorded means that the sender's claim is recorded, or that a HandOver or
	// SyncHistory was processed.
	Recorded State = 1
	// Held is the response to a Record if another claim or a contested one is recorded
	// for the key, and to a Confirm if the claim is pending or recorded at its claimant,
	// or the key is contested there.
	Held State = 2
	// NotHeld is the claimant's response to a Confirm if the claim was released or has
	// expired there and never holds the key again. It is also every gate's response to a
	// Withdraw, which the sender ignores.
	NotHeld State = 3
	// Declined means that the request was addressed to another incarnation, or that a
	// Record reached a gate that has started its handover.
	Declined State = 4
)

// Response is the response to a Request.
type Response struct {
	State State
	// ClaimID is the claim recorded for the key, if a Record returned Held or Recorded;
	// it may be zero if that claim is contested. If a Confirm returned Held, it is the
	// request's ClaimID.
	ClaimID ClaimID
	// History is what the responder knows; otherwise it is as in Request.
	History []GateHistory
}

// GateHistory describes when a gate last joined, left or restarted, as another gate
// knows it.
type GateHistory struct {
	Gate Gate
	// SinceMembershipChange is the time since the gate joined or left; 0 if that was
	// longer ago than the retention.
	SinceMembershipChange time.Duration
	// SinceRestart is the time since a later incarnation of the gate appeared, which
	// does not have the earlier one's claims; 0 if there was none within the
	// retention.
	SinceRestart time.Duration
}

// Action is an output of Machine.Step.
type Action interface{ isAction() }

// SendRequest sends a request to the gate To. ResponseReceived or RequestFailed
// follows, except for a Withdraw.
type SendRequest struct {
	// Serial is the serial of the claim that waits for the response; 0 if none
	// does.
	Serial  uint64
	To      string
	Request Request
}

// Admitted passes the call on to the state machine of package gate, which may still
// refuse it.
type Admitted struct {
	Token uint64
	// Serial is the serial of the new claim, for a Release; 0 if there is none. It is
	// not for a Release if ReplayOnly is set: the claim is then another call's.
	Serial uint64
	// ReplayOnly is true if this gate has claimed the key for another call: the gate
	// may replay that call's response, but must not run the call again.
	ReplayOnly bool
}

// Refused ends the call without running it.
type Refused struct {
	Token   uint64
	Outcome call.Outcome
	Reason  call.Reason
	// Candidates explains a refusal with ReasonKeyUncertain after a claim attempt.
	Candidates []Candidate
}

// Candidate is a gate that may have recorded an earlier claim on the key, with what
// became of the refused call's claim at that gate.
type Candidate struct {
	GateHistory
	// Recorded is true if the gate recorded the refused call's claim, and NoResponse if
	// at least one request to it got no response.
	Recorded, NoResponse bool
}

// SendResponse sends the response to a RequestReceived.
type SendResponse struct {
	Token    uint64
	Response Response
}

// HandedOver reports that the handover has ended: every running gate has received
// this gate's claims, or could not be reached or declined.
type HandedOver struct{}

func (HandedOver) isAction()   {}
func (SendRequest) isAction()  {}
func (Admitted) isAction()     {}
func (Refused) isAction()      {}
func (SendResponse) isAction() {}
