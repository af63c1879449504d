package spread

import (
	"time"

	"jasminegate/internal/coordination/membership"
)

// Options configure a Machine.
type Options struct {
	Self membership.Member
	// Readers is how many nodes of a domain read the platform's log.
	Readers int
	// FanOut is how many nodes one node pushes an update to.
	FanOut int
	// PullsPerSecond bounds the whole states that the node gives to pulls.
	PullsPerSecond int
	// Keyed says that the log keeps the newest ticket for ever, and that each
	// ticket holds the whole configuration: no checkpoints are needed.
	Keyed bool
	// CheckpointInterval is the longest time between two checkpoints.
	CheckpointInterval time.Duration
	// Seed feeds the random choices.
	Seed uint64
}

// Delays and bounds of the decisions.
const (
	// joinJitter spreads the first platform requests of a starting herd.
	joinJitter = 500 * time.Millisecond
	// keyedJoinJitter is the same where the one request brings the configuration.
	keyedJoinJitter = 50 * time.Millisecond
	// joinPeerWait is how long a joining node that is no reader waits for a peer's
	// state before it reads the platform; up to as much again is added.
	joinPeerWait = 2 * time.Second
	// memberTableWait is how long a starting node that knows no other one waits for the
	// member table before it reads the platform.
	memberTableWait = time.Second
	// maxJoinRetryDelay bounds the delay between tries of a joining node.
	maxJoinRetryDelay = 8 * time.Second
	// maxReaderRetryDelay bounds the delay between a reader's tries.
	maxReaderRetryDelay = 600 * time.Millisecond
	// initialRetryDelay is the first delay after a failure.
	initialRetryDelay = 250 * time.Millisecond
	// emptyReadDelay is the least time between two reads that return nothing.
	emptyReadDelay = 250 * time.Millisecond

	// pullDelay gives a push on its way time to arrive before a pull.
	pullDelay = 100 * time.Millisecond
	// crossDomainPullDelay is the same for a version seen in another domain, whose
	// readers and this domain's see a ticket at almost the same time.
	crossDomainPullDelay = 250 * time.Millisecond
	// pullJitter spreads the pulls of nodes that saw a version together.
	pullJitter = 150 * time.Millisecond
	// minVerdictPullInterval is the least time between two pulls that a read-back asked for.
	minVerdictPullInterval = time.Second
	// meanPullRetryAfter is the mean delay that a refused pull is told.
	meanPullRetryAfter = time.Second
	// maxNewerPeers bounds the remembered peers with a newer version.
	maxNewerPeers = 16

	// backupPushDelay is how long the second reader waits for the first one's push.
	backupPushDelay = 150 * time.Millisecond
	// MaxPushes bounds the pushes in flight.
	MaxPushes = 16
	// maxResends bounds pushes again to a peer that is behind the update's base.
	maxResends = 2

	// maxHistoryEntries and historyBytes bound the kept changes for updates that are
	// not the whole state.
	maxHistoryEntries = 256
	maxHistoryBytes   = 512 << 10

	// maxRecordsSinceCheckpoint is after how many folded records a checkpoint is due
	// before its interval has passed.
	maxRecordsSinceCheckpoint = 512
	// minCheckpointInterval is how long a node is a reader before its first checkpoint,
	// and the least time between two of its checkpoints.
	minCheckpointInterval = 30 * time.Second
	// checkpointStagger is added for each better placed reader of the fleet. It is
	// at most the checkpoint interval divided by checkpointPlaces.
	checkpointStagger        = 2 * time.Second
	checkpointStaggerDivisor = 32
)
