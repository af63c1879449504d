package adminclient

import (
	"time"

	"github.com/joomcode/errorx"
)

// Errors of requests to a node's admin address.
var (
	Errors = errorx.NewNamespace("adminclient")

	// ErrUnreachable means that the node or the platform did not respond, or that
	// the node cannot serve the request now. The request may have taken effect.
	ErrUnreachable = errorx.NewType(Errors, "unreachable")
	// ErrRejected means that the request is invalid; a retry fails too.
	ErrRejected = errorx.NewType(Errors, "rejected")
	// ErrUnexpectedResponse means that the response does not fit the request.
	ErrUnexpectedResponse = errorx.NewType(Errors, "answer")
)

var (
	retryAfterProperty = errorx.RegisterProperty("retry_after")
	detailProperty     = errorx.RegisterProperty("detail")
)

// errorDetail returns the error's cause without the remedy.
func errorDetail(err error) string {
	if detail, ok := errorx.ExtractProperty(err, detailProperty); ok {
		return detail.(string)
	}
	return errorx.Cast(err).Message()
}

// retryAfter returns the retry delay that the node requested, or 0.
func retryAfter(err error) time.Duration {
	value, ok := errorx.ExtractProperty(err, retryAfterProperty)
	if !ok {
		return 0
	}
	wait, _ := value.(time.Duration)
	return wait
}
