package platformlog

import "github.com/joomcode/errorx"

// Errors of requests to the platform's log.
var (
	Errors = errorx.NewNamespace("platformlog")

	// ErrTrimmed means that the requested records are past the log's retention, or that
	// the log was restored from a copy and they are of an earlier era.
	ErrTrimmed = errorx.NewType(Errors, "trimmed")
	// ErrUnavailable means that the platform did not respond, responded with an
	// error or sent a malformed response, that the caller's context ended, or that
	// nodes cannot append to the stream on this platform.
	ErrUnavailable = errorx.NewType(Errors, "unavailable")
	// ErrStalled means that a request made no progress within its timeout, or was not
	// complete after MaxTransferTime.
	ErrStalled = errorx.NewType(Errors, "stalled", errorx.Timeout())
	// ErrTooLarge means that a record is over the platform's size limit.
	ErrTooLarge = errorx.NewType(Errors, "too_large")
	// ErrConditionFailed means that a stream did not end where the writer had read it. Nothing
	// was added, unless the log was restored from a copy at the same time.
	ErrConditionFailed = errorx.NewType(Errors, "condition_failed")
)
