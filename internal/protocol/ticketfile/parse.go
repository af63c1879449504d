// Package ticketfile reads the YAML files in which operators write tickets.
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

	// ErrUnreadable says that the ticket file cannot be read.
	ErrUnreadable = errorx.NewType(Errors, "unreadable")
)

// Load reads a ticket file. It fails with ErrUnreadable or
// *strictyaml.Problems, which holds all faults.
func Load(path string) (state.Ticket, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return state.Ticket{}, ErrUnreadable.New("ticket %s: %v: give the path of a readable file", path, err)
	}
	return Parse(path, data)
}

// Parse is Load for a ticket in memory; file names it in problems.
func Parse(file string, data []byte) (state.Ticket, error) {
	var ticket state.Ticket
	document := strictyaml.Decode(file, data, &ticket)
	if document.Parsed() {
		rejectFaults(document, ticket)
	}
	if err := document.Err(); err != nil {
		return state.Ticket{}, err
	}
	return ticket, checkSize(file, ticket)
}

func rejectFaults(document *strictyaml.Document, ticket state.Ticket) {
	for _, fault := range ticket.Violations() {
		if fault.Path == "" && !document.Valid() {
			continue
		}
		document.Reject(fault.Path, fault.Text, fault.Remedy)
	}
}

// checkSize rejects a ticket that is too long for the log.
func checkSize(file string, ticket state.Ticket) error {
	data, err := ticket.Encode()
	if err != nil {
		return problemOf(file, err.Error(), "report it: a checked ticket always encodes")
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
