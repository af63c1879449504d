package membership

import "jasminegate/internal/state"

// Probe asks a node whether it is alive and carries what changed.
type Probe struct {
	From            string
	FromIncarnation uint64
	// To is the node that is asked about, empty for whichever is at the address.
	// Another node answers Reached false, unless it is asked to probe To as an
	// intermediary.
	To string
	// Via names the intermediary of an indirect probe; empty for a direct one.
	Via     string
	Version state.Version
	Load    uint32
	// TableDigest covers the live members of the sender's table.
	TableDigest uint64
	// Members are records that changed, or answer a difference.
	Members []Member
	// BucketDigests are the digests of the sender's table by bucket; the receiver
	// answers with the records of those that differ. Empty asks for none.
	BucketDigests []uint32
	// FullTable asks for every record.
	FullTable bool
	// WantSummaries asks for the summaries that the receiver holds.
	WantSummaries bool
}

// Ack answers a Probe.
type Ack struct {
	From            string
	FromIncarnation uint64
	Version         state.Version
	Load            uint32
	TableDigest     uint64
	// Reached reports whether the probe's To is alive.
	Reached bool
	// Known reports whether the sender counts the prober's process as alive.
	Known   bool
	Members []Member
	// DifferingBuckets lists the buckets in which the tables differ.
	DifferingBuckets []uint32
	Summaries        []Summary
}
