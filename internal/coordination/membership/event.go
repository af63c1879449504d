package membership

import (
	"time"

	"jasminegate/internal/state"
)

// Event is an input to the machine.
type Event interface{ isEvent() }

// Tick runs all work that is due. It must come often: if the time since the previous
// step, of any event, exceeds both the probe interval and the probe timeout, the
// machine assumes that the process was paused.
type Tick struct{}

// LocalStatusChanged carries the configuration version that this node has installed,
// as Load the number of calls running and queued at its gate, and whether it can read the
// platform's log. The values may be unchanged.
type LocalStatusChanged struct {
	Version        state.Version
	Load           uint32
	LogUnreachable bool
}

// ProbeReceived is a probe from another node. The machine responds with a
// RespondToProbe that has the same Token.
type ProbeReceived struct {
	Token uint64
	Probe Probe
}

// AckReceived is the ack of the SendProbe action with the same Token.
type AckReceived struct {
	Token uint64
	Ack   Ack
}

// ProbeFailed reports that the SendProbe action with the Token got no ack.
type ProbeFailed struct{ Token uint64 }

// TargetChanged reports the new service, slots, state or software version of the local target.
type TargetChanged struct {
	Service string
	Slots   uint32
	State   TargetState
	Version string
}

// PlatformContacted reports that the platform responded to this node's request.
// SentAt is when the request was sent or, from a sender that does not know this, when
// the response was handled.
type PlatformContacted struct{ SentAt time.Time }

// ConfigurationCurrent reports that this node's configuration, of the given version,
// contained every ticket of the platform's log at the instant At.
type ConfigurationCurrent struct {
	At      time.Time
	Version state.Version
}

// SeedsLearned adds nodes to join through.
type SeedsLearned struct{ Seeds []Seed }

// LeaveRequested makes the node leave the fleet.
type LeaveRequested struct{}

// SummariesRequested reports that a client reads this node's summaries, which makes
// the machine collect current ones for a while.
type SummariesRequested struct{}

func (Tick) isEvent()                 {}
func (LocalStatusChanged) isEvent()   {}
func (ProbeReceived) isEvent()        {}
func (AckReceived) isEvent()          {}
func (ProbeFailed) isEvent()          {}
func (TargetChanged) isEvent()        {}
func (PlatformContacted) isEvent()    {}
func (ConfigurationCurrent) isEvent() {}
func (SeedsLearned) isEvent()         {}
func (LeaveRequested) isEvent()       {}
func (SummariesRequested) isEvent()   {}

// Seed is a node through which this node may join. It is not counted as a
// member.
type Seed struct {
	ID             string
	Domain         string
	ControlAddress string
	// Incarnation is that of the seed's process; 0 if unknown.
	Incarnation uint64
}

// Action is an output of the machine.
type Action interface{ isAction() }

// SendProbe requests that a probe be sent to Address. The result comes back to
// Step as AckReceived or ProbeFailed with the same Token.
type SendProbe struct {
	Token   uint64
	Address string
	Probe   Probe
	Timeout time.Duration
}

// RespondToProbe is the ack of the probe that was received with the Token.
type RespondToProbe struct {
	Token uint64
	Ack   Ack
}

// MemberChanged reports that the record of another member changed.
type MemberChanged struct {
	Previous Member
	Current  Member
}

// PeerStatusReceived reports the version and load that a peer sent in a probe or
// an ack.
type PeerStatusReceived struct {
	Peer    Member
	Version state.Version
	Load    uint32
}

// Replaced reports that a later process, of the given incarnation, uses this
// node's ID.
type Replaced struct{ Incarnation uint64 }

// LeaveCompleted reports that the leave is complete: a peer acknowledged it, a
// probe to a peer failed, there is no peer to notify, or this process was
// already replaced.
type LeaveCompleted struct{}

func (LeaveCompleted) isAction()     {}
func (SendProbe) isAction()          {}
func (RespondToProbe) isAction()     {}
func (MemberChanged) isAction()      {}
func (PeerStatusReceived) isAction() {}
func (Replaced) isAction()           {}
