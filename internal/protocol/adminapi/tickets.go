package adminapi

// TicketState is what is known of a published ticket.
type TicketState string

// States of a ticket. docs/operators/read-back.md says what to do in each.
const (
	// TicketUnknown says that the node has seen no such ticket.
	TicketUnknown TicketState = "unknown"
	// TicketPending says that the ticket is on the log, but not judged here yet.
	TicketPending TicketState = "pending"
	// TicketRejected says that the ticket breaks a rule and changes nothing.
	TicketRejected TicketState = "rejected"
	// TicketAccepted says that the ticket is accepted and on its way.
	TicketAccepted TicketState = "accepted"
	// TicketInForce says that every node runs the ticket or a later one.
	TicketInForce TicketState = "in_force"
	// TicketUnconfirmed says that the ticket is accepted, but that some failure
	// domain cannot be heard, so that nobody can say that it is in force.
	TicketUnconfirmed TicketState = "unconfirmed"
)

// Final reports whether waiting longer cannot change the state.
func (s TicketState) Final() bool {
	return s == TicketInForce || s == TicketRejected
}

// PublishResponse is the answer to a publish: the ticket is on the log. Whether
// it is accepted is read back by its number and content.
type PublishResponse struct {
	Number uint64 `json:"number"`
	// Content is the ticket's content hash, by which a repeat is known.
	Content string `json:"content"`
	// Offset is the record's place in the tickets stream.
	Offset int64 `json:"offset"`
}

// TicketStatus is the read-back of one ticket.
type TicketStatus struct {
	Number uint64      `json:"number"`
	State  TicketState `json:"state"`
	// Reason says why the ticket was rejected or is unconfirmed.
	Reason  string `json:"reason,omitempty"`
	Content string `json:"content,omitempty"`
	// Position is the version that the ticket led to; 0 when it has none.
	Position uint64 `json:"position,omitempty"`
	// SinceMS is how long the failure domain that keeps the ticket unconfirmed
	// has not been heard, in milliseconds; 0 in other states.
	SinceMS int64            `json:"since_ms"`
	Domains []DomainProgress `json:"domains,omitempty"`
}

// DomainProgress is one failure domain's part in a read-back.
type DomainProgress struct {
	Domain string `json:"domain"`
	// Members is how many nodes of the domain count.
	Members int `json:"members"`
	// LeastPosition is the oldest version that one of them runs.
	LeastPosition uint64 `json:"least_position"`
	// Laggards are some of the nodes that run an older version than the ticket's.
	Laggards []string `json:"laggards,omitempty"`
	// AgeMS is how old the domain's report is, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// LeftOut are nodes that do not count, each with the reason.
	LeftOut []string `json:"left_out,omitempty"`
}

// Verdict is what became of one record of the tickets stream.
type Verdict struct {
	Number   uint64 `json:"number"`
	Content  string `json:"content"`
	Position uint64 `json:"position"`
	// Outcome is the name of an acceptance.Outcome.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
}

// VerdictList holds recent verdicts, the newest last.
type VerdictList struct {
	Verdicts []Verdict `json:"verdicts"`
}
