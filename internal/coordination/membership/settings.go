package membership

import "time"

// Settings trade detection time against bytes. All but FenceTimeout must be above
// zero, and
// ForgetTimeout above FenceTimeout.
type Settings struct {
	// ProbeInterval is the mean time between two probes of a node.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may take.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect may refute before it is dead.
	SuspicionTimeout time.Duration
	// FenceTimeout is how long a node serves without contact; 0 is without end.
	FenceTimeout time.Duration
	// ForgetTimeout is how long a dead member still counts in summaries.
	ForgetTimeout time.Duration
	// RelayInterval is the time between two exchanges of this domain with
	// another while there is something to say.
	RelayInterval time.Duration
	// Relays is how many nodes of a domain talk to other domains.
	Relays int
}

const (
	// indirectProbes is how many nodes are asked to probe one that is silent.
	indirectProbes = 3
	// maxProbesAhead is how many probe intervals a node with news may probe ahead
	// of its schedule; it then waits for the schedule, so that its mean rate
	// stays.
	maxProbesAhead = 3
	// expediteFraction is the part of a probe interval within which news leaves.
	expediteFraction = 0.2
	// retransmitFactor scales how often a node passes a change on.
	retransmitFactor = 3
	// maxUpdatesPerMessage bounds the changed records in one message.
	maxUpdatesPerMessage = 24
	// maxComparedRecords bounds the records that answer a comparison.
	maxComparedRecords = 128
	// maxMembers bounds the table, tombstones included.
	maxMembers = 8192
	// maxSeeds bounds the nodes known to join by.
	maxSeeds = 4096
	// mismatchesBeforeCompare is after how many probes in a row with different
	// digests two tables are compared.
	mismatchesBeforeCompare = 3
	// probesPerReconnect is how many probe intervals pass between two attempts to
	// reach a dead node of the own domain or a seed.
	probesPerReconnect = 8
	// maxJoinBackoff is the longest time, in probe intervals, between two
	// attempts to join.
	maxJoinBackoff = 8
	// joinProbes is how many seeds are tried at a time.
	joinProbes = 3
	// fullTablesPerSecond bounds the whole tables that a node answers with.
	fullTablesPerSecond = 10
	// idleRelayFactor stretches the relay interval while there is no news.
	idleRelayFactor = 4
	// smallFleetDomains is up to how many other domains all their reporters are
	// asked at a time.
	smallFleetDomains = 4
	// activeRelayDivisor divides the relay interval while someone reads summaries.
	activeRelayDivisor = 2
	// collectPeriod is how long summaries are gathered after someone read them.
	collectPeriod = 5 * time.Second
	// summaryRetention is how long a summary is held.
	summaryRetention = 30 * time.Second
	// reporterWarmUp is how long a new relay gathers positions before it reports.
	reporterWarmUp = 2 * time.Second
	// sampleInterval is the time between two samples of a reporter's least
	// position.
	sampleInterval = 100 * time.Millisecond
	// tombstoneRetention is how long the record of a node that is gone is kept,
	// so that late messages do not bring it back.
	tombstoneRetention = 10 * time.Minute
	// maxTombstones bounds the records of nodes that are gone.
	maxTombstones = 2048
	// sweepInterval is the time between two searches for expired tombstones.
	sweepInterval = time.Second
	// maxListedMembers bounds the members that a summary names in each list.
	maxListedMembers = 8
)
