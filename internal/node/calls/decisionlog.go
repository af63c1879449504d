package calls

import (
	"sync/atomic"

	"golang.org/x/time/rate"

	"jasminegate/internal/logging"
)

const (
	// failedCallLines is how many lines a second a node writes of callers' requests
	// that ended without a target's answer. Under overload that is a sample; each
	// line tells how many were left out before it.
	failedCallLines = 20
	// failedCallBurst is how many of them may come together.
	failedCallBurst = 100
)

// decisionLog writes the lines of requests that failed, within a rate.
type decisionLog struct {
	logger  *logging.Logger
	limiter *rate.Limiter
	leftOut atomic.Uint64
}

func newDecisionLog(logger *logging.Logger) *decisionLog {
	return &decisionLog{logger: logger, limiter: rate.NewLimiter(failedCallLines, failedCallBurst)}
}

// event starts a line about the request, or returns nil, which takes fields and
// writes nothing.
func (l *decisionLog) event(event logging.Event, request string) *logging.Line {
	if !l.limiter.Allow() {
		l.leftOut.Add(1)
		return nil
	}
	return l.logger.Event(event).Str("request", request).Uint("left_out", l.leftOut.Swap(0))
}
