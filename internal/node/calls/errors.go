package calls

import "github.com/joomcode/errorx"

// Errors of this package.
var (
	Errors = errorx.NewNamespace("calls")

	// errClaimUnavailable means that a claim request cannot be sent or served.
	errClaimUnavailable = errorx.NewType(Errors, "no-claims")
	errSilent           = errorx.NewType(Errors, "silent")
	errCallerLeft       = errorx.NewType(Errors, "caller-left")
	errUploadFailed     = errorx.NewType(Errors, "upload")
	errCallbackFailed   = errorx.NewType(Errors, "callback")
	// errInputClosed means that the caller of an idempotent call closed its sending side.
	errInputClosed = errorx.NewType(Errors, "input-closed")
	// errYielded means that a request was ended for responses behind it on its connection.
	errYielded = errorx.NewType(Errors, "yielded")
	// errStopping means that the node stops before the request has ended.
	errStopping        = errorx.NewType(Errors, "stopping")
	errBodyTooLarge    = errorx.NewType(Errors, "bounds")
	errConnectionLimit = errorx.NewType(Errors, "connections")
	// errNoResponse means that what a target sends cannot become a response.
	errNoResponse = errorx.NewType(Errors, "no-response")
	// errBrokenOff means that a target closed a connection before it had the whole request.
	errBrokenOff = errorx.NewType(Errors, "broken-off")
	// errWriteRefused means that a call ended before it was written to the target.
	errWriteRefused = errorx.NewType(Errors, "write-refused")
	// errSignal means that a target states something about itself that is malformed.
	errSignal = errorx.NewType(Errors, "signal")
)
