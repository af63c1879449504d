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
	// CompactedLog says that the log keeps the newest ticket for ever, and that each
	// ticket holds the whole configuration: no checkpoints are needed.
	CompactedLog bool
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
	// joinPatience is how long a joining node that is no reader waits for a peer's
	// state before it reads the platform; up to as much again is added.
	joinPatience = 2 * time.Second
	// aloneDelay is how long a starting node that knows no other one waits for the
	// member table before it reads the platform.
	aloneDelay = time.Second
	// joinRetryMax bounds the delay between tries of a joining node.
	joinRetryMax = 8 * time.Second
	// readerRetryMax bounds the delay between a reader's tries.
	readerRetryMax = 600 * time.Millisecond
	// retryBase is the first delay after a failure.
	retryBase = 250 * time.Millisecond
	// emptyReadDelay is the least time between two reads that return nothing.
	emptyReadDelay = 250 * time.Millisecond

	// pullDelay gives a push on its way time to arrive before a pull.
	pullDelay = 100 * time.Millisecond
	// relayPullDelay is the same for a version seen in another domain, whose
	// readers and this domain's see a ticket at almost the same time.
	relayPullDelay = 250 * time.Millisecond
	// pullJitter spreads the pulls of nodes that saw a version together.
	pullJitter = 150 * time.Millisecond
	// askDelay is the least time between two pulls that a read-back asked for.
	askDelay = time.Second
	// refusedPullDelay is the mean delay that a refused pull is told.
	refusedPullDelay = time.Second
	// maxAhead bounds the remembered peers with a newer version.
	maxAhead = 16

	// backupDelay is how long the second reader waits for the first one's push.
	backupDelay = 150 * time.Millisecond
	// MaxPushesInFlight bounds the pushes in flight.
	MaxPushesInFlight = 16
	// maxResends bounds pushes again to a peer that is behind the update's base.
	maxResends = 2

	// historySteps and historyBytes bound the kept changes for updates that are
	// not the whole state.
	historySteps = 256
	historyBytes = 512 << 10

	// checkpointRecords is after how many folded records a checkpoint is due
	// before its interval has passed.
	checkpointRecords = 512
	// checkpointSettle is how long a node is a reader before its first checkpoint,
	// and the least time between two of its checkpoints.
	checkpointSettle = 30 * time.Second
	// checkpointStagger is added for each better placed reader of the fleet. It is
	// at most the checkpoint interval divided by checkpointPlaces.
	checkpointStagger = 2 * time.Second
	checkpointPlaces  = 32
)
