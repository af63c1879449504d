package adminclient

import (
	"time"

	"github.com/joomcode/errorx"
)

// Errors of requests to a node's admin address.
var (
	Errors = errorx.NewNamespace("adminclient")

	// ErrUnreachable says that the node, or the platform behind it, did not
	// answer. The request may have taken effect.
	ErrUnreachable = errorx.NewType(Errors, "unreachable")
	// ErrRejected says that the request breaks a rule.
	ErrRejected = errorx.NewType(Errors, "rejected")
	// ErrUnexpectedResponse says that an answer does not fit the request.
	ErrUnexpectedResponse = errorx.NewType(Errors, "answer")
)

var (
	retryAfterProperty = errorx.RegisterProperty("retry_after")
	detailProperty     = errorx.RegisterProperty("detail")
)

// detailOf returns what happened, without the remedy.
func detailOf(err error) string {
	if detail, ok := errorx.ExtractProperty(err, detailProperty); ok {
		return detail.(string)
	}
	return errorx.Cast(err).Message()
}

// retryAfter returns how long the node asked to wait, or 0.
func retryAfter(err error) time.Duration {
	value, ok := errorx.ExtractProperty(err, retryAfterProperty)
	if !ok {
		return 0
	}
	wait, _ := value.(time.Duration)
	return wait
}
