package acceptance

import "github.com/joomcode/errorx"

// Errors of Fold and Update.
var (
	Errors = errorx.NewNamespace("acceptance")

	// ErrGap reports that records or tickets before the given ones are missing.
	ErrGap = errorx.NewType(Errors, "gap")
	// ErrMalformed reports that the fields of an update contradict each other or the
	// state of the fold.
	ErrMalformed = errorx.NewType(Errors, "malformed")
	// ErrOutdated reports that an update ends at or before the log offset of the fold.
	ErrOutdated = errorx.NewType(Errors, "old")

	errStale       = errorx.NewType(Errors, "stale")
	errConflicting = errorx.NewType(Errors, "conflicting")
)
