package calls

import (
	"net/http"
	"strconv"
	"time"

	"jasminegate/internal/protocol/headers"
)

const (
	// shedRetryAfter is the least retry delay of a call that the target declined.
	shedRetryAfter = 100 * time.Millisecond
	// maxTargetRetryAfter bounds the retry delay that a target states.
	maxTargetRetryAfter = 10 * time.Second
)

// targetRetryAfter returns the retry delay that the target states in Retry-After:
// seconds, also with a fraction, or a date. A missing or malformed one counts as 0.
func targetRetryAfter(now time.Time, header http.Header) time.Duration {
	text := header.Get(headers.RetryAfter)
	var stated time.Duration
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		// The comparison is false for NaN.
		if seconds > 0 {
			stated = time.Duration(min(seconds, maxTargetRetryAfter.Seconds()) * float64(time.Second))
		}
	} else if date, err := http.ParseTime(text); err == nil {
		stated = date.Sub(now)
	}
	return min(maxTargetRetryAfter, max(shedRetryAfter, stated))
}
