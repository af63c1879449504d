// Package ticketfile parses the YAML files in which operators write tickets.
package ticketfile

import (
	"fmt"
	"os"

	"github.com/joomcode/errorx"

	"jasminegate/internal/state"
	"jasminegate/internal/strictyaml"
)

// Errors of reading ticket files.
var (
	Errors = errorx.NewNamespace("ticketfile")

	// ErrUnreadable means that the ticket file cannot be read.
	ErrUnreadable = errorx.NewType(Errors, "unreadable")
)

// Load reads and parses a ticket file. It fails with ErrUnreadable or
// *strictyaml.Problems, which lists all problems in the file.
func Load(path string) (state.Ticket, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return state.Ticket{}, ErrUnreadable.New("ticket %s: %v: give the path of a readable file", path, err)
	}
	return Parse(path, data)
}

// Parse parses the content of a ticket file; file is the name used in problems. It
// fails with *strictyaml.Problems.
func Parse(file string, data []byte) (state.Ticket, error) {
	var ticket state.Ticket
	document := strictyaml.Decode(file, data, &ticket)
	if document.Parsed() {
		digestKeys(document, &ticket)
		addViolations(document, ticket)
	}
	if err := document.Err(); err != nil {
		return state.Ticket{}, err
	}
	return ticket, checkSize(file, ticket)
}

// digestKeys replaces API keys by their digests, so that the ticket can be published.
func digestKeys(document *strictyaml.Document, ticket *state.Ticket) {
	for i, tenant := range ticket.Tenants {
		for j, key := range tenant.Keys {
			if text, remedy := state.CheckAPIKey(key); text != "" {
				document.Reject(fmt.Sprintf("tenants[%d].keys[%d]", i, j), text, remedy)
			}
		}
		ticket.Tenants[i] = tenant.DigestKeys()
		if len(ticket.Tenants[i].KeyDigests) == 0 {
			document.Reject(fmt.Sprintf("tenants[%d].keys", i), "is missing, as is key_digests", "give the tenant a key")
		}
	}
}

// addViolations adds the ticket's violations to the document's problems. A
// violation of the ticket as a whole is left out if the document has problems
// already, which may be its cause.
func addViolations(document *strictyaml.Document, ticket state.Ticket) {
	for _, violation := range ticket.Violations() {
		if violation.Path == "" && !document.Valid() {
			continue
		}
		document.Reject(violation.Path, violation.Text, violation.Remedy)
	}
}

// checkSize fails if the encoded ticket is over state.MaxTicketBytes.
func checkSize(file string, ticket state.Ticket) error {
	data, err := ticket.Encode()
	if err != nil {
		return problemOf(file, err.Error(), "report this as a bug: a valid ticket can always be encoded")
	}
	if len(data) > state.MaxTicketBytes {
		text := fmt.Sprintf("ticket has %d bytes on the log", len(data))
		return problemOf(file, text, fmt.Sprintf("split it into tickets of at most %d bytes", state.MaxTicketBytes))
	}
	return nil
}

func problemOf(file, text, remedy string) error {
	return &strictyaml.Problems{List: []strictyaml.Problem{{File: file, Text: text, Remedy: remedy}}}
}
