package membership

import "time"

// Settings determine failure detection time and network traffic. All but
// FenceTimeout must be above zero, and ForgetTimeout above FenceTimeout.
type Settings struct {
	// ProbeInterval is the mean time between two probes that a node sends.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a node waits for the ack of a direct probe.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect may refute the suspicion before it is
	// declared dead.
	SuspicionTimeout time.Duration
	// FenceTimeout is how long a contact counts where Serving requires one; 0 disables
	// the fence.
	FenceTimeout time.Duration
	// ForgetTimeout is the time within which a dead or replaced process may still
	// serve: summaries take it into account for that long. A new process waits as
	// long before it reports, and before it gives up the search for its domain.
	ForgetTimeout time.Duration
	// RelayInterval is the time between two exchanges of a relay with another
	// domain while it has updates to send.
	RelayInterval time.Duration
	// Relays is how many nodes of a domain exchange with other domains.
	Relays int
	// CurrentBound is the age up to which this node wants to know that its configuration
	// is the newest. 0 means that it is content with what regular probes tell.
	CurrentBound time.Duration
}

const (
	// indirectProbes is how many nodes are asked to probe one that did not ack.
	indirectProbes = 3
	// maxProbesAhead is how many probe intervals a node with queued updates may
	// probe ahead of its schedule. It then waits for the schedule, which keeps its
	// mean probe rate.
	maxProbesAhead = 3
	// expediteFraction is the fraction of a probe interval within which an
	// expedited probe is sent.
	expediteFraction = 0.2
	// retransmitFactor scales the number of times that a node sends an update,
	// which is logarithmic in the size of the domain.
	retransmitFactor = 3
	// maxUpdatesPerMessage bounds the updates piggybacked on one message.
	maxUpdatesPerMessage = 24
	// maxComparedRecords bounds the records in one message of a table comparison
	// or relay exchange.
	maxComparedRecords = 128
	// maxMembers bounds the table, tombstones included.
	maxMembers = 8192
	// maxSeeds bounds the known seeds.
	maxSeeds = 4096
	// mismatchesBeforeCompare is the number of consecutive digest mismatches after
	// which a probe requests a table comparison.
	mismatchesBeforeCompare = 3
	// probesPerReconnect is the number of probes, expedited ones included, between two
	// attempts to reach a dead node of the local domain or an absent seed.
	probesPerReconnect = 8
	// maxJoinBackoff is the longest mean time, in probe intervals, between two
	// attempts to join.
	maxJoinBackoff = 8
	// joinProbes is how many nodes are asked per attempt to join.
	joinProbes = 3
	// fullTablesPerSecond bounds the rate at which a node sends its full table.
	fullTablesPerSecond = 10
	// fullTableTimeout is how long a joining node waits for a full table, unless the
	// probe timeout is longer. The table grows with the fleet.
	fullTableTimeout = 2 * time.Second
	// idleRelayFactor multiplies the exchange interval while there are no updates
	// and no summaries are collected.
	idleRelayFactor = 4
	// fewDomains is the greatest number of other domains for which a relay asks all
	// relays of each, at the shorter interval.
	fewDomains = 4
	// activeRelayDivisor divides the relay interval to give the interval of exchanges
	// while a fleet of few domains collects summaries, and of requests for the summaries of the
	// local domain's relays.
	activeRelayDivisor = 2
	// collectPeriod is how long summaries are collected after a request.
	collectPeriod = 5 * time.Second
	// summaryRetention is how long a received summary is kept.
	summaryRetention = 30 * time.Second
	// reporterWarmUp is how long a new relay gathers positions before it issues
	// summaries.
	reporterWarmUp = 2 * time.Second
	// sampleInterval is the least time between two samples of the domain's least
	// position.
	sampleInterval = 100 * time.Millisecond
	// tombstoneRetention is how long the record of a dead or left node is kept, so
	// that late messages do not restore it as live.
	tombstoneRetention = 10 * time.Minute
	// maxTombstones bounds the records of dead and left nodes.
	maxTombstones = 2048
	// sweepInterval is the time between two sweeps for expired tombstones and for
	// dead members to stop counting.
	sweepInterval = time.Second
	// maxListedMembers bounds each list of members in a summary.
	maxListedMembers = 8
)
