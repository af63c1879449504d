package spread

import (
	"time"

	"jasminegate/internal/coordination/membership"
)

// Options configure a Machine.
type Options struct {
	Self membership.Member
	// Readers is the number of nodes in each failure domain that read the platform's
	// log.
	Readers int
	// FanOut is the number of peers to which a node pushes an update.
	FanOut int
	// PullsPerSecond limits the pulls per second to which the node responds with
	// the full state.
	PullsPerSecond int
	// CompactedLog is true if the log keeps the newest record of each key. The
	// newest ticket is then always available and holds the full configuration, and
	// no checkpoints are written.
	CompactedLog bool
	// Registered are the nodes that the platform's directory had when this node started,
	// on a platform with one. Some of them may not run.
	Registered []membership.Member
	// AcceptedNumber is the number of the newest ticket that a registered node had
	// accepted. A log that was restored from a copy may lack it.
	AcceptedNumber uint64
	// ReadWait is how long a read may wait for a new ticket. RequestTimeout is how much longer
	// its response may take before the read is sent again, ResponseLimit before it fails.
	ReadWait       time.Duration
	RequestTimeout time.Duration
	ResponseLimit  time.Duration
	// CheckpointInterval is the time until a reader's next checkpoint is due, before
	// the stagger delay. Many new records make it due earlier.
	CheckpointInterval time.Duration
	// Seed seeds the random number generator.
	Seed uint64
}

// Delays and limits.
const (
	// joinJitter spreads the first platform requests of nodes that start together.
	joinJitter = 500 * time.Millisecond
	// compactedLogJoinJitter replaces joinJitter on a compacted log. It is shorter
	// because a node that starts there reads little more than the stream's end.
	compactedLogJoinJitter = 50 * time.Millisecond
	// joinPeerWait is how long a joining node that is not a reader waits for state
	// from its peers before it reads the log. A random time below the same value is
	// added.
	joinPeerWait = 4 * time.Second
	// readerJoinWait is how long after its start a joining reader waits before it reads
	// the log, unless it is a reader among the registered nodes too. In a fleet that
	// starts as a whole, nodes that know few others yet take themselves for readers.
	readerJoinWait = 600 * time.Millisecond
	// maxJoinPeerWait is how long after its start a joining node that is not a reader
	// waits for peers that have a newer version.
	maxJoinPeerWait = 10 * time.Second
	// acceptedTicketWait is how long after its start a node waits for a peer that has the
	// ticket Options.AcceptedNumber or a later one, before it serves with an older one.
	acceptedTicketWait = 2 * time.Second
	// memberTableWait is how long a starting node that knows no other live node
	// waits for the member table before it reads the log.
	memberTableWait = time.Second
	// maxRetryDelay limits the retry delay of platform reads by nodes that are not
	// readers or read in place of others, of reads that find no usable checkpoint, and the delay that a refused
	// pull asks for. Half of it limits this node's own retry delay of pulls.
	maxRetryDelay = 8 * time.Second
	// maxReaderRetryDelay limits the retry delay of the first Options.Readers nodes of a domain, and
	// once for each node of the domain that of the others.
	maxReaderRetryDelay = 600 * time.Millisecond
	// overdueDelay is how long a response may take beyond the wait of its read before other
	// nodes are told that this one does not reach the log. A log that responds later is
	// given twice its last delay, up to Options.ResponseLimit.
	overdueDelay = 350 * time.Millisecond
	// transferLimit is how long a response may take from its begin before it is overdue too.
	transferLimit = 5 * time.Second
	// initialRetryDelay is the retry delay after the first failure.
	initialRetryDelay = 250 * time.Millisecond
	// emptyReadDelay is the minimum time from an empty read to the next read,
	// measured from start to start.
	emptyReadDelay = 250 * time.Millisecond

	// pullDelay lets a push in flight arrive before the node pulls the same update.
	pullDelay = 100 * time.Millisecond
	// crossDomainPullDelay replaces pullDelay for a version seen in another domain.
	// The readers of both domains read a ticket at almost the same time, so the
	// update normally arrives from this domain's readers.
	crossDomainPullDelay = 250 * time.Millisecond
	// pullJitter spreads the pulls of nodes that learn of a version together.
	pullJitter = 150 * time.Millisecond
	// joinPullJitter replaces pullJitter while a node joins.
	joinPullJitter = 30 * time.Millisecond
	// minRequestedPullInterval is the minimum time between two pulls that are
	// requested for unknown verdicts or after updates that could not be applied.
	minRequestedPullInterval = time.Second
	// meanPullRetryAfter is the mean retry delay in the response to a refused pull.
	meanPullRetryAfter = time.Second
	// maxNewerPeers limits the number of recorded peers with a newer version.
	maxNewerPeers = 16

	// backupPushDelay is how long the reader of rank 1 waits for a push before it
	// pushes to the children of the tree's root. It is multiplied by the reader's
	// rank for further readers.
	backupPushDelay = 150 * time.Millisecond
	// MaxPushesInFlight limits the number of pushes in flight.
	MaxPushesInFlight = 16
	// maxResends limits the number of repeated pushes to a peer that is behind the
	// update's base.
	maxResends = 2

	// maxHistoryEntries and maxHistoryBytes limit the changes that are kept for
	// incremental updates.
	maxHistoryEntries = 256
	maxHistoryBytes   = 512 << 10

	// maxRecordsSinceCheckpoint is the number of records after which a checkpoint is
	// due before its interval has passed.
	maxRecordsSinceCheckpoint = 512
	// minCheckpointInterval delays the first checkpoint of a node that becomes a
	// reader, unless the checkpoint interval is shorter or maxRecordsSinceCheckpoint
	// is reached. It is also the minimum time between two checkpoints of a node if the
	// second is due by the number of records.
	minCheckpointInterval = 30 * time.Second
	// checkpointStagger is the delay added for each reader of the fleet that comes
	// before this one. It is at most the checkpoint interval divided by
	// checkpointStaggerDivisor.
	checkpointStagger        = 2 * time.Second
	checkpointStaggerDivisor = 32
)
