package cli

import (
	"github.com/joomcode/errorx"

	"jasminegate/internal/config"
	"jasminegate/internal/protocol/ticketfile"
	"jasminegate/internal/strictyaml"
	"jasminegate/internal/transport/adminclient"
)

// ExitCode is the exit code of the process.
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

// Errors of commands. exitCodes maps them to exit codes.
var (
	Errors = errorx.NewNamespace("cli")

	// ErrUsage means that the command line is wrong or that a file on it cannot be
	// read.
	ErrUsage = errorx.NewType(Errors, "usage")
	// ErrRejected means that a ticket or settings file was rejected.
	ErrRejected = errorx.NewType(Errors, "rejected")
	// ErrNotFound means that the logs have no line with the request ID. It is not in
	// exitCodes, so the command exits with ExitFailed.
	ErrNotFound = errorx.NewType(Errors, "not_found")
	// ErrNotInForce means that a ticket was not in force, or not before the timeout.
	ErrNotInForce = errorx.NewType(Errors, "not_in_force")
)

// exitCodes maps types of errors to exit codes. Errors of other types exit with
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

// exitCodeOf returns the exit code for a command's error, which may be nil.
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
