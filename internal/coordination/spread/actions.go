package spread

import (
	"time"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
	"jasminegate/internal/state"
)

// Action is something that the node does on the machine's behalf.
type Action interface{ action() }

// ReadBounds asks the platform where a stream ends.
type ReadBounds struct{ Stream Stream }

// ReadTickets reads tickets from an offset on; Wait lets the platform hold the
// request until there is one.
type ReadTickets struct {
	From int64
	Wait bool
}

// ReadNewestTicket reads the newest ticket of a keyed log, and where the log ends.
type ReadNewestTicket struct {
	// ForJoin says that the answer is wanted to join.
	ForJoin bool
}

// ReadCheckpoint reads the newest usable checkpoint.
type ReadCheckpoint struct{}

// WriteCheckpoint appends the whole state to the checkpoints stream.
type WriteCheckpoint struct{ Update acceptance.Update }

// PushUpdate sends an update to a peer.
type PushUpdate struct {
	Peer   membership.Member
	Update acceptance.Update
}

// PullUpdate asks a peer for what came after From; a zero From asks for the
// whole state.
type PullUpdate struct {
	Peer membership.Member
	From state.Version
}

// RespondToPush ends PushReceived with the version held.
type RespondToPush struct {
	Token   uint64
	Version state.Version
}

// PullResponse holds an update, or the time to come back after.
type PullResponse struct {
	Update     acceptance.Update
	RetryAfter time.Duration
}

// RespondToPull ends PullReceived.
type RespondToPull struct {
	Token  uint64
	Answer PullResponse
}

// Install makes the snapshot the one that the node serves with.
type Install struct{ Snapshot *state.Snapshot }

// ReportVerdict reports the verdict of a record that this node folded itself.
type ReportVerdict struct{ Verdict acceptance.Verdict }

// ReportRefusedUpdate reports an update or a peer's version that does not fit this node's.
type ReportRefusedUpdate struct{ Err error }

// Condition is a lasting state of the node's contact with the platform.
type Condition uint8

// Conditions.
const (
	PlatformUnreachable Condition = 1
	PlatformReachable   Condition = 2
	LogTrimmed          Condition = 3
)

// ReportCondition says that a condition began.
type ReportCondition struct{ Condition Condition }

func (ReadBounds) action()          {}
func (ReadTickets) action()         {}
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
