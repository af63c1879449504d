package calls

import "github.com/joomcode/errorx"

// Errors of this package.
var (
	Errors = errorx.NewNamespace("calls")

	errNoClaims    = errorx.NewType(Errors, "no-claims")
	errSilent      = errorx.NewType(Errors, "silent")
	errCallerLeft  = errorx.NewType(Errors, "caller-left")
	errBounds      = errorx.NewType(Errors, "bounds")
	errConnections = errorx.NewType(Errors, "connections")
)
