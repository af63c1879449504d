// Package keyed decides whether a gate may run a non-idempotent call that
// carries an idempotency key. The key's candidates are the first gates of its
// service by rendezvous hash; a gate runs the call only once a majority of every
// candidate set that a serving gate may hold has recorded its claim.
package keyed

import (
	"time"

	"jasminegate/internal/coordination/call"
)

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Gate is one gate of the service.
type Gate struct {
	ID          string
	Incarnation uint64
	// Running is false for a gate that is dead or has left.
	Running bool
}

// SetGates tells the service's gates that the member table holds, dead ones
// included.
type SetGates struct{ Gates []Gate }

// Admit asks whether the call may be handed to the gate's machine.
type Admit struct {
	// Token names the call; each is used once.
	Token uint64
	Key   string
	// RefusesCalls says that the gate will start nothing.
	RefusesCalls bool
}

// ResponseReceived is the answer to an Ask. Its Serial and From are those of the Ask.
type ResponseReceived struct {
	Serial uint64
	From   string
	// Kind is that of the Ask's Request.
	Kind     Kind
	Response Response
}

// RequestFailed says that an Ask got no answer.
type RequestFailed struct {
	Serial uint64
	From   string
	// Kind is that of the Ask's Request.
	Kind Kind
}

// RequestReceived is another gate's question; a Reply follows at once.
type RequestReceived struct {
	Token   uint64
	Request Request
}

// Release says that the admitted call was not run and never will be.
type Release struct {
	Key    string
	Serial uint64
}

// Leave says that this gate starts no further call and is about to end. It hands
// its claims over; HandedOver follows.
type Leave struct{}

// Tick lets time pass.
type Tick struct{}

func (Leave) isEvent()            {}
func (SetGates) isEvent()         {}
func (Admit) isEvent()            {}
func (ResponseReceived) isEvent() {}
func (RequestFailed) isEvent()    {}
func (RequestReceived) isEvent()  {}
func (Release) isEvent()          {}
func (Tick) isEvent()             {}

// Kind says what a Request wants.
type Kind uint32

// Kinds of requests.
const (
	// Record records the claim unless another holds the key.
	Record Kind = 1
	// Withdraw drops the claim, which was not and will not be used.
	Withdraw Kind = 2
	// Confirm asks the claimant itself whether it still holds the claim.
	Confirm Kind = 3
	// SyncHistory asks a gate, on behalf of one that has just started, for all that
	// it knows of gates that came, went or restarted.
	SyncHistory Kind = 4
	// HandOver brings claims that a leaving gate knows of, its own and those that
	// it recorded.
	HandOver Kind = 5
)

// ClaimID names one claim. Serials of one incarnation only grow.
type ClaimID struct {
	Gate        string
	Incarnation uint64
	Serial      uint64
}

// Request is what one gate asks another about a key.
type Request struct {
	Kind    Kind
	Key     string
	ClaimID ClaimID
	// Released is a claim that its claimant said it does not hold any more.
	Released ClaimID
	// ToIncarnation is the process that the question is meant for.
	ToIncarnation uint64
	History       []GateHistory
	// Claims are the claims of a HandOver; Last says that the leaving gate, which
	// Holder names, knows of no others.
	Claims []HandedClaim
	Last   bool
}

// HandedClaim is a claim that a leaving gate knows of.
type HandedClaim struct {
	Key string
	// ClaimID is empty for a contested claim.
	ClaimID ClaimID
	// Age is how long ago the claim was recorded.
	Age time.Duration
}

// State is what a gate tells about a key.
type State uint32

// States.
const (
	// Recorded says that the asker's claim is recorded.
	Recorded State = 1
	// Held says that Holder has the key.
	Held State = 2
	// NotHeld says that the claimant does not hold the claim and never will.
	NotHeld State = 3
	// Declined says that the question was meant for another process, or for one
	// that records nothing any more because it leaves.
	Declined State = 4
)

// Response answers a Request.
type Response struct {
	State   State
	ClaimID ClaimID
	History []GateHistory
}

// GateHistory is what one gate tells another of a third one.
type GateHistory struct {
	Gate Gate
	// SinceMembershipChange and LostMemory are how long ago the gate came or went, and a later
	// process of it appeared; zero is not within the retention.
	SinceMembershipChange time.Duration
	SinceRestart          time.Duration
}

// Action is an output of Machine.Step.
type Action interface{ isAction() }

// SendRequest sends the request; Answered or Lost follows, except for a Withdraw.
type SendRequest struct {
	Serial  uint64
	To      string
	Request Request
}

// Admitted lets the call go to the gate's machine.
type Admitted struct {
	Token uint64
	// Serial names the claim in a Release.
	Serial uint64
	// ReplayOnly says that the key was admitted before: nothing may be started that
	// the ledger does not know.
	ReplayOnly bool
}

// Refused ends the call without running it.
type Refused struct {
	Token   uint64
	Outcome call.Outcome
	Reason  call.Reason
	// Candidates are the inputs of a refusal with ReasonKeyUncertain.
	Candidates []Candidate
}

// Candidate is a gate that may know of an earlier call with the key.
type Candidate struct {
	GateHistory
	// Recorded says that it recorded the claim, and NoResponse that a question to it
	// got no answer.
	Recorded, NoResponse bool
}

// SendResponse answers an Asked.
type SendResponse struct {
	Token    uint64
	Response Response
}

// HandedOver says that every running gate has this gate's claims or could not
// be reached.
type HandedOver struct{}

func (HandedOver) isAction()   {}
func (SendRequest) isAction()  {}
func (Admitted) isAction()     {}
func (Refused) isAction()      {}
func (SendResponse) isAction() {}
