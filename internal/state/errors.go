package state

import "github.com/joomcode/errorx"

// Errors of tickets, resources and snapshots.
var (
	// Errors is the namespace of the package's errors.
	Errors = errorx.NewNamespace("state")

	// ErrInvalid reports a value that breaks a validation rule; its text includes
	// the remedy.
	ErrInvalid = errorx.NewType(Errors, "invalid")
	// ErrDangling reports a route that refers to a service that does not exist.
	ErrDangling = errorx.NewType(Errors, "dangling")
	// ErrAmbiguousKey reports an API key that two tenants hold.
	ErrAmbiguousKey = errorx.NewType(Errors, "ambiguous_key")
	// ErrDigestMismatch reports a state whose digest differs from the announced one.
	ErrDigestMismatch = errorx.NewType(Errors, "digest")
	// ErrTooLarge reports a ticket record in the log or a full state that exceeds its
	// size limit. DecodeTicket reports a ticket over the limit as ErrInvalid.
	ErrTooLarge = errorx.NewType(Errors, "too_large")
	// ErrUndecodable reports data that does not decode to a ticket or resource.
	ErrUndecodable = errorx.NewType(Errors, "undecodable")
)
