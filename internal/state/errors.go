package state

import "github.com/joomcode/errorx"

// Errors of tickets, resources and snapshots.
var (
	Errors = errorx.NewNamespace("state")

	// ErrInvalid says that a value breaks a rule; the text names the remedy.
	ErrInvalid = errorx.NewType(Errors, "invalid")
	// ErrDangling says that a route names a service that does not exist.
	ErrDangling = errorx.NewType(Errors, "dangling")
	// ErrDigestMismatch says that a state's digest is not the announced one.
	ErrDigestMismatch = errorx.NewType(Errors, "digest")
	// ErrTooLarge says that a ticket or the whole state is over its size bound.
	ErrTooLarge = errorx.NewType(Errors, "too_large")
	// ErrUndecodable says that bytes are not a ticket or resource.
	ErrUndecodable = errorx.NewType(Errors, "undecodable")
)
