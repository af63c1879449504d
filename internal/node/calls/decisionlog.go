package calls

import (
	"sync/atomic"

	"golang.org/x/time/rate"

	"jasminegate/internal/logging"
)

const (
	// failedRequestLinesPerSecond is how many lines a second a node writes of callers' requests
	// that ended without a target's answer. Under overload that is a sample; each
	// line tells how many were left out before it.
	failedRequestLinesPerSecond = 20
	// failedRequestLineBurst is how many of them may come together.
	failedRequestLineBurst = 100
)

// failedRequestLog writes the lines of requests that failed, within a rate.
type failedRequestLog struct {
	logger     *logging.Logger
	limiter    *rate.Limiter
	suppressed atomic.Uint64
}

func newFailedRequestLog(logger *logging.Logger) *failedRequestLog {
	return &failedRequestLog{logger: logger, limiter: rate.NewLimiter(failedRequestLinesPerSecond, failedRequestLineBurst)}
}

// event starts a line about the request, or returns nil, which takes fields and
// writes nothing.
func (l *failedRequestLog) event(event logging.Event, request string) *logging.Line {
	if !l.limiter.Allow() {
		l.suppressed.Add(1)
		return nil
	}
	return l.logger.Event(event).Str("request", request).Uint("left_out", l.suppressed.Swap(0))
}
