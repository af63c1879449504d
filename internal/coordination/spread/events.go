package spread

import (
	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

// Stream names a stream of the platform's log.
type Stream uint8

// Streams that the machine reads.
const (
	StreamTickets     Stream = 1
	StreamCheckpoints Stream = 2
)

// Record is one entry of the tickets stream.
type Record struct {
	Offset int64
	Data   []byte
	// Skip says that it holds no ticket.
	Skip bool
}

// Event is something that happened to the node.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// ViewChanged brings a new member table.
type ViewChanged struct{ View *membership.View }

// BoundsRead answers ReadBounds with the offset that the next record gets.
type BoundsRead struct {
	Stream Stream
	Next   int64
}

// TicketsRead answers ReadTickets.
type TicketsRead struct{ Records []Record }

// NewestTicketRead answers ReadNewest with the newest ticket, if there is one, and the
// offset that the next record gets.
type NewestTicketRead struct {
	ForJoin bool
	Records []Record
	Next    int64
}

// TicketsTrimmed answers ReadTickets when the records are past retention.
type TicketsTrimmed struct{}

// CheckpointRead answers ReadCheckpoint. Found is false when the stream holds
// no usable checkpoint.
type CheckpointRead struct {
	Update acceptance.Update
	Found  bool
}

// CheckpointWritten answers WriteCheckpoint.
type CheckpointWritten struct{ Offset int64 }

// PlatformFailed answers a platform request that was not answered.
type PlatformFailed struct{ Request Action }

// PeerVersion says what version a peer runs.
type PeerVersion struct {
	Peer    membership.Member
	Version state.Version
}

// PushReceived brings an update from a peer; AnswerPush with the token ends it.
type PushReceived struct {
	Token  uint64
	Update acceptance.Update
}

// PushDone answers PushUpdate with the version that the peer holds now.
type PushDone struct {
	PeerID  string
	Version state.Version
	Failed  bool
}

// PullReceived is a peer's request; AnswerPull with the token ends it.
type PullReceived struct {
	Token uint64
	From  state.Version
}

// PullDone answers PullUpdate.
type PullDone struct {
	PeerID   string
	Response PullResponse
	Failed   bool
}

// VerdictRequested says that an operator asked for a ticket that is unknown here.
type VerdictRequested struct{}

func (Tick) event()              {}
func (ViewChanged) event()       {}
func (BoundsRead) event()        {}
func (TicketsRead) event()       {}
func (NewestTicketRead) event()  {}
func (TicketsTrimmed) event()    {}
func (CheckpointRead) event()    {}
func (CheckpointWritten) event() {}
func (PlatformFailed) event()    {}
func (PeerVersion) event()       {}
func (PushReceived) event()      {}
func (PushDone) event()          {}
func (PullReceived) event()      {}
func (PullDone) event()          {}
func (VerdictRequested) event()  {}
