package membership

import (
	"time"

	"jasminegate/internal/state"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Tick lets time pass.
type Tick struct{}

// LocalStatusChanged tells the version that this node applies and the calls running
// and queued at its gate.
type LocalStatusChanged struct {
	Version state.Version
	Load    uint32
}

// ProbeReceived is a probe from another node. Token names the answer that is
// waited for.
type ProbeReceived struct {
	Token uint64
	Probe Probe
}

// AckReceived is the answer to the SendProbe action with the same Token.
type AckReceived struct {
	Token uint64
	Ack   Ack
}

// ProbeFailed says that the SendProbe action with the Token got no answer.
type ProbeFailed struct{ Token uint64 }

// TargetChanged is an announcement of the local target.
type TargetChanged struct {
	Service string
	Slots   uint32
	State   TargetState
}

// PlatformContacted says that the platform answered this node at SentAt or
// later.
type PlatformContacted struct{ SentAt time.Time }

// SeedsLearned adds nodes to join by.
type SeedsLearned struct{ Seeds []Seed }

// LeaveRequested makes the node leave.
type LeaveRequested struct{}

// SummariesRequested says that someone reads this node's summaries.
type SummariesRequested struct{}

func (Tick) isEvent()               {}
func (LocalStatusChanged) isEvent() {}
func (ProbeReceived) isEvent()      {}
func (AckReceived) isEvent()        {}
func (ProbeFailed) isEvent()        {}
func (TargetChanged) isEvent()      {}
func (PlatformContacted) isEvent()  {}
func (SeedsLearned) isEvent()       {}
func (LeaveRequested) isEvent()     {}
func (SummariesRequested) isEvent() {}

// Seed is a node that this one may join by. It is not counted as a member.
type Seed struct {
	ID             string
	Domain         string
	ControlAddress string
	// Incarnation is that of the process, 0 when it is not known.
	Incarnation uint64
}

// Action is an output of the machine.
type Action interface{ isAction() }

// SendProbe sends a probe and feeds back AckReceived or ProbeFailed with the
// Token.
type SendProbe struct {
	Token   uint64
	Address string
	Probe   Probe
	Timeout time.Duration
}

// Reply answers the probe received with the Token.
type Reply struct {
	Token uint64
	Ack   Ack
}

// MemberChanged says that the record of a member changed.
type MemberChanged struct {
	Previous Member
	Current  Member
}

// PeerStatusReceived tells the version and load of a peer that was heard.
type PeerStatusReceived struct {
	Peer    Member
	Version state.Version
	Load    uint32
}

// Replaced says that a later process holds this node's ID.
type Replaced struct{ Incarnation uint64 }

// LeaveCompleted says that another node knows that this one leaves.
type LeaveCompleted struct{}

func (LeaveCompleted) isAction()     {}
func (SendProbe) isAction()          {}
func (Reply) isAction()              {}
func (MemberChanged) isAction()      {}
func (PeerStatusReceived) isAction() {}
func (Replaced) isAction()           {}
