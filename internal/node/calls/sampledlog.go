package calls

import (
	"sync/atomic"

	"golang.org/x/time/rate"

	"jasminegate/internal/logging"
)

// sampledLog writes log lines up to a rate. Each line reports how many were dropped
// before it in the field left_out.
type sampledLog struct {
	logger  *logging.Logger
	limiter *rate.Limiter
	// dropped counts the lines dropped since the last written one.
	dropped atomic.Uint64
}

func newSampledLog(logger *logging.Logger, perSecond rate.Limit, burst int) *sampledLog {
	return &sampledLog{logger: logger, limiter: rate.NewLimiter(perSecond, burst)}
}

// event starts a log line. Over the rate it returns nil, which accepts fields and
// writes nothing.
func (l *sampledLog) event(event logging.Event) *logging.Line {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return nil
	}
	return l.logger.Event(event).Uint("left_out", l.dropped.Swap(0))
}
