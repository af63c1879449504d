package cli

import (
	"github.com/joomcode/errorx"

	"jasminegate/internal/config"
	"jasminegate/internal/protocol/ticketfile"
	"jasminegate/internal/strictyaml"
	"jasminegate/internal/transport/adminclient"
)

// ExitCode is what the process ends with.
type ExitCode int

// Exit codes, as documented in docs/operators/exit-codes.md.
const (
	ExitOK          ExitCode = 0
	ExitFailed      ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitRejected    ExitCode = 3
	ExitNotInForce  ExitCode = 4
	ExitUnreachable ExitCode = 5
)

// Errors of commands; each has its exit code.
var (
	Errors = errorx.NewNamespace("cli")

	// ErrUsage says that the command line is wrong.
	ErrUsage = errorx.NewType(Errors, "usage")
	// ErrRejected says that a ticket or settings file was rejected.
	ErrRejected = errorx.NewType(Errors, "rejected")
	// ErrNotFound says that nothing has the asked name.
	ErrNotFound = errorx.NewType(Errors, "not_found")
	// ErrNotInForce says that a ticket was not in force when the time was up.
	ErrNotInForce = errorx.NewType(Errors, "not_in_force")
)

// exitCodes gives the kinds of errors that end with another code than
// ExitFailed.
var exitCodes = []struct {
	kind *errorx.Type
	code ExitCode
}{
	{ErrUsage, ExitUsage},
	{config.ErrUnreadable, ExitUsage},
	{ticketfile.ErrUnreadable, ExitUsage},
	{ErrRejected, ExitRejected},
	{adminclient.ErrRejected, ExitRejected},
	{ErrNotInForce, ExitNotInForce},
	{adminclient.ErrUnreachable, ExitUnreachable},
}

// exitCodeOf returns the exit code of a command's error.
func exitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	if _, ok := err.(*strictyaml.Problems); ok {
		return ExitRejected
	}
	for _, entry := range exitCodes {
		if errorx.IsOfType(err, entry.kind) {
			return entry.code
		}
	}
	return ExitFailed
}
