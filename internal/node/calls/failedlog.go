package calls

import (
	"jasminegate/internal/logging"
)

const (
	// failedRequestLinesPerSecond limits the log lines on requests that ended
	// without a target's response. Under overload the lines are a sample.
	failedRequestLinesPerSecond = 20
	// failedRequestLineBurst is the largest burst of these lines.
	failedRequestLineBurst = 100
)

// failedRequestLog writes sampled log lines on failed requests.
type failedRequestLog struct{ *sampledLog }

func newFailedRequestLog(logger *logging.Logger) failedRequestLog {
	return failedRequestLog{newSampledLog(logger, failedRequestLinesPerSecond, failedRequestLineBurst)}
}

// event starts a log line on the request.
func (l failedRequestLog) event(event logging.Event, request string) *logging.Line {
	return l.sampledLog.event(event).Str("request", request)
}
