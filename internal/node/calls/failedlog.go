package calls

import (
	"sync/atomic"

	"golang.org/x/time/rate"

	"jasminegate/internal/logging"
)

const (
	// failedRequestLinesPerSecond limits the log lines on requests that ended
	// without a target's response. Under overload the lines are a sample; each
	// reports how many were dropped before it.
	failedRequestLinesPerSecond = 20
	// failedRequestLineBurst is the largest burst of these lines.
	failedRequestLineBurst = 100
)

// failedRequestLog writes rate-limited log lines on failed requests.
type failedRequestLog struct {
	logger  *logging.Logger
	limiter *rate.Limiter
	// dropped counts the lines dropped since the last written one; the log field
	// is left_out.
	dropped atomic.Uint64
}

func newFailedRequestLog(logger *logging.Logger) *failedRequestLog {
	return &failedRequestLog{logger: logger, limiter: rate.NewLimiter(failedRequestLinesPerSecond, failedRequestLineBurst)}
}

// event starts a log line on the request. Over the rate it returns nil, which
// accepts fields and writes nothing.
func (l *failedRequestLog) event(event logging.Event, request string) *logging.Line {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return nil
	}
	return l.logger.Event(event).Str("request", request).Uint("left_out", l.dropped.Swap(0))
}
