// Package readback computes the status of a ticket that an operator requests: its
// verdict, and whether the nodes of each failure domain run it or a later one.
package readback

import (
	"time"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
)

// MaxSummaryAge is the age up to which a domain's summary is fresh.
const MaxSummaryAge = 3 * time.Second

// State is the state of a ticket as this node knows it.
type State string

// States of a ticket.
const (
	Unknown     State = "unknown"     // this node has no verdict for it
	Pending     State = "pending"     // appended by this node, which has not processed it yet
	Rejected    State = "rejected"    // has no effect; Reason gives the cause
	Accepted    State = "accepted"    // some node does not run it yet
	InForce     State = "in_force"    // every node runs it or a later one
	Unconfirmed State = "unconfirmed" // accepted, but some domain has no fresh summary
)

// Domain is one failure domain's progress towards a ticket.
type Domain struct {
	Name string
	// Members is the number of nodes that the domain counts: the highest of its
	// fresh summaries.
	Members uint32
	// LeastPosition is the lowest configuration position that a counted node may
	// run, by the fresh summaries; 0 without a fresh summary.
	LeastPosition uint64
	// Reached is true if every counted node runs the ticket or a later one.
	Reached bool
	// HasFreshSummary is true if this node has a fresh summary of the domain.
	HasFreshSummary bool
	// Age is the age of the newest summary, fresh or stale; 0 if there is none. A
	// summary without a reporter, with which package membership stands in for a
	// missing one, counts too: its age is not the time since a report.
	Age time.Duration
	// Laggards names nodes that do not run the ticket yet or do not respond.
	Laggards []string
	// LeftOut names nodes that are no longer counted, with the reason.
	LeftOut []string
}

// Status is the read-back of one ticket.
type Status struct {
	Number   uint64
	State    State
	Position uint64
	Reason   string
	// LongestSummaryAge is the highest Age among the domains without a fresh summary;
	// 0 unless State is Unconfirmed.
	LongestSummaryAge time.Duration
	Domains           []Domain
}

// Query selects a ticket.
type Query struct {
	Number uint64
	// ContentHash is the ticket's content hash; 0 selects by number alone.
	ContentHash uint64
}

// LocalState is the node's local data from which Evaluate computes a status.
type LocalState struct {
	// Verdicts are the retained verdicts in log order.
	Verdicts []acceptance.Verdict
	// NextOffset is the first log offset that this node has not processed.
	NextOffset int64
	// HighestNumber is the highest accepted ticket number.
	HighestNumber uint64
	// Published lists tickets that were published through this node.
	Published []Publication
	// Domains names the local failure domain and every other one that has members
	// which have not left. Evaluate adds the domains that Summaries name.
	Domains []string
	// Summaries are the latest summaries of all reporters, stale ones included.
	Summaries []membership.Summary
}

// Publication is one ticket published through this node, with its log offset.
type Publication struct {
	Number      uint64
	ContentHash uint64
	Offset      int64
}
