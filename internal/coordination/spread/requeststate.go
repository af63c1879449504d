package spread

import (
	"math/rand/v2"
	"time"
)

// requestState tracks one kind of request. At most one is in flight, and failures
// delay the next.
type requestState struct {
	inFlight  bool
	notBefore time.Time
	failures  int
}

func (s *requestState) succeeded() {
	s.inFlight = false
	s.failures = 0
}

// failed schedules a retry with exponential backoff up to limit. Half of the
// delay is random, so that many nodes do not retry at the same time.
func (s *requestState) failed(now time.Time, limit time.Duration, random *rand.Rand) {
	s.inFlight = false
	delay := limit
	if s.failures < 16 {
		delay = min(initialRetryDelay<<s.failures, limit)
	}
	s.failures++
	s.notBefore = now.Add(delay/2 + jitter(random, delay/2))
}

// jitter returns a random duration below limit.
func jitter(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
