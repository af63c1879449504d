// Package readback decides what operators are told about a ticket.
package readback

import (
	"time"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
)

// MaxSummaryAge is how old a domain's summary may be to count for "in force".
const MaxSummaryAge = 3 * time.Second

// State is what is known of a ticket.
type State string

// States of a ticket.
const (
	Unknown     State = "unknown"     // no record with that number is known here
	Pending     State = "pending"     // appended through this node, not decided yet
	Rejected    State = "rejected"    // has no effect; the reason says why
	Accepted    State = "accepted"    // some node does not run it yet
	InForce     State = "in_force"    // every node runs it or a later one
	Unconfirmed State = "unconfirmed" // accepted, but some domain is not heard
)

// Domain is one failure domain's progress towards a ticket.
type Domain struct {
	Name string
	// Members is how many nodes the domain counts, by its fresh summaries.
	Members uint32
	// LeastPosition is the lowest position that a counted node may run, by the
	// fresh summaries; 0 when there is none.
	LeastPosition uint64
	// Reached says that every counted node runs the ticket or a later one.
	Reached bool
	// HasFreshSummary says that a fresh summary of the domain is held.
	HasFreshSummary bool
	// Age is how old the newest summary is: a domain that is not heard has not
	// been for as long. It is 0 when no summary is held.
	Age time.Duration
	// Laggards names nodes that do not run the ticket yet or are not heard.
	Laggards []string
	// LeftOut names nodes that no longer count, with the reason.
	LeftOut []string
}

// Status is the read-back of one ticket.
type Status struct {
	Number   uint64
	State    State
	Position uint64
	Reason   string
	// LongestSummaryAge is how long the domain that is silent longest has not been heard; 0
	// unless the state is Unconfirmed.
	LongestSummaryAge time.Duration
	Domains           []Domain
}

// Query is a ticket asked for. Content is its content hash; 0 asks by number
// alone.
type Query struct {
	Number      uint64
	ContentHash uint64
}

// LocalState is what this node knows when it answers.
type LocalState struct {
	// Verdicts are the kept verdicts in log order.
	Verdicts []acceptance.Verdict
	// NextOffset is the first log offset that is not folded here.
	NextOffset int64
	// HighestNumber is the highest accepted ticket number.
	HighestNumber uint64
	// Published lists tickets that were appended through this node.
	Published []Publication
	// Domains names every failure domain that the node knows of.
	Domains []string
	// Summaries are the domains' reports, stale ones included.
	Summaries []membership.Summary
}

// Publication is one ticket that was appended through this node.
type Publication struct {
	Number      uint64
	ContentHash uint64
	Offset      int64
}
