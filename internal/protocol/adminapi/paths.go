// Package adminapi defines the paths and messages of a node's admin address:
// JSON over HTTP, for operators and for the node's target. Error responses have
// a body of type problem.Problem.
package adminapi

import "fmt"

// Paths of the admin address.
const (
	PathTickets = "/tickets"
	PathTicket  = "/tickets/{number}"
	PathStatus  = "/status"
	PathTarget  = "/target"
	// PathQuarantine lists requests in quarantine; PathQuarantined is one of them.
	PathQuarantine  = "/quarantine"
	PathQuarantined = "/quarantine/{id}"
	// PathRollouts lists rollouts; PathRollout is the one of a service.
	PathRollouts = "/rollouts"
	PathRollout  = "/rollouts/{service}"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"
	PathProfile  = "/debug/pprof/"
)

// QueryContent is the query parameter of PathTicket that selects the ticket with
// this content hash.
const QueryContent = "content"

// TicketPath returns PathTicket for the number.
func TicketPath(number uint64) string {
	return fmt.Sprintf("%s/%d", PathTickets, number)
}

// FormatHash formats a content hash or digest as 16 hexadecimal digits.
func FormatHash(hash uint64) string {
	return fmt.Sprintf("%016x", hash)
}
