package adminapi

// TicketState is the state of a ticket as the node knows it.
type TicketState string

// States of a ticket. docs/operators/read-back.md says what to do in each.
const (
	// TicketUnknown means that the node has no verdict for such a ticket.
	TicketUnknown TicketState = "unknown"
	// TicketPending means that the node appended the ticket to the log, but has not
	// processed it yet.
	TicketPending TicketState = "pending"
	// TicketRejected means that the ticket breaks a rule and has no effect.
	TicketRejected TicketState = "rejected"
	// TicketAccepted means that the ticket is accepted, but some node has not
	// applied it yet.
	TicketAccepted TicketState = "accepted"
	// TicketInForce means that every node has applied the ticket or a later one.
	TicketInForce TicketState = "in_force"
	// TicketUnconfirmed means that the ticket is accepted, but that some failure
	// domain has no fresh summary, so that its nodes may run an older version.
	TicketUnconfirmed TicketState = "unconfirmed"
)

// Final reports whether a client can stop polling: the ticket is in force or
// rejected.
func (s TicketState) Final() bool {
	return s == TicketInForce || s == TicketRejected
}

// PublishResponse is the response to a publish: the ticket was appended to the log.
// Whether it is accepted is the ticket's status, read with its number and
// content.
type PublishResponse struct {
	Number uint64 `json:"number"`
	// Content is the ticket's content hash, as 16 hexadecimal digits. A ticket
	// published again has the same number and content.
	Content string `json:"content"`
	// Offset is the record's offset in the tickets stream.
	Offset int64 `json:"offset"`
}

// TicketStatus is the status of one ticket across the failure domains.
type TicketStatus struct {
	Number uint64      `json:"number"`
	State  TicketState `json:"state"`
	// Reason says why the ticket is not in force.
	Reason string `json:"reason,omitempty"`
	// Content is the content hash that was queried, as 16 hexadecimal digits.
	Content string `json:"content,omitempty"`
	// Position is one past the log offset of the ticket's record; 0 without a
	// verdict.
	Position uint64 `json:"position,omitempty"`
	// SinceMS is the longest time since the newest summary of a failure domain that
	// has no fresh summary, in milliseconds; 0 unless the ticket is unconfirmed.
	SinceMS int64            `json:"since_ms"`
	Domains []DomainProgress `json:"domains,omitempty"`
}

// DomainProgress is the progress of one failure domain's nodes, by its summary.
type DomainProgress struct {
	Domain string `json:"domain"`
	// Members is the number of counted nodes of the domain.
	Members int `json:"members"`
	// LeastPosition is the lowest configuration position that a counted node may
	// still run; 0 without a summary.
	LeastPosition uint64 `json:"least_position"`
	// Laggards are some of the counted nodes that run an older version or do not
	// respond.
	Laggards []string `json:"laggards,omitempty"`
	// AgeMS is the age of the domain's newest summary, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// LeftOut are nodes that are no longer counted, each with the reason.
	LeftOut []string `json:"left_out,omitempty"`
}

// Verdict is the outcome of one record of the tickets stream.
type Verdict struct {
	Number  uint64 `json:"number"`
	Content string `json:"content"`
	// Position is one past the record's log offset.
	Position uint64 `json:"position"`
	// Outcome is the name of an acceptance.Outcome.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
}

// VerdictList holds recent verdicts, the newest last.
type VerdictList struct {
	Verdicts []Verdict `json:"verdicts"`
}
