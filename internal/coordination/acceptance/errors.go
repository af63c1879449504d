package acceptance

import "github.com/joomcode/errorx"

// Errors of folds and updates.
var (
	Errors = errorx.NewNamespace("acceptance")

	// ErrGap says that records or tickets are missing in front of those given.
	ErrGap = errorx.NewType(Errors, "gap")
	// ErrMalformed says that an update contradicts itself.
	ErrMalformed = errorx.NewType(Errors, "malformed")
	// ErrOutdated says that an update leads to a state that the fold has passed.
	ErrOutdated = errorx.NewType(Errors, "old")

	errStale       = errorx.NewType(Errors, "stale")
	errConflicting = errorx.NewType(Errors, "conflicting")
)
