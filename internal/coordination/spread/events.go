package spread

import (
	"time"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

// Stream names a stream of the platform's log.
type Stream uint8

// Streams that the machine uses.
const (
	StreamTickets     Stream = 1
	StreamCheckpoints Stream = 2
)

// Record is one entry of the tickets stream.
type Record struct {
	Offset int64
	Data   []byte
	// Skip marks a record that holds no ticket.
	Skip bool
}

// Event is an input of the machine.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// ViewChanged carries a new member table.
type ViewChanged struct{ View *membership.View }

// BoundsRead is the response to ReadBounds. Next is the offset of the next record to be
// appended.
type BoundsRead struct {
	Stream Stream
	Next   int64
}

// TicketsRead is a response to ReadTickets. Records is empty if the wait ended
// without a new record.
type TicketsRead struct{ Records []Record }

// ReadResponding reports that the response to ReadTickets or ReadNewestTicket has begun, later than
// its wait by Delay. Its end may take long on a slow link.
type ReadResponding struct{ Delay time.Duration }

// NewestTicketRead is the response to ReadNewestTicket. Records holds the newest
// record of each key: normally the newest ticket alone, or none. Next is the offset of
// the next record to be appended.
type NewestTicketRead struct {
	Records []Record
	Next    int64
}

// TicketsTrimmed is the response to ReadTickets when retention has dropped the
// record at From, or reads leave it out for its size.
type TicketsTrimmed struct{}

// CheckpointRead is the response to ReadCheckpoint. Found is false if the stream
// holds no usable checkpoint.
type CheckpointRead struct {
	Update acceptance.Update
	Found  bool
}

// CheckpointWritten is the response to WriteCheckpoint, with the checkpoint's
// offset.
type CheckpointWritten struct{ Offset int64 }

// PlatformFailed reports that a request to the platform failed, timed out or could
// not be queued. Reason says why, for the log.
type PlatformFailed struct {
	Request Action
	Reason  string
}

// PeerVersion reports the version that a peer runs.
type PeerVersion struct {
	Peer    membership.Member
	Version state.Version
}

// PushReceived is an update pushed by a peer. The machine responds with a
// RespondToPush that has the same token.
type PushReceived struct {
	Token  uint64
	Update acceptance.Update
}

// PushDone is the response to PushUpdate, with the version of the peer's newest
// accepted configuration after the push, which may not be installed yet.
type PushDone struct {
	PeerID  string
	Version state.Version
	Failed  bool
}

// PullReceived is a pull request by a peer. The machine responds with a
// RespondToPull that has the same token.
type PullReceived struct {
	Token uint64
	From  state.Version
}

// PullDone is the response to PullUpdate.
type PullDone struct {
	PeerID   string
	Response PullResponse
	Failed   bool
}

// VerdictRequested reports that an operator requested the status of a ticket that
// this node does not know or has not processed yet.
type VerdictRequested struct{}

func (Tick) event()              {}
func (ViewChanged) event()       {}
func (BoundsRead) event()        {}
func (TicketsRead) event()       {}
func (ReadResponding) event()    {}
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
