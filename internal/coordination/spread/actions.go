package spread

import (
	"time"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

// Action is a request of the machine that the node carries out.
type Action interface{ action() }

// ReadBounds requests the end of a stream from the platform. The response is
// BoundsRead.
type ReadBounds struct{ Stream Stream }

// ReadTickets reads tickets, starting at offset From. With Wait the platform may
// hold the request until a ticket is available (long poll). The response is
// TicketsRead or TicketsTrimmed.
type ReadTickets struct {
	From int64
	Wait bool
}

// ReadNewestTicket reads the newest ticket and the end of a compacted log.
// The response is NewestTicketRead.
type ReadNewestTicket struct{}

// ReadCheckpoint reads the newest usable checkpoint. The response is
// CheckpointRead.
type ReadCheckpoint struct{}

// WriteCheckpoint appends the full state to the checkpoints stream.
// The response is CheckpointWritten.
type WriteCheckpoint struct{ Update acceptance.Update }

// PushUpdate sends an update to a peer. The response is PushDone.
type PushUpdate struct {
	Peer   membership.Member
	Update acceptance.Update
}

// PullUpdate requests from a peer the changes after From, or the full state if
// From is zero. The response is PullDone.
type PullUpdate struct {
	Peer membership.Member
	From state.Version
	// Failures is the number of pulls that have failed since the last response. The
	// timeout is to grow with it, since the state may be large for the link.
	Failures int
}

// RespondToPush responds to PushReceived with the version of this node's newest
// accepted configuration, which may not be installed yet.
type RespondToPush struct {
	Token   uint64
	Version state.Version
}

// PullResponse holds an update or, if the pull was refused, a positive delay after
// which to retry.
type PullResponse struct {
	Update     acceptance.Update
	RetryAfter time.Duration
}

// RespondToPull responds to PullReceived.
type RespondToPull struct {
	Token    uint64
	Response PullResponse
}

// Install replaces the configuration that the node runs.
type Install struct{ Snapshot *state.Snapshot }

// ReportCurrent reports that the installed configuration, of the given version, contained
// every ticket that the platform's log had at the instant At.
type ReportCurrent struct {
	At      time.Time
	Version state.Version
}

// ReportVerdict reports the verdict on a record that this node read from the log.
type ReportVerdict struct{ Verdict acceptance.Verdict }

// ReportRefusedUpdate reports an update or newest ticket that could not be applied,
// or a peer whose state differs from this node's at the same position.
type ReportRefusedUpdate struct{ Err error }

// Condition is a state of the node's access to the platform's log.
type Condition uint8

const (
	// PlatformUnreachable means that a request to the platform failed.
	PlatformUnreachable Condition = 1
	// PlatformReachable means that the platform responds again.
	PlatformReachable Condition = 2
	// LogTrimmed means that the log no longer holds records that this node needs,
	// and that no usable checkpoint replaces them.
	LogTrimmed Condition = 3
)

// ReportCondition reports that a condition began. With PlatformUnreachable, Failed is
// the request that failed and Reason says why. With PlatformReachable, Delay is how much longer
// than their wait responses took to begin of late, and Lasted how long the log was unreachable.
type ReportCondition struct {
	Condition Condition
	Failed    Action
	Reason    string
	Delay     time.Duration
	Lasted    time.Duration
}

func (ReadBounds) action()          {}
func (ReadTickets) action()         {}
func (ReportCurrent) action()       {}
func (ReadNewestTicket) action()    {}
func (ReadCheckpoint) action()      {}
func (WriteCheckpoint) action()     {}
func (PushUpdate) action()          {}
func (PullUpdate) action()          {}
func (RespondToPush) action()       {}
func (RespondToPull) action()       {}
func (Install) action()             {}
func (ReportVerdict) action()       {}
func (ReportRefusedUpdate) action() {}
func (ReportCondition) action()     {}
