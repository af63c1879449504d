package membership

import (
	"time"

	"jasminegate/internal/state"
)

// Probe asks a node whether it is alive, and carries membership updates.
type Probe struct {
	From            string
	FromIncarnation uint64
	// To is the ID of the probed node, or empty for whichever node has the
	// address. Any other node that receives the probe acks with Reached false,
	// unless Via names it.
	To string
	// Via is the ID of the node that is to probe To on the sender's behalf; empty
	// for a direct probe.
	Via     string
	Version state.Version
	// Load is the number of calls running and queued at the sender's gate.
	Load uint32
	// TableDigest is the digest of the live members of the sender's table.
	TableDigest uint64
	// Members are changed records, the sender's own record, the record that the
	// sender has of the receiver, or records from a table comparison.
	Members []Member
	// BucketDigests are the digests of the sender's table by bucket. The receiver acks
	// with its records of the buckets that differ. Empty requests no comparison.
	BucketDigests []uint32
	// FullTable requests every record.
	FullTable bool
	// WantSummaries requests the summaries that the receiver has.
	WantSummaries bool
}

// Ack is the response to a Probe.
type Ack struct {
	From            string
	FromIncarnation uint64
	Version         state.Version
	Load            uint32
	TableDigest     uint64
	// Reached reports whether the probed node responded: it sent this ack, or it
	// acked the probe that the sender of this ack forwarded as intermediary.
	Reached bool
	// Known reports whether the sender has the prober's process as live, and so
	// confirms the prober's contact. Toward another domain it also requires that
	// the sender's partition of its domain has a quorum.
	Known bool
	// CurrentAge is how long ago the configuration with Version was known to be the
	// newest; 0 if that is not known.
	CurrentAge time.Duration
	// Members are changed records, or the records that the probe requested.
	Members []Member
	// DifferingBuckets lists the indexes of the buckets in which the tables differ.
	DifferingBuckets []uint32
	Summaries        []Summary
}
