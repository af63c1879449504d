// Package readback computes the status of a ticket that an operator asks for: its
// verdict, and how far the nodes of each failure domain have applied it.
package readback

import (
	"time"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/coordination/membership"
)

// FreshAge is the age up to which a domain's summary is fresh.
const FreshAge = 3 * time.Second

// State is the state of a ticket as this node knows it.
type State string

// States of a ticket.
const (
	Unknown     State = "unknown"     // this node has no verdict for it
	Pending     State = "pending"     // appended by this node, which has not processed it yet
	Rejected    State = "rejected"    // has no effect; Reason gives the cause
	Accepted    State = "accepted"    // some node has not applied it yet
	InForce     State = "in_force"    // every node has applied it or a later one
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
	// Heard is true if this node has a fresh summary of the domain.
	Heard bool
	// Age is the age of the newest summary, fresh or stale; 0 if there is none.
	Age time.Duration
	// Laggards names nodes that have not applied the ticket yet or do not respond.
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
	// Since is the highest Age among the domains without a fresh summary; 0 unless
	// State is Unconfirmed.
	Since   time.Duration
	Domains []Domain
}

// Query selects a ticket. Content is its content hash; 0 selects by number alone.
type Query struct {
	Number  uint64
	Content uint64
}

// Known is the node's local data from which Evaluate computes a status.
type Known struct {
	// Verdicts are the retained verdicts in log order.
	Verdicts []acceptance.Verdict
	// Next is the first log offset that this node has not processed.
	Next int64
	// Highest is the highest accepted ticket number.
	Highest uint64
	// Published lists tickets that were published through this node.
	Published []Publication
	// Domains names every failure domain that has members which have not left.
	Domains []string
	// Summaries are the latest summaries of all reporters, stale ones included.
	Summaries []membership.Summary
}

// Publication is one ticket published through this node. Content is its content
// hash, Offset its log offset.
type Publication struct {
	Number  uint64
	Content uint64
	Offset  int64
}
